"""Tests of decoding the operator's configuration."""

from ibisrack.errors import MessageError
from ibisrack.links.codec import MAX_FRAME_BYTES
from ibisrack.platform.configurations import LAST_CONFIGURATION, MAX_LABEL_CHARS, find_errors
from ibisrack.platform.entries import decode_configuration
from ibisrack.registry.messages import Entry
from ibisrack.routing.model import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_PRIORITY,
    Repeats,
    Route,
    RoutePart,
)
from ibisrack.routing.splits import Splitter
from ibisrack.testing.entries import assert_refused, with_value
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import configuration_entry, route_resource


def test_only_changed_resources_of_a_configuration_are_decoded():
    """Guards against versions in quick succession that keep a node from serving requests."""
    unchanged = [route_resource(prefix=f"/unchanged-{n}/") for n in range(100)]
    contents = (
        configuration_entry(version, *unchanged, route_resource(prefix=f"/{version}/"))
        for version in (1, 2)
    )
    first, second = (decode_configuration(Entry("op/config", c, 4)) for c in contents)
    assert [route.prefix for route in second.routes[-2:]] == ["/unchanged-99/", "/2/"]
    known = {id(route) for route in first.routes}
    assert [route.prefix for route in second.routes if id(route) not in known] == ["/2/"]


def test_only_the_resources_of_the_last_configuration_are_kept():
    """Guards against memory that grows with each version, or with resources of unknown types."""
    unknown = {"resource_type": "other", "metadata": {"name": "x"}, "spec": {"text": "x" * 9999}}
    for version in range(1, 9):
        content = configuration_entry(version, route_resource(prefix=f"/{version}/"), unknown)
        decode_configuration(Entry("op/config", content, version))
    kept = LAST_CONFIGURATION.decoded
    assert sum(map(len, kept)) < len(content)
    assert [r.prefix for r in kept.values() if isinstance(r, Route)] == ["/8/"]


NO_COUNTS = (-1, True, None, "1", 1.0, float("nan"), float("inf"), [], -(2**63))

LARGE_COUNTS = (2**31, 2**53 + 1, 2**63, 2**64, 10**400)

COUNTS = configuration_entry(12, route_resource(traffic_split=[{"service": "desk", "weight": 9}]))

COUNT_PATHS = (
    (0, "spec", "priority"),
    (0, "spec", "max_attempts"),
    (0, "spec", "traffic_split", 0, "weight"),
    (1, "spec", "max_connections"),
    (2, "spec", "max_header_bytes"),
    (2, "spec", "max_body_bytes"),
)


def test_what_is_no_count_is_refused():
    """Guards against a value that fails each request of a route, or each connection."""
    for path in COUNT_PATHS:
        for value in NO_COUNTS:
            assert_refused(decode_configuration, with_value(COUNTS, ("resources", *path), value))
        decode_configuration(Entry("op/config", with_value(COUNTS, ("resources", *path), 9), 1))


def test_counts_of_any_size_are_read():
    """Guards against a version that is refused as a whole for a limit that means no limit."""
    for path in COUNT_PATHS:
        for value in LARGE_COUNTS:
            content = with_value(COUNTS, ("resources", *path), value)
            configuration = decode_configuration(Entry("op/config", content, 1))
            route, limits = configuration.routes[0], configuration.limits
            assert limits.max_header_bytes <= MAX_HEADER_BYTES
            assert limits.max_body_bytes <= MAX_BODY_BYTES
            assert route.priority <= MAX_PRIORITY
            assert Splitter().next_service(route) == "desk"


def test_large_weights_keep_their_proportion():
    """Guards against parts of a split that count as equal because both are bounded."""
    split = [{"service": "desk", "weight": 3 * 2**62}, {"service": "docs", "weight": 2**62}]
    content = configuration_entry(
        12, route_resource(traffic_split=split), services=("desk", "docs")
    )
    route = decode_configuration(Entry("op/config", content, 1)).routes[0]
    splitter = Splitter()
    chosen = [splitter.next_service(route) for _ in range(400)]
    assert (chosen.count("desk"), chosen.count("docs")) == (300, 100)


def test_requests_fit_the_messages_between_nodes():
    """Guards against an allowed request that no link carries, which ends the link of its node."""
    content = configuration_entry(12, route_resource())
    for name in ("max_header_bytes", "max_body_bytes"):
        content = with_value(content, ("resources", 2, "spec", name), 2**32)
    limits = decode_configuration(Entry("op/config", content, 1)).limits
    heads_bytes = 1024 * 1024
    assert limits.max_body_bytes + limits.max_header_bytes + heads_bytes < MAX_FRAME_BYTES


def test_version_has_eight_hexadecimal_digits():
    """Guards against a version that no later one can exceed, or that is no number of the users."""
    valid = configuration_entry(12, route_resource())
    for version in ("", "-0000001", "+0000001", " 0000001", "0x00000c", "0000_00c", "f" * 400):
        assert_refused(decode_configuration, with_value(valid, ("version",), version))
    for version in ("000000001", "٠٠٠٠٠٠٠١", 12, "0000000c\n"):
        assert_refused(decode_configuration, with_value(valid, ("version",), version))


def test_a_configuration_is_decoded():
    """Guards against fields that are lost, such as whether a route's requests may be repeated."""
    split = [{"service": "desk", "weight": 9}, {"service": "docs", "weight": 1}]
    routes = (
        route_resource(),
        route_resource("non_idempotent", prefix="/b/"),
        route_resource("download", prefix="/c/", traffic_split=split),
    )
    content = configuration_entry(12, *routes, services=("desk", "docs"))
    decoded = decode_configuration(Entry("op/config", content, 4))
    assert decoded.version == 12
    repeats = [route.repeats for route in decoded.routes]
    assert repeats == [Repeats.ALLOWED, Repeats.FORBIDDEN, Repeats.ALLOWED]
    assert decoded.routes[2].parts == (RoutePart("desk", 9), RoutePart("docs", 1))
    assert decoded.routes[0].target_s == 0.5
    assert decoded.limits.max_body_bytes == 1048576


def test_uploads_run_at_most_once():
    """Guards against a version that is refused as a whole because one route takes uploads."""
    content = configuration_entry(12, route_resource("upload"), route_resource(prefix="/b/"))
    decoded = decode_configuration(Entry("op/config", content, 4))
    assert [route.repeats for route in decoded.routes] == [Repeats.FORBIDDEN, Repeats.ALLOWED]
    assert not decoded.unknown_kinds


def test_a_kind_of_a_later_release_runs_at_most_once():
    """Guards against a fleet without a configuration, and against work that runs twice."""
    routes = (route_resource("stream"), route_resource("x" * 500, prefix="/b/"))
    configuration = configuration_entry(12, *routes, route_resource("stream", prefix="/c/"))
    decoded = decode_configuration(Entry("op/config", configuration, 4))
    assert all(route.repeats is Repeats.FORBIDDEN for route in decoded.routes)
    assert decoded.unknown_kinds == ("stream", "x" * MAX_LABEL_CHARS)


def test_cold_rate_of_a_service_is_read():
    """Guards against instances that crash because they get more than their service states."""
    plain = configuration_entry(12, route_resource())
    service = decode_configuration(Entry("op/config", plain, 4)).services["desk"]
    assert (service.cold_s, service.cold_rate_per_s) == (0.0, 0.0)
    path = ("resources", 1, "spec")
    content = with_value(with_value(plain, (*path, "cold"), "3s"), (*path, "cold_per_s"), 6.5)
    service = decode_configuration(Entry("op/config", content, 4)).services["desk"]
    assert (service.cold_s, service.cold_rate_per_s) == (3.0, 6.5)
    for name, odd in (
        *(("cold_per_s", odd) for odd in (-1, True, None, "6.5", [])),
        *(("cold", odd) for odd in (3, "soon", None, "-1s")),
    ):
        try:
            decode_configuration(Entry("op/config", with_value(content, (*path, name), odd), 4))
        except MessageError as error:
            assert "services desk" in str(error), error
            continue
        raise AssertionError((name, odd))


def test_a_malformed_configuration_is_rejected_as_a_whole():
    """Guards against a configuration that is applied in part."""
    malformed = [
        configuration_entry(12, route_resource(service="missing")),
        configuration_entry(12, route_resource(kind="")),
        configuration_entry(12, route_resource(kind=7)),
        configuration_entry(12, route_resource(kind=["idempotent"])),
        configuration_entry(12, route_resource(timeout=5)),
        configuration_entry(12, route_resource(prefix="a/")),
        configuration_entry(12, route_resource())[:-20],
        b"",
        b"\xff",
        b'{"version": "0000000c"}',
        b'{"version": 12, "resources": []}',
    ]
    for content in malformed:
        try:
            decode_configuration(Entry("op/config", content, 4))
        except MessageError:
            continue
        raise AssertionError(content)


def test_all_errors_of_a_configuration_are_found():
    """Guards against an operator who learns of one error at each attempt to publish."""
    routes = (
        route_resource(timeout="soon"),
        route_resource(prefix="b"),
        route_resource(service="x"),
    )
    errors = find_errors(configuration_entry(12, *routes).replace(b"0000000c", b"twelve"))
    for word in ("'soon'", "slash", "eight hexadecimal", "service x is not declared"):
        assert sum(word in error for error in errors) == 1, (word, errors)
    assert len(errors) == 4
    assert find_errors(configuration_entry(12, route_resource())) == ()
    assert len(find_errors(b"{")) == 1


def test_refusal_of_a_configuration_names_the_resource():
    """Guards against an error that does not lead to the resource that keeps a version out."""
    odd = route_resource(timeout="soon", prefix="/odd/")
    for resource, label in ((odd, "routes r-idempotent-/odd/"), (route_resource(), "limits")):
        content = configuration_entry(12, route_resource(prefix="/good/"), resource)
        if resource is not odd:
            content = with_value(content, ("resources", 3, "spec", "idle_timeout"), "soon")
        try:
            decode_configuration(Entry("op/config", content, 4))
        except MessageError as error:
            assert label in str(error) and "'soon'" in str(error), error
        else:
            raise AssertionError(label)


load_tests = function_tests(__name__)
