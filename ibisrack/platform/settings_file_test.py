"""Tests of reading the platform's settings file."""

import json
import re
import tempfile
import tomllib
from pathlib import Path
from unittest.mock import Mock

import yaml

from ibisrack.errors import SettingsError
from ibisrack.platform.settings_file import load_platform_settings
from ibisrack.testing.functions import function_tests
from review.common import fleet

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
  heartbeat: "1200ms"
  platform: {address: "10.200.1.7:8142", form: "read"}
terms:
  bounds: {grace: "6s", retry_budget_ratio: 0.3, budget_slack: 58, budget_window: "10s", odd: {}}
"""


def load(text: str, **variables: str):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.yaml"
        path.write_text(text)
        return load_platform_settings(str(path), **variables)


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
    role = tomllib.loads((Path("deploy") / "system.toml").read_text())["roles"]["sidecar"]
    heartbeat = re.sub(
        r"{{(\w+)}}", lambda m: str(fields.get(m[1])), role["env"]["IBISRACK_HEARTBEAT"]
    )
    assert load(filled, heartbeat=heartbeat) == load(SETTINGS)


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


def test_limit_on_descriptors_is_read():
    """Guards against more connections than the machine has descriptors."""
    limits = "self:\n  limits: {max_fds: 4100}"
    assert load(SETTINGS.replace("self:", limits)).max_descriptors == 4100
    assert load(SETTINGS).max_descriptors == 4096


def test_bounds_on_changes_of_the_registry_are_read():
    """Guards against calls to the registry that are too long for the deployment's bounds."""
    assert load(SETTINGS).registry_apply_s == 2.0
    assert load(SETTINGS).heartbeat_s == 1.2
    assert load(SETTINGS.replace("heartbeat", "pulse")).heartbeat_s == 1.5
    for bounds, apply_s in (
        ('config_apply: "3000ms", drain: "2500ms"', 2.5),
        ('config_apply: "1.5s", drain: "2500ms"', 1.5),
        ('config_apply: "9s", drain: "9s", evac: "4s"', 4.0),
    ):
        settings = load(SETTINGS.replace("bounds: {", f"bounds: {{{bounds}, "))
        assert settings.registry_apply_s == apply_s


def test_heartbeat_of_the_deployment_is_read_from_the_environment():
    """Guards against entries that count as lapsed at another time than the deployment's."""
    text = SETTINGS.replace("heartbeat", "pulse")
    assert load(text, heartbeat="1200ms").heartbeat_s == 1.2
    assert load(text, heartbeat="").heartbeat_s == 1.5
    for faulty, heartbeat, named in (
        (text, "soon", "IBISRACK_HEARTBEAT"),
        (SETTINGS.replace('"1200ms"', '"0s"'), "1200ms", "heartbeat_s"),
    ):
        try:
            load(faulty, heartbeat=heartbeat)
        except SettingsError as error:
            assert named in str(error), error
        else:
            raise AssertionError(f"a faulty heartbeat was accepted: {named}")


def test_the_template_of_the_settings_needs_no_field_that_the_cases_of_the_review_lack():
    """Guards against cases of the review that can't run since a field was added."""
    instance = Mock()
    machine = fleet.Machine(
        "m", "desk", "a", "127.0.0.1", fleet.Ports(1, 2, 3, 4, 5), 300, instance
    )
    assert load(machine.rendered_settings(6)).service == "desk"


def test_bounds_of_cold_instances_and_evacuations_are_read():
    """Guards against a cold instance that gets more than its deployment allows."""
    settings = load(SETTINGS)
    assert (settings.cold_rate_factor, settings.cold_rate_slack) == (1.0, 0.0)
    bounds = 'bounds: {cold_over: 1.5, cold_slack: 8, evac: "4000ms", '
    settings = load(SETTINGS.replace("bounds: {", bounds))
    assert (settings.cold_rate_factor, settings.cold_rate_slack) == (1.5, 8)
    assert settings.evacuation_s == 4.0
    for odd in ("cold_over: -1", 'cold_slack: "8"', "evac: 4"):
        try:
            load(SETTINGS.replace("bounds: {", f"bounds: {{{odd}, "))
        except SettingsError:
            continue
        raise AssertionError(odd)


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
