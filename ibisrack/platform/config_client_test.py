"""Tests of decoding the values of the platform's configuration service."""

from ibisrack.errors import PlatformError
from ibisrack.platform.config_client import parse_hosts, parse_revision
from ibisrack.platform.messages import ListedHost
from ibisrack.testing.functions import function_tests

NESTED = b"[" * 5000 + b"]" * 5000


def assert_refused(content: bytes) -> None:
    """Asserts that a list of hosts is refused with the error of a failed read."""
    try:
        parse_hosts(content, 1)
    except PlatformError:
        return
    raise AssertionError(content[:100])


def test_list_of_hosts_that_can_not_be_decoded_is_a_failed_read():
    """Guards against a list whose nesting ends the reader's task."""
    for content in (NESTED, b'[{"node_id":"a","x":' + NESTED + b"}]", b"", b"\xff", b"{}", b"[7]"):
        assert_refused(content)


def test_generations_are_numbers_that_peers_can_be_sent():
    """Guards against a generation that no message between nodes can hold."""
    for number in (b"9" * 400, b"18446744073709551616", b"9223372036854775808", b"-1", b"1.5"):
        assert_refused(b'[{"node_id":"a","generation":' + number + b"}]")
    hosts = parse_hosts(b'[{"node_id":"a","generation":9007199254740991}]', 1)
    assert hosts.hosts == (ListedHost("a", 2**53 - 1),)


def test_revisions_are_numbers_that_peers_can_be_sent():
    """Guards against a version that is never read for the digits of its revision."""
    for text, revision in (("7", 7), ("0" * 30 + "7", 7), (str(2**63 - 1), 2**63 - 1)):
        assert parse_revision(text) == revision
    for text in ("", "-1", "+1", "1.0", "1e3", "٣", " 7", str(2**63), "9" * 400):
        try:
            parse_revision(text)
        except PlatformError:
            continue
        raise AssertionError(text)


load_tests = function_tests(__name__)
