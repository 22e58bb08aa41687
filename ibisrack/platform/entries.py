"""Decodes entries of the metadata store into instances and configurations.

Other programs write to the store too, so an entry can be malformed in any way.  A malformed
entry lists no instance; a malformed configuration is rejected as a whole.
"""

from functools import lru_cache, singledispatch
from typing import Any

import attrs
import msgspec

from ibisrack.errors import MessageError
from ibisrack.instances.model import Instance, InstanceState
from ibisrack.platform.durations import parse_duration_s
from ibisrack.registry.messages import Entry
from ibisrack.routing.model import (
    Configuration,
    Limits,
    Repeats,
    Route,
    RoutePart,
    ServiceOptions,
)

CONFIGURATION_KEY = "op/config"
INSTANCE_PREFIX = "servers/"
# Successive versions of a configuration differ in a few resources; only these are decoded again.
# The largest value of the store has about 4,000 resources.
MAX_REMEMBERED_RESOURCES = 4096

_STATES_BY_NAME = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}
_REPEATS_BY_KIND = {
    "idempotent": Repeats.ALLOWED,
    "download": Repeats.ALLOWED,
    "non_idempotent": Repeats.FORBIDDEN,
}


def instance_id(key: str) -> str:
    """Returns the instance id in an entry's key, or an empty string for other keys."""
    return key[len(INSTANCE_PREFIX) :] if key.startswith(INSTANCE_PREFIX) else ""


def decode_instance(entry: Entry) -> Instance:
    """Decodes the entry of an instance.

    Raises:
      MessageError: The entry is malformed.
    """
    try:
        body = _json_object(msgspec.json.decode(entry.content))
        info, status = _json_object(body["info"]), _json_object(body["status"])
        host, _, port = _non_empty_string(body["address"]).rpartition(":")
        return Instance(
            instance_id=instance_id(entry.key),
            service=_non_empty_string(info["service"]),
            host=host,
            port=int(port),
            zone=_non_empty_string(info["zone"]),
            slots=_non_negative_integer(info["slots"]),
            state=_STATES_BY_NAME[status["state"]],
            # Remaining time of the cold start when the entry was written, not its total length.
            cold_left_s=parse_duration_s(status["cold_remaining"]),
            started_at_ms=_non_negative_integer(body["born"]) if "born" in body else 0,
            sequence=_non_negative_integer(status["seq"]),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"{entry.key}: {type(error).__name__} {error}") from error


def decode_configuration(entry: Entry) -> Configuration:
    """Decodes the operator's configuration.

    Raises:
      MessageError: The configuration is malformed.
    """
    try:
        document = msgspec.json.decode(entry.content, type=_ConfigurationDocument)
        resources = _Resources()
        for encoded in document.resources:
            _add_resource(_decode_resource(bytes(encoded)), resources)
        version = int(_non_empty_string(document.version), 16)
        _check_references(resources.routes, resources.services)
        return Configuration(version, tuple(resources.routes), resources.services, resources.limits)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"{entry.key}: {type(error).__name__} {error}") from error


class _ConfigurationDocument(msgspec.Struct):
    """A configuration whose resources are not decoded yet."""

    version: str
    resources: list[msgspec.Raw]


@attrs.define
class _Resources:
    """Decoded resources of a configuration."""

    routes: list[Route] = attrs.field(factory=list)
    services: dict[str, ServiceOptions] = attrs.field(factory=dict)
    limits: Limits = Limits()


@singledispatch
def _add_resource(resource: object, resources: _Resources) -> None:
    """Adds a decoded resource; one of an unknown type is skipped."""


@_add_resource.register
def _(resource: Route, resources: _Resources) -> None:
    resources.routes.append(resource)


@_add_resource.register
def _(resource: ServiceOptions, resources: _Resources) -> None:
    resources.services[resource.name] = resource


@_add_resource.register
def _(resource: Limits, resources: _Resources) -> None:
    resources.limits = resource


@lru_cache(MAX_REMEMBERED_RESOURCES)
def _decode_resource(encoded: bytes) -> Route | ServiceOptions | Limits | None:
    """Decodes a resource; returns None for one of an unknown type."""
    resource = _json_object(msgspec.json.decode(encoded))
    kind, spec = resource["resource_type"], _json_object(resource["spec"])
    name = _json_object(resource["metadata"]).get("name", "")
    if kind == "routes":
        return _decode_route(_non_empty_string(name), spec)
    if kind == "services":
        return _decode_service(_non_empty_string(name), spec)
    return _decode_limits(spec) if kind == "limits" else None


def _decode_route(name: str, spec: dict[str, Any]) -> Route:
    if "traffic_split" in spec:
        parts = tuple(
            RoutePart(_non_empty_string(part["service"]), _non_negative_integer(part["weight"]))
            for part in spec["traffic_split"]
        )
    else:
        parts = (RoutePart(_non_empty_string(spec["service"]), 1),)
    if sum(part.weight for part in parts) <= 0:
        raise ValueError(f"route {name}: no service has a positive weight")
    prefix = _non_empty_string(spec["prefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"route {name}: the prefix must start and end with a slash")
    timeout_s = parse_duration_s(spec["timeout"])
    return Route(
        name=name,
        host=_non_empty_string(spec["host"]),
        prefix=prefix,
        repeats=_REPEATS_BY_KIND[spec["kind"]],
        timeout_s=timeout_s,
        target_s=(
            parse_duration_s(spec["target_latency"]) if "target_latency" in spec else timeout_s
        ),
        priority=_non_negative_integer(spec.get("priority", 0)),
        max_attempts=max(1, _non_negative_integer(spec.get("max_attempts", 1))),
        parts=tuple(part for part in parts if part.weight > 0),
    )


def _decode_service(name: str, spec: dict[str, Any]) -> ServiceOptions:
    return ServiceOptions(
        name, _non_empty_string(spec["health_path"]), _non_negative_integer(spec["max_connections"])
    )


def _decode_limits(spec: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=_non_negative_integer(spec["max_header_bytes"]),
        max_body_bytes=_non_negative_integer(spec["max_body_bytes"]),
        header_timeout_s=parse_duration_s(spec["header_timeout"]),
        idle_timeout_s=parse_duration_s(spec["idle_timeout"]),
    )


def _check_references(routes: list[Route], services: dict[str, ServiceOptions]) -> None:
    for route in routes:
        for part in route.parts:
            if part.service not in services:
                raise ValueError(f"route {route.name}: service {part.service} is not declared")


def _json_object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise TypeError("expected a JSON object")
    return value


def _non_empty_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError("expected a non-empty string")
    return value


def _non_negative_integer(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise TypeError("expected a non-negative integer")
    return value
