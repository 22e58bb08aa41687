"""Decodes the store's entries into instances and configurations.

An entry may come from another writer and be malformed in any way.  Such an entry names no instance;
such a configuration is refused as a whole.
"""

from typing import Any

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

_STATES = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}
_REPEATS = {
    "idempotent": Repeats.ALLOWED,
    "download": Repeats.ALLOWED,
    "non_idempotent": Repeats.FORBIDDEN,
}


def instance_id(key: str) -> str:
    """Returns the id of the instance that an entry's key names, empty for other keys."""
    return key[len(INSTANCE_PREFIX) :] if key.startswith(INSTANCE_PREFIX) else ""


def decode_instance(entry: Entry) -> Instance:
    """Decodes an instance's entry.

    Raises:
      MessageError: The entry is malformed.
    """
    try:
        body = _table(msgspec.json.decode(entry.content))
        info, status = _table(body["info"]), _table(body["status"])
        host, _, port = _text(body["address"]).rpartition(":")
        return Instance(
            instance_id=instance_id(entry.key),
            service=_text(info["service"]),
            host=host,
            port=int(port),
            zone=_text(info["zone"]),
            slots=_whole(info["slots"]),
            state=_STATES[status["state"]],
            # What is left of the slow time after the start, not its whole length.
            cold_left_s=parse_duration_s(status["cold_remaining"]),
            started_at_ms=_whole(body["born"]) if "born" in body else 0,
            sequence=_whole(status["seq"]),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"{entry.key}: {type(error).__name__} {error}") from error


def decode_configuration(entry: Entry) -> Configuration:
    """Decodes the operator's configuration.

    Raises:
      MessageError: The configuration is malformed.
    """
    try:
        body = _table(msgspec.json.decode(entry.content))
        routes: list[Route] = []
        services: dict[str, ServiceOptions] = {}
        limits = Limits()
        for resource in body["resources"]:
            kind, spec = resource["resource_type"], _table(resource["spec"])
            name = _table(resource["metadata"]).get("name", "")
            if kind == "routes":
                routes.append(_route(_text(name), spec))
            elif kind == "services":
                services[_text(name)] = _service(_text(name), spec)
            elif kind == "limits":
                limits = _limits(spec)
        version = int(_text(body["version"]), 16)
        _check_references(routes, services)
        return Configuration(version, tuple(routes), services, limits)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"{entry.key}: {type(error).__name__} {error}") from error


def _route(name: str, spec: dict[str, Any]) -> Route:
    if "traffic_split" in spec:
        parts = tuple(
            RoutePart(_text(part["service"]), _whole(part["weight"]))
            for part in spec["traffic_split"]
        )
    else:
        parts = (RoutePart(_text(spec["service"]), 1),)
    if sum(part.weight for part in parts) <= 0:
        raise ValueError(f"route {name}: no part has a weight")
    prefix = _text(spec["prefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"route {name}: the prefix must begin and end with a slash")
    timeout_s = parse_duration_s(spec["timeout"])
    return Route(
        name=name,
        host=_text(spec["host"]),
        prefix=prefix,
        repeats=_REPEATS[spec["kind"]],
        timeout_s=timeout_s,
        target_s=(
            parse_duration_s(spec["target_latency"]) if "target_latency" in spec else timeout_s
        ),
        priority=_whole(spec.get("priority", 0)),
        max_attempts=max(1, _whole(spec.get("max_attempts", 1))),
        parts=tuple(part for part in parts if part.weight > 0),
    )


def _service(name: str, spec: dict[str, Any]) -> ServiceOptions:
    return ServiceOptions(name, _text(spec["health_path"]), _whole(spec["max_connections"]))


def _limits(spec: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=_whole(spec["max_header_bytes"]),
        max_body_bytes=_whole(spec["max_body_bytes"]),
        header_timeout_s=parse_duration_s(spec["header_timeout"]),
        idle_timeout_s=parse_duration_s(spec["idle_timeout"]),
    )


def _check_references(routes: list[Route], services: dict[str, ServiceOptions]) -> None:
    for route in routes:
        for part in route.parts:
            if part.service not in services:
                raise ValueError(f"route {route.name}: service {part.service} is not declared")


def _table(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise TypeError("expected a table")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError("expected a text")
    return value


def _whole(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise TypeError("expected a whole number")
    return value
