"""Tests of the settings loader with invalid files and documents."""

import json
import tempfile
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.errors import SettingsError
from ibisrack.settings.document import SETTINGS_BY_PROCESS
from ibisrack.settings.loader import load_settings, parse_settings
from ibisrack.settings.node import NodeSettings
from ibisrack.settings.room import RoomSettings
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz

GOOD = json.loads(Path("examples/pilbara/node-newman.json").read_text())


def _faults(data: object, cls: type = NodeSettings) -> list[tuple[str, str]]:
    try:
        parse_settings(data, cls, "f.json")
    except SettingsError as error:
        return [(fault.path, fault.message) for fault in error.faults]
    return []


def test_all_faults_are_reported_with_their_path():
    """Guards against a loader that stops at the first fault or loses the path of a fault."""
    listen = {**GOOD["listen"], "host": "localhost", "call_port": 0}
    faults = _faults({**GOOD, "listen": listen, "upstream": {"base_url": "https://a"}})
    assert {path for path, _ in faults} == {
        "$.listen.host",
        "$.listen.call_port",
        "$.upstream.base_url",
    }


def test_wrong_types_missing_and_unknown_keys_are_faults():
    """Guards against values converted silently, and keys ignored or filled in silently."""
    found = _faults({"identity": {**GOOD["identity"], "generation": "1"}, "more": 1})
    text = str(found)
    assert "expected int, got str" in text and "listen" in text and "more" in text


def test_room_needs_an_admin_address():
    """Guards against a room process that starts without any node to read the fleet from."""
    screen = {"host": "10.0.0.1", "port": 8090}
    data = {"title": "t", "screen": screen, "poll": {"admin_addresses": []}}
    assert _faults(data, RoomSettings) == [
        ("$.poll.admin_addresses", "must name at least one address")
    ]


def test_a_malformed_port_is_a_fault():
    """Guards against a port of other digits than ASCII, and a fault that names no port."""
    for port in ("²", "٣", "9" * 5000, "0", "65536", "+80", ""):
        value = f"http://10.0.0.1:{port}"
        message = f"'10.0.0.1:{port}' does not end with a port number"
        assert _faults({**GOOD, "upstream": {**GOOD["upstream"], "base_url": value}}) == [
            ("$.upstream.base_url", message)
        ]


def test_unreadable_files_are_faults():
    """Guards against other exceptions for a missing file or a file that is not JSON."""
    for path, message in (("/nonexistent", "No such file"), ("Makefile", "not JSON")):
        try:
            load_settings(path, NodeSettings)
        except SettingsError as error:
            assert message in str(error)
        else:
            raise AssertionError(path)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)
_KEYS = st.sampled_from([(s, k) for s, v in GOOD.items() for k in v])


@fuzz(1000)
@given(_KEYS, _JSON)
def test_any_value_of_any_key_is_accepted_or_refused(section_and_key, value):
    """Guards against other exceptions than SettingsError for a wrong value of one key."""
    section, key = section_and_key
    data = {**GOOD, section: {**GOOD[section], key: value}}
    for path, message in _faults(data):
        assert message and path.startswith("$")


@fuzz(500)
@given(st.sampled_from(sorted(SETTINGS_BY_PROCESS)), _JSON)
def test_any_document_is_refused(process, value):
    """Guards against documents without the required keys being accepted."""
    assert _faults(value, SETTINGS_BY_PROCESS[process])


def test_file_that_can_not_be_loaded_is_a_fault():
    """Guards against a start that ends with an exception and names no file."""
    for text in ("[" * 100_000, "9" * 5000, '{"a": ' + "[" * 5000 + "]" * 5000 + "}"):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(text)
            try:
                load_settings(str(path), NodeSettings)
            except SettingsError as error:
                assert error.faults[0].file == str(path)
                continue
        raise AssertionError(text[:50])


load_tests = function_tests(__name__)
