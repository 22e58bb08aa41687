"""Decodes the operator's configuration; a malformed one is refused as a whole."""

import re
from collections.abc import Iterator
from functools import singledispatch
from typing import Any

import attrs
import msgspec

from ibisrack.errors import MessageError
from ibisrack.platform.durations import parse_duration_s
from ibisrack.platform.json_fields import count, json_object, non_empty_string, rate
from ibisrack.routing.model import (
    Configuration,
    Limits,
    Repeats,
    Route,
    RoutePart,
    ServiceOptions,
)

MAX_LABEL_CHARS = 80  # Leaves room for the error behind the type and the name of a resource.

_VERSION = re.compile(r"[0-9a-fA-F]{8}")
_VERSION_ERROR = "the version does not have eight hexadecimal digits"
_REPEATS_BY_KIND = {
    "idempotent": Repeats.ALLOWED,
    "download": Repeats.ALLOWED,
    "non_idempotent": Repeats.FORBIDDEN,
    "upload": Repeats.FORBIDDEN,
}


def build_configuration(content: bytes) -> Configuration:
    """Builds a configuration from its JSON.

    Raises:
      Exception: The content is malformed, in any way.
    """
    document = msgspec.json.decode(content, type=_ConfigurationDocument)
    resources = _Resources()
    decoded: dict[bytes, Route | ServiceOptions | Limits] = {}
    for encoded in map(bytes, document.resources):
        resource = LAST_CONFIGURATION.decoded.get(encoded) or _decode_resource(encoded)
        if resource is not None:
            decoded[encoded] = resource
            _add_resource(resource, resources)
    if not _VERSION.fullmatch(document.version):
        raise ValueError(_VERSION_ERROR)
    for error in _reference_errors(resources.routes, resources.services):
        raise ValueError(error)
    LAST_CONFIGURATION.decoded = decoded
    return Configuration(
        int(document.version, 16), tuple(resources.routes), resources.services, resources.limits
    )


def find_errors(content: bytes) -> tuple[str, ...]:
    """Returns why a configuration would be refused, one error for each faulty resource."""
    try:
        document = msgspec.json.decode(content, type=_ConfigurationDocument)
    except Exception as error:  # As for whole entries.
        return (f"{type(error).__name__} {error}",)
    errors, resources = [], _Resources()
    for encoded in document.resources:
        try:
            resource = _decode_resource(bytes(encoded))
        except Exception as error:  # As for whole entries.
            errors.append(str(error) if isinstance(error, MessageError) else repr(error))
            continue
        if resource is not None:
            _add_resource(resource, resources)
    if not _VERSION.fullmatch(document.version):
        errors.append(_VERSION_ERROR)
    errors += _reference_errors(resources.routes, resources.services)
    return tuple(errors)


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
    resource = json_object(msgspec.json.decode(encoded))
    kind = resource["resource_type"]
    name = json_object(resource["metadata"]).get("name", "")
    try:
        return _decode_spec(kind, name, json_object(resource["spec"]))
    except Exception as error:  # As for whole entries.
        label = f"{kind} {name}"[:MAX_LABEL_CHARS]
        raise MessageError(f"{label}: {type(error).__name__} {error}") from error


def _decode_spec(
    kind: Any, name: Any, spec: dict[str, Any]
) -> Route | ServiceOptions | Limits | None:
    if kind == "routes":
        return _decode_route(non_empty_string(name), spec)
    if kind == "services":
        return _decode_service(non_empty_string(name), spec)
    return _decode_limits(spec) if kind == "limits" else None


def _decode_route(name: str, spec: dict[str, Any]) -> Route:
    if "traffic_split" in spec:
        parts = tuple(
            RoutePart(non_empty_string(part["service"]), count(part["weight"]))
            for part in spec["traffic_split"]
        )
    else:
        parts = (RoutePart(non_empty_string(spec["service"]), 1),)
    if sum(part.weight for part in parts) <= 0:
        raise ValueError("no service has a positive weight")
    prefix = non_empty_string(spec["prefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError("the prefix must start and end with a slash")
    timeout_s = parse_duration_s(spec["timeout"])
    kind = non_empty_string(spec["kind"])
    return Route(
        name=name,
        host=non_empty_string(spec["host"]),
        prefix=prefix,
        # At most once is safe for a kind of a later release; a refused version would leave nodes
        # that start without any.
        repeats=_REPEATS_BY_KIND.get(kind, Repeats.FORBIDDEN),
        unknown_kind="" if kind in _REPEATS_BY_KIND else kind[:MAX_LABEL_CHARS],
        timeout_s=timeout_s,
        target_s=(
            parse_duration_s(spec["target_latency"]) if "target_latency" in spec else timeout_s
        ),
        priority=count(spec.get("priority", 0)),
        max_attempts=max(1, count(spec.get("max_attempts", 1))),
        parts=tuple(part for part in parts if part.weight > 0),
    )


def _decode_service(name: str, spec: dict[str, Any]) -> ServiceOptions:
    return ServiceOptions(
        name,
        non_empty_string(spec["health_path"]),
        count(spec["max_connections"]),
        cold_s=parse_duration_s(spec["cold"]) if "cold" in spec else 0.0,
        cold_rate_per_s=rate(spec.get("cold_per_s", 0.0)),
    )


def _decode_limits(spec: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=count(spec["max_header_bytes"]),
        max_body_bytes=count(spec["max_body_bytes"]),
        header_timeout_s=parse_duration_s(spec["header_timeout"]),
        idle_timeout_s=parse_duration_s(spec["idle_timeout"]),
    )


def _reference_errors(routes: list[Route], services: dict[str, ServiceOptions]) -> Iterator[str]:
    for route in routes:
        for part in route.parts:
            if part.service not in services:
                yield f"route {route.name}: service {part.service} is not declared"
