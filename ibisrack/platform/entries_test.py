"""Tests of decoding the entries of instances."""

import json

from ibisrack.errors import MessageError
from ibisrack.platform.entries import decode_instance, evacuated_zone, instance_id
from ibisrack.registry.messages import Entry
from ibisrack.testing.entries import assert_refused, with_value
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance, instance_entry

NO_NUMBERS = (-1, True, None, "1", 1.0, float("nan"), float("inf"), 10**400, 2**64, 2**63, [])


def test_an_instance_entry_is_decoded():
    """Guards against fields read from the wrong place in the entry."""
    expected = instance(started_at_ms=5, sequence=3)
    assert decode_instance(Entry("servers/i-1", instance_entry(expected), 1)) == expected
    assert instance_id("op/config") == ""
    cold = instance(cold_left_s=1.5)
    assert decode_instance(Entry("servers/i-1", instance_entry(cold), 1)).cold_left_s == 1.5


def test_zone_of_an_evacuation_is_read_from_its_key():
    """Guards against an evacuation that is taken for another entry."""
    assert evacuated_zone("op/evacuate/north") == "north"
    for other in ("op/config", "op/evacuate", "op/evacuate/", "servers/op/evacuate/north"):
        assert evacuated_zone(other) == ""


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


def test_durations_of_entries_are_bounded():
    """Guards against a time that is infinite, or in digits of another script."""
    valid = instance_entry(instance())
    for text in ("NaN", "nans", "infs", "1e309s", "9" * 400 + "s", "٣s", "3s\n", "-3s", "+3s"):
        assert_refused(decode_instance, with_value(valid, ("status", "cold_remaining"), text))


load_tests = function_tests(__name__)
