"""Decodes entries of the metadata store into instances and configurations.

Other programs write to the store too, so an entry can be malformed in any way.  A malformed
entry lists no instance; a malformed configuration is rejected as a whole.
"""

import re
from collections.abc import Callable
from functools import singledispatch
from ipaddress import IPv4Address, ip_address
from typing import Any, TypeVar

import attrs
import msgspec

from ibisrack.decimals import parse_decimal
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
from ibisrack.settings.checks import MAX_PORT

CONFIGURATION_KEY = "op/config"
INSTANCE_PREFIX = "servers/"
# A running request has a connection of its own, and a host has no more ports towards an instance.
MAX_SLOTS = 65_535
# Starts and sequences are compared and sent to peers in 64 bits.  Larger integers are not exact in
# all JSON implementations.
MAX_JSON_INTEGER = 2**53 - 1
MAX_ERROR_CHARS = 200  # Error messages quote the entry, which may be large.
MAX_LABEL_CHARS = 80  # Leaves room for the error behind the type and the name of a resource.

_BROADCAST = IPv4Address("255.255.255.255")
_INSTANCE_ID = re.compile(r"[!-~]{1,128}")
_VERSION = re.compile(r"[0-9a-fA-F]{8}")
_STATES_BY_NAME = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}
_REPEATS_BY_KIND = {
    "idempotent": Repeats.ALLOWED,
    "download": Repeats.ALLOWED,
    "non_idempotent": Repeats.FORBIDDEN,
}
_Decoded = TypeVar("_Decoded")


def instance_id(key: str) -> str:
    """Returns the instance id in an entry's key, or an empty string for other keys."""
    return key[len(INSTANCE_PREFIX) :] if key.startswith(INSTANCE_PREFIX) else ""


def decode_instance(entry: Entry) -> Instance:
    """Decodes the entry of an instance.

    Raises:
      MessageError: The entry is malformed.
    """
    return _decode(entry, _build_instance)


def decode_configuration(entry: Entry) -> Configuration:
    """Decodes the operator's configuration.

    Raises:
      MessageError: The configuration is malformed.
    """
    return _decode(entry, _build_configuration)


def _decode(entry: Entry, build: Callable[[Entry], _Decoded]) -> _Decoded:
    """Builds what an entry describes.

    Raises:
      MessageError: Decoding or building failed, with whatever exception.
    """
    try:
        return build(entry)
    except Exception as error:  # No list of exceptions covers what any program may write.
        reason = f"{type(error).__name__} {error}"[:MAX_ERROR_CHARS]
        raise MessageError(reason) from error


def _build_instance(entry: Entry) -> Instance:
    body = _json_object(msgspec.json.decode(entry.content))
    info, status = _json_object(body["info"]), _json_object(body["status"])
    host, port = _address(body["address"])
    # The id is sent to the instance in a header of each request.
    if not _INSTANCE_ID.fullmatch(instance_id(entry.key)):
        raise ValueError("the instance id is not one word of ASCII characters")
    return Instance(
        instance_id=instance_id(entry.key),
        service=_non_empty_string(info["service"]),
        host=host,
        port=port,
        zone=_non_empty_string(info["zone"]),
        slots=_integer(info["slots"], MAX_SLOTS),
        state=_STATES_BY_NAME[status["state"]],
        # Remaining time of the cold start when the entry was written, not its total length.
        cold_left_s=parse_duration_s(status["cold_remaining"]),
        started_at_ms=_integer(body["born"], MAX_JSON_INTEGER) if "born" in body else 0,
        sequence=_integer(status["seq"], MAX_JSON_INTEGER),
    )


def _build_configuration(entry: Entry) -> Configuration:
    document = msgspec.json.decode(entry.content, type=_ConfigurationDocument)
    resources = _Resources()
    decoded: dict[bytes, Route | ServiceOptions | Limits] = {}
    for encoded in map(bytes, document.resources):
        resource = LAST_CONFIGURATION.decoded.get(encoded) or _decode_resource(encoded)
        if resource is not None:
            decoded[encoded] = resource
            _add_resource(resource, resources)
    if not _VERSION.fullmatch(document.version):
        raise ValueError("the version does not have eight hexadecimal digits")
    _check_references(resources.routes, resources.services)
    LAST_CONFIGURATION.decoded = decoded
    return Configuration(
        int(document.version, 16), tuple(resources.routes), resources.services, resources.limits
    )


@attrs.frozen
class _ConfigurationDocument:
    """A configuration whose resources are not decoded yet."""

    version: str
    resources: list[msgspec.Raw]


@attrs.define
class _Resources:
    """Decoded resources of a configuration."""

    routes: list[Route] = attrs.field(factory=list)
    services: dict[str, ServiceOptions] = attrs.field(factory=dict)
    limits: Limits = Limits()


@attrs.define
class _LastConfiguration:
    """The configuration that was decoded last.

    Successive versions differ in a few resources; only these are decoded again.

    Attributes:
      decoded: Its resources by their encoding.
    """

    decoded: dict[bytes, Route | ServiceOptions | Limits] = attrs.field(factory=dict)


LAST_CONFIGURATION = _LastConfiguration()


@singledispatch
def _add_resource(resource: object, resources: _Resources) -> None:
    """Adds a decoded resource."""
    raise TypeError(f"unexpected {type(resource).__name__}")


@_add_resource.register
def _(resource: Route, resources: _Resources) -> None:
    resources.routes.append(resource)


@_add_resource.register
def _(resource: ServiceOptions, resources: _Resources) -> None:
    resources.services[resource.name] = resource


@_add_resource.register
def _(resource: Limits, resources: _Resources) -> None:
    resources.limits = resource


def _decode_resource(encoded: bytes) -> Route | ServiceOptions | Limits | None:
    """Decodes a resource; returns None for one of an unknown type.

    Raises:
      MessageError: The resource is malformed; the message names it.
    """
    resource = _json_object(msgspec.json.decode(encoded))
    kind = resource["resource_type"]
    name = _json_object(resource["metadata"]).get("name", "")
    try:
        return _decode_spec(kind, name, _json_object(resource["spec"]))
    except Exception as error:  # As for whole entries.
        label = f"{kind} {name}"[:MAX_LABEL_CHARS]
        raise MessageError(f"{label}: {type(error).__name__} {error}") from error


def _decode_spec(
    kind: Any, name: Any, spec: dict[str, Any]
) -> Route | ServiceOptions | Limits | None:
    if kind == "routes":
        return _decode_route(_non_empty_string(name), spec)
    if kind == "services":
        return _decode_service(_non_empty_string(name), spec)
    return _decode_limits(spec) if kind == "limits" else None


def _decode_route(name: str, spec: dict[str, Any]) -> Route:
    if "traffic_split" in spec:
        parts = tuple(
            RoutePart(_non_empty_string(part["service"]), _count(part["weight"]))
            for part in spec["traffic_split"]
        )
    else:
        parts = (RoutePart(_non_empty_string(spec["service"]), 1),)
    if sum(part.weight for part in parts) <= 0:
        raise ValueError("no service has a positive weight")
    prefix = _non_empty_string(spec["prefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError("the prefix must start and end with a slash")
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
        priority=_count(spec.get("priority", 0)),
        max_attempts=max(1, _count(spec.get("max_attempts", 1))),
        parts=tuple(part for part in parts if part.weight > 0),
    )


def _decode_service(name: str, spec: dict[str, Any]) -> ServiceOptions:
    return ServiceOptions(
        name, _non_empty_string(spec["health_path"]), _count(spec["max_connections"])
    )


def _decode_limits(spec: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=_count(spec["max_header_bytes"]),
        max_body_bytes=_count(spec["max_body_bytes"]),
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


def _address(value: Any) -> tuple[str, int]:
    """Returns the IP number and the port of an address, in which a link can be opened.

    IPv6 numbers have no brackets, as in the settings file, with which the host is compared.
    """
    host, _, port_text = _non_empty_string(value).rpartition(":")
    number = ip_address(host)
    is_host = not (number.is_multicast or number.is_unspecified or number == _BROADCAST)
    if not is_host or "%" in host:  # The name after a percent sign differs from host to host.
        raise ValueError("not the IP number of a host")
    port = parse_decimal(port_text, MAX_PORT)
    if not port:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    return host, port


def _integer(value: Any, max_value: int) -> int:
    if _count(value) > max_value:
        raise TypeError(f"expected an integer from 0 to {max_value}")
    return value


def _count(value: Any) -> int:
    """Returns a whole number of any size; whoever uses it bounds it to what a process can do."""
    if type(value) is not int or value < 0:
        raise TypeError("expected an integer of at least 0")
    return value
