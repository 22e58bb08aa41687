"""Tests of decoding the platform's entries, durations and settings file."""

import json
import re
import tempfile
from collections.abc import Callable
from pathlib import Path

import yaml

from ibisrack.errors import MessageError, SettingsError
from ibisrack.links.codec import MAX_FRAME_BYTES
from ibisrack.platform.durations import parse_duration_s
from ibisrack.platform.entries import (
    LAST_CONFIGURATION,
    decode_configuration,
    decode_instance,
    instance_id,
)
from ibisrack.platform.settings_file import load_platform_settings
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
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    configuration_entry,
    instance,
    instance_entry,
    route_resource,
)

SETTINGS = """
self:
  node: "sidecar-1"
  ip: "10.1.0.38"
  zone: "north"
  app_addr: "10.1.0.38:8145"
  service: "desk"
network:
  listen: {inbound: "10.1.0.38:8146", outbound: "10.1.0.38:8147", ready: "10.1.0.38:8141"}
platform:
  platform: {address: "10.200.1.7:8142", form: "read"}
terms:
  bounds: {grace: "6s", retry_budget_ratio: 0.3, budget_slack: 58, budget_window: "10s", odd: {}}
"""


def load(text: str):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.yaml"
        path.write_text(text)
        return load_platform_settings(str(path))


def test_settings_may_be_json():
    """Guards against a template that gives other settings than the platform's own file."""
    as_yaml = load(SETTINGS)
    as_json = load(json.dumps(yaml.safe_load(SETTINGS)))
    assert as_json == as_yaml


def test_template_of_the_settings_gives_what_the_file_of_the_platform_does():
    """Guards against a setting that is lost because the template does not name it."""
    tables = yaml.safe_load(SETTINGS)
    fields = {name: value for table in tables.values() for name, value in table.items()}
    template = (Path("deploy") / "settings.json.tmpl").read_text()
    filled = re.sub(r"{{(\w+)\|json}}", lambda m: json.dumps(fields.get(m[1])), template)
    assert load(filled) == load(SETTINGS)


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


def test_durations_are_converted_by_unit():
    """Guards against durations read in the wrong unit or without one."""
    assert parse_duration_s("1500ms") == 1.5
    assert parse_duration_s("2.5s") == 2.5
    for malformed in ("1500", "2m", "-1s", 3, None, "1e3s", "s"):
        try:
            parse_duration_s(malformed)
        except ValueError:
            continue
        raise AssertionError(malformed)


def test_an_instance_entry_is_decoded():
    """Guards against fields read from the wrong place in the entry."""
    expected = instance(started_at_ms=5, sequence=3)
    assert decode_instance(Entry("servers/i-1", instance_entry(expected), 1)) == expected
    assert instance_id("op/config") == ""


def test_a_malformed_instance_entry_is_rejected():
    """Guards against entries of other programs that raise unexpected errors in the decoder."""
    valid = json.loads(instance_entry(instance()))
    malformed = [b"", b"\xff", b"[]", b"{}", b"nul"]
    for path, value in (
        (("address",), "10.0.0.1"),
        (("address",), 7),
        (("born",), 1.5),
        (("info", "slots"), "6"),
        (("info", "slots"), True),
        (("info", "service"), ""),
        (("status", "state"), "asleep"),
        (("status", "state"), []),
        (("status", "seq"), None),
        (("status",), "ready"),
    ):
        changed = json.loads(json.dumps(valid))
        parent = changed
        for name in path[:-1]:
            parent = parent[name]
        parent[path[-1]] = value
        malformed.append(json.dumps(changed).encode())
    for content in malformed:
        try:
            decode_instance(Entry("servers/i-1", content, 1))
        except MessageError:
            continue
        raise AssertionError(content)


def with_value(content: bytes, path: tuple[str | int, ...], value: object) -> bytes:
    """Returns a JSON object in which the value at a path is replaced."""
    body = json.loads(content)
    parent = body
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    return json.dumps(body).encode()


def assert_refused(decode: Callable[[Entry], object], content: bytes) -> None:
    """Asserts that an entry is refused with the error that its reader handles."""
    try:
        decoded = decode(Entry("servers/i-1", content, 1))
    except MessageError:
        return
    raise AssertionError(f"{content[:300]} was decoded to {str(decoded)[:300]}")


NO_NUMBERS = (-1, True, None, "1", 1.0, float("nan"), float("inf"), 10**400, 2**64, 2**63, [])


def test_numbers_of_an_instance_are_bounded():
    """Guards against a number that fails each choice of an instance, or each load report."""
    valid = instance_entry(instance())
    for path, largest in (
        (("info", "slots"), 65_535),
        (("born",), 2**53 - 1),
        (("status", "seq"), 2**53 - 1),
    ):
        for value in (*NO_NUMBERS, largest + 1):
            assert_refused(decode_instance, with_value(valid, path, value))
        decode_instance(Entry("servers/i-1", with_value(valid, path, largest), 1))


def test_instance_id_is_one_word_of_a_header():
    """Guards against a key that adds headers to requests, or that no request can be sent with."""
    content = instance_entry(instance())
    for odd in ("a\r\nX: y", "a\nb", "a b", "\0", "é", "€", "", "a" * 129, "a\x7f"):
        try:
            decode_instance(Entry(f"servers/{odd}", content, 1))
        except MessageError:
            continue
        raise AssertionError(odd)
    longest = "i-" + "a" * 126
    assert decode_instance(Entry(f"servers/{longest}", content, 1)).instance_id == longest


def test_only_ip_numbers_and_ports_are_addresses():
    """Guards against a link that is opened to what can be no host, again and again."""
    valid = instance_entry(instance())
    for address in (
        "10.0.0.1:70000",
        "10.0.0.1:65536",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "10.0.0.1:+80",
        "10.0.0.1: 80",
        "10.0.0.1:80 ",
        "10.0.0.1:8_0",
        "10.0.0.1:٨٠",
        "10.0.0.1:²",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:",
        ":80",
        "80",
        "10.0.0.1\0:80",
        "\0:80",
        " 10.0.0.1:80",
        "a" * 300 + ":80",
        "localhost:80",
        "10.0.0.256:80",
        "10.0.0.01:80",
        "10.1:80",
        "167772161:80",
        "10.0.0.1:1:80",
        "[::1]:80",
        "fe80::1%eth0:80",
        "fe80::1%\r\nX: y:80",
        "0.0.0.0:80",
        ":::80",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "ff02::1:80",
    ):
        assert_refused(decode_instance, with_value(valid, ("address",), address))
    for host in ("10.0.0.1", "127.0.0.1", "::1", "fd00::7"):
        content = with_value(valid, ("address",), f"{host}:65535")
        decoded = decode_instance(Entry("servers/i-1", content, 1))
        assert (decoded.host, decoded.port) == (host, 65535)


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


def test_durations_of_entries_are_bounded():
    """Guards against a time that is infinite, or in digits of another script."""
    valid = instance_entry(instance())
    for text in ("NaN", "nans", "infs", "1e309s", "9" * 400 + "s", "٣s", "3s\n", "-3s", "+3s"):
        assert_refused(decode_instance, with_value(valid, ("status", "cold_remaining"), text))


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


def test_a_malformed_configuration_is_rejected_as_a_whole():
    """Guards against a configuration that is applied in part."""
    malformed = [
        configuration_entry(12, route_resource(service="missing")),
        configuration_entry(12, route_resource(kind="odd")),
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


def test_unknown_fields_of_the_settings_file_are_ignored():
    """Guards against a startup failure caused by a field of a later release."""
    settings = load(SETTINGS)
    assert settings.calls.port == 8147
    assert settings.links.port == 8146
    assert settings.registry.host == "10.200.1.7"
    assert (settings.stop_s, settings.retry_ratio, settings.retry_slack) == (6.0, 0.3, 58.0)


def test_memory_limit_of_the_machine_is_read():
    """Guards against a machine whose limit on answers does not follow from its memory."""
    limits = "self:\n  limits: {cores: 1, memory_mb: 300}"
    assert load(SETTINGS.replace("self:", limits)).memory_mb == 300
    for absent in (SETTINGS, SETTINGS.replace("self:", limits.replace("300", "0"))):
        assert load(absent).memory_mb == 128


def test_all_faults_of_the_settings_file_are_reported_together():
    """Guards against reporting only the first fault at each start."""
    text = SETTINGS.replace('zone: "north"', "zone: 7").replace('grace: "6s"', "grace: 6")
    try:
        load(text.replace("10.1.0.38:8147", "10.1.0.38"))
    except SettingsError as error:
        message = str(error)
        assert all(word in message for word in ("zone", "grace", "outbound")), message
    else:
        raise AssertionError("the faults were not found")


def test_a_malformed_port_is_a_fault():
    """Guards against a startup that ends with a ValueError and names no field."""
    for port in ("²", "٣", "9" * 5000, "65536", ""):
        try:
            load(SETTINGS.replace("10.1.0.38:8147", f"10.1.0.38:{port}"))
        except SettingsError as error:
            messages = {fault.path: fault.message for fault in error.faults}
            assert messages["network.listen.outbound"] == "expected IP:PORT", messages
        else:
            raise AssertionError(port)


def test_file_that_can_not_be_loaded_is_a_fault():
    """Guards against a start or a reload that ends with an exception and names no file."""
    for text in (
        "odd: " + "[" * 5000 + "]" * 5000,
        "odd: " + "9" * 5000,
        "odd: 2024-99-99",
        "odd: {a: !!python/object:os.system x}",
        "self: [",
        "\0",
        "? [a]\n: b",
    ):
        try:
            load(SETTINGS + text)
        except SettingsError as error:
            assert all(fault.file.endswith("settings.yaml") for fault in error.faults)
        else:
            raise AssertionError(text[:100])


def test_odd_numbers_of_the_settings_file_are_faults():
    """Guards against a number that ends a running sidecar later."""
    huge, limits = "9" * 400, "self:\n  limits: {link_mbps: 9}"
    for text in (
        *(SETTINGS.replace("0.3", odd) for odd in (".nan", ".inf", "-1", huge, '"0.3"', "1e309")),
        *(SETTINGS.replace("58", odd) for odd in (".nan", "-.inf", huge, "true x")),
        *(SETTINGS.replace('"6s"', odd) for odd in ('"NaNs"', '"1e309s"', '"9999999999s"', ".inf")),
        *(SETTINGS.replace("self:", limits.replace("9", odd)) for odd in (".inf", huge)),
        *(SETTINGS.replace("10.1.0.38:8147", odd) for odd in ("10.1.0.38:0", "a:80", "\\0:80")),
    ):
        try:
            load(text)
        except SettingsError:
            continue
        raise AssertionError(text)


def test_odd_port_for_metrics_is_a_fault():
    """Guards against a start that ends with a ValueError and names no variable."""
    for port in ("9" * 5000, "65536", "0", "-1", "²", " 80"):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.yaml"
            path.write_text(SETTINGS)
            try:
                load_platform_settings(str(path), port)
            except SettingsError:
                continue
        raise AssertionError(port)


load_tests = function_tests(__name__)
