"""Tests of decoding the platform's entries, durations and settings file."""

import json
import tempfile
from pathlib import Path

from ibisrack.errors import MessageError, SettingsError
from ibisrack.platform.durations import parse_duration_s
from ibisrack.platform.entries import decode_configuration, decode_instance, instance_id
from ibisrack.platform.settings_file import load_platform_settings
from ibisrack.registry.messages import Entry
from ibisrack.routing.model import Repeats, RoutePart
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


load_tests = function_tests(__name__)
