"""Tests of the review of a configuration before it is published."""

import attrs

from ibisrack.routing.model import (
    Configuration,
    Limits,
    Repeats,
    Route,
    RoutePart,
    ServiceOptions,
)
from ibisrack.routing.review import FindingKind, compare, review, version_finding
from ibisrack.testing.functions import function_tests

ROUTE = Route(
    "r-1", "desk.example", "/a/", Repeats.ALLOWED, 2.0, 0.5, 0, 2, (RoutePart("desk", 1),)
)
DESK = ServiceOptions("desk", "/healthz", 50, cold_s=3.0, cold_rate_per_s=6.5)
CONFIGURATION = Configuration(7, (ROUTE,), {"desk": DESK}, Limits(max_body_bytes=1_000_000))


def _messages(configuration: Configuration, kind: FindingKind) -> list[str]:
    return [f"{f.resource}: {f.message}" for f in review(configuration) if f.kind is kind]


def _with_route(**changes: object) -> Configuration:
    return attrs.evolve(CONFIGURATION, routes=(attrs.evolve(ROUTE, **changes),))


def test_sound_configuration_has_no_findings():
    """Guards against a check that operators learn to ignore."""
    assert review(CONFIGURATION) == ()


def test_routes_that_no_request_matches_are_found():
    """Guards against a route that its operator believes to be in use."""
    second = attrs.evolve(ROUTE, name="r-2")
    found = review(attrs.evolve(CONFIGURATION, routes=(ROUTE, second)))
    assert [(f.kind, f.resource) for f in found] == [(FindingKind.NEVER_MATCHES, "route r-1")]
    for changes in (
        {"host": "desk example"},
        {"host": "desk.example/x"},
        {"host": "desk.example:port"},
        {"prefix": "/a?b=/"},
        {"prefix": "/ä/"},
        {"prefix": "/" + "a" * 20_000 + "/"},
    ):
        assert len(_messages(_with_route(**changes), FindingKind.NEVER_MATCHES)) == 1, changes
    assert not review(_with_route(host="desk.example:8080"))


def test_service_without_a_route_is_found():
    """Guards against a service that was left behind when its route was renamed."""
    services = {"desk": DESK, "docs": attrs.evolve(DESK, name="docs")}
    found = review(attrs.evolve(CONFIGURATION, services=services))
    assert [(f.kind, f.resource) for f in found] == [(FindingKind.NEVER_MATCHES, "service docs")]


def test_limits_that_contradict_each_other_are_found():
    """Guards against limits of which one makes the other meaningless."""
    for configuration in (
        _with_route(target_s=3.0),
        _with_route(timeout_s=0.0),
        _with_route(unknown_kind="stream"),
        attrs.evolve(CONFIGURATION, services={"desk": attrs.evolve(DESK, max_connections=0)}),
        attrs.evolve(CONFIGURATION, services={"desk": attrs.evolve(DESK, cold_s=0.0)}),
        attrs.evolve(CONFIGURATION, limits=Limits(max_body_bytes=2**40)),
        attrs.evolve(CONFIGURATION, limits=Limits(max_body_bytes=1, header_timeout_s=0)),
    ):
        found = _messages(configuration, FindingKind.CONTRADICTION)
        assert len(found) == 1, (configuration, found)


def test_differences_name_the_changed_fields():
    """Guards against a change that its operator did not mean to publish."""
    assert compare(CONFIGURATION, CONFIGURATION) == ()
    offered = attrs.evolve(
        _with_route(timeout_s=3.0), services={"desk": DESK, "docs": DESK}, limits=Limits()
    )
    assert [
        (d.action, d.resource, [f[0] for f in d.fields]) for d in compare(CONFIGURATION, offered)
    ] == [
        ("changed", "route r-1", ["timeout_s"]),
        ("added", "service docs", []),
        ("changed", "limits", ["max_body_bytes"]),
    ]
    removed = compare(offered, CONFIGURATION)
    assert [d.action for d in removed] == ["changed", "removed", "changed"]


def test_version_that_nodes_would_ignore_is_found():
    """Guards against a configuration that no node puts in force."""
    assert version_finding(CONFIGURATION, attrs.evolve(CONFIGURATION, version=8)) is None
    for version in (6, 7):
        assert version_finding(CONFIGURATION, attrs.evolve(CONFIGURATION, version=version))


load_tests = function_tests(__name__)
