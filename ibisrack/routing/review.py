"""Reviews a configuration before it is published: what can't match, contradicts itself or changes.

The findings are about a configuration that can be decoded; nodes would put it in force.
"""

from collections.abc import Iterator
from enum import StrEnum

import attrs

from ibisrack.routing.model import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    Configuration,
    Limits,
    Route,
    ServiceOptions,
)


class FindingKind(StrEnum):
    """What a finding says of a resource."""

    NEVER_MATCHES = "never-matches"
    CONTRADICTION = "contradiction"


@attrs.frozen
class Finding:
    """A resource that does not do what its operator would expect.

    Attributes:
      kind: What the finding says.
      resource: Type and name of the resource.
      message: Description of the problem, in one sentence.
    """

    kind: FindingKind
    resource: str
    message: str


@attrs.frozen
class Difference:
    """A resource that differs from the version in force.

    Attributes:
      action: ``added``, ``removed`` or ``changed``.
      resource: Type and name of the resource.
      fields: Names of the changed fields with the value before and after.
    """

    action: str
    resource: str
    fields: tuple[tuple[str, str, str], ...] = ()


def review(configuration: Configuration) -> tuple[Finding, ...]:
    """Returns the findings about a configuration, routes first."""
    return (
        *_unmatched_routes(configuration),
        *_unused_services(configuration),
        *(f for route in configuration.routes for f in _route_contradictions(route)),
        *(f for s in configuration.services.values() for f in _service_contradictions(s)),
        *_limit_contradictions(configuration.limits),
    )


def compare(in_force: Configuration, offered: Configuration) -> tuple[Difference, ...]:
    """Returns what an offered configuration changes."""
    limits = {"limits": in_force.limits}, {"limits": offered.limits}
    return (
        *_compare_resources(_routes_by_name(in_force), _routes_by_name(offered)),
        *_compare_resources(_services_by_name(in_force), _services_by_name(offered)),
        *_compare_resources(*limits),
    )


def version_finding(in_force: Configuration, offered: Configuration) -> Finding | None:
    """Returns a finding if nodes would ignore an offered configuration for its version."""
    if offered.version > in_force.version:
        return None
    message = f"version {offered.version} is not above version {in_force.version}, so it is ignored"
    return Finding(FindingKind.CONTRADICTION, "version", message)


def _unmatched_routes(configuration: Configuration) -> Iterator[Finding]:
    last = {(route.host, route.prefix): route for route in configuration.routes}
    for route in configuration.routes:
        winner = last[route.host, route.prefix]
        if winner is not route:
            yield _unmatched(route, f"route {winner.name} has the same host and prefix")
        elif not _is_host_header(route.host):
            yield _unmatched(route, f"no Host header is '{route.host}'")
        elif not _is_path(route.prefix):
            yield _unmatched(route, f"no request path begins with '{route.prefix}'")
        elif len(route.prefix) + len(route.host) > configuration.limits.max_header_bytes:
            yield _unmatched(route, "host and prefix are longer than max_header_bytes")


def _unused_services(configuration: Configuration) -> Iterator[Finding]:
    used = {part.service for route in configuration.routes for part in route.parts}
    for name in configuration.services:
        if name not in used:
            yield Finding(FindingKind.NEVER_MATCHES, f"service {name}", "no route uses it")


def _route_contradictions(route: Route) -> Iterator[Finding]:
    if route.timeout_s <= 0:
        yield _contradiction(_label(route), "the timeout leaves no time for an answer")
    elif route.target_s > route.timeout_s:
        message = (
            f"the target of {route.target_s:g} s is after the timeout of {route.timeout_s:g} s"
        )
        yield _contradiction(_label(route), message)
    if route.unknown_kind:
        message = f"kind '{route.unknown_kind}' is unknown; its requests run at most once"
        yield _contradiction(_label(route), message)


def _service_contradictions(service: ServiceOptions) -> Iterator[Finding]:
    label = f"service {service.name}"
    if service.max_connections == 0:
        yield _contradiction(label, "no connection to an instance is allowed")
    if service.cold_rate_per_s and not service.cold_s:
        yield _contradiction(
            label, "it has a rate for cold instances but no time for which they are"
        )


def _limit_contradictions(limits: Limits) -> Iterator[Finding]:
    if limits.max_header_bytes == 0:
        yield _contradiction("limits", "no request has a head of 0 bytes")
    if limits.header_timeout_s <= 0:
        yield _contradiction("limits", "the header timeout leaves no time for a head")
    for name, value, largest in (
        ("max_header_bytes", limits.max_header_bytes, MAX_HEADER_BYTES),
        ("max_body_bytes", limits.max_body_bytes, MAX_BODY_BYTES),
    ):
        if value >= largest:
            yield _contradiction("limits", f"{name} is bounded to {largest}")


def _is_host_header(host: str) -> bool:
    # Host headers are compared as they are sent, and without a port and in lower case.
    name, _, port = host.partition(":")
    is_name = all("!" <= character <= "~" and character != "/" for character in name)
    return bool(name) and is_name and (not port or port.isdecimal())


def _is_path(prefix: str) -> bool:
    return all("!" <= character <= "~" and character not in "?#" for character in prefix)


def _unmatched(route: Route, message: str) -> Finding:
    return Finding(FindingKind.NEVER_MATCHES, _label(route), message)


def _contradiction(resource: str, message: str) -> Finding:
    return Finding(FindingKind.CONTRADICTION, resource, message)


def _label(route: Route) -> str:
    return f"route {route.name}"


def _routes_by_name(configuration: Configuration) -> dict[str, Route]:
    return {_label(route): route for route in configuration.routes}


def _services_by_name(configuration: Configuration) -> dict[str, ServiceOptions]:
    return {f"service {name}": options for name, options in configuration.services.items()}


def _compare_resources(before: dict[str, object], after: dict[str, object]) -> Iterator[Difference]:
    for label in sorted(before.keys() | after.keys()):
        old, new = before.get(label), after.get(label)
        if old is None or new is None:
            yield Difference("added" if old is None else "removed", label)
        elif old != new:
            yield Difference("changed", label, _changed_fields(old, new))


def _changed_fields(old: object, new: object) -> tuple[tuple[str, str, str], ...]:
    before, after = (attrs.asdict(value) for value in (old, new))
    return tuple(
        (name, str(before[name]), str(after[name]))
        for name in before
        if before[name] != after[name]
    )
