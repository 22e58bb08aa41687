"""Tests of messages from peers whose numbers are odd, and of handlers that compute with them."""

import asyncio

import attrs

from ibisrack.errors import MessageError
from ibisrack.links.codec import encode
from ibisrack.links.frames import read_message
from ibisrack.links.messages import (
    Answered,
    Entries,
    Follow,
    Hello,
    KnownLimit,
    Load,
    RequestEntries,
    Submit,
)
from ibisrack.registry.messages import NO_REVISION, Revision
from ibisrack.suspects.messages import CrashReport, RunCompleted
from ibisrack.testing.functions import function_tests

MAX_TIME_MS = 2**53 - 1
ODD_FLOATS = (float("nan"), float("inf"), float("-inf"), -1.0, 1e300)
ODD_INTEGERS = (2**63, -(2**63), 2**64 - 1)
LOAD = Load(1, 2, 3, 4.5, True, Revision(1, 6), False, True)
HELLO = Hello("10.0.0.1", "e", 1000.0)
SUBMIT = Submit(
    7, "q", 1, False, "i-1", "desk", "r", True, 900, -5, 500, "docs", "GET", "h", "/", (), b""
)


CRASH = CrashReport("i-1", 7, (b"f" * 16,), (), 5)


async def read(message: object) -> object:
    """Returns a message as it is read from a connection."""
    reader = asyncio.StreamReader()
    reader.feed_data(encode(message))
    reader.feed_eof()
    return await read_message(reader)


async def assert_refused(*messages: object) -> None:
    """Asserts that messages are refused with the error that ends a link in order."""
    for message in messages:
        try:
            await read(message)
        except MessageError:
            continue
        raise AssertionError(message)


async def test_odd_numbers_of_a_load_report_are_refused():
    """Guards against a load report that fails or attracts each request of a service."""
    for name in ("busy", "queued", "slots", "link_backlog_ms", "cold_left_ms", "cold_free_starts"):
        for number in (*ODD_INTEGERS, -1):
            await assert_refused(attrs.evolve(LOAD, **{name: number}))
    for name in ("service_ms", "limit_per_s", "link_mbps", "paced_per_s"):
        for number in ODD_FLOATS:
            await assert_refused(attrs.evolve(LOAD, **{name: number}))
    for number in (-1, 2**63):
        await assert_refused(attrs.evolve(LOAD, configuration_version=number))
    for pairs in (((0, -1),), ((0, 2**63),), ((2**63, 1),), ((0, 1),) * 9):
        await assert_refused(attrs.evolve(LOAD, queued_by_priority=pairs))
    for number in ODD_INTEGERS:
        odd = (attrs.evolve(LOAD, free_starts=number), attrs.evolve(LOAD, leaving_start_ms=number))
        await assert_refused(*odd)


async def test_odd_limits_of_peers_are_refused():
    """Guards against a limit that fails each later load report, or stops an instance."""
    for number in (*ODD_FLOATS, 1e7):
        await assert_refused(KnownLimit("i-1", number))


async def test_odd_times_of_requests_and_answers_are_refused():
    """Guards against deadlines that no timer holds, and answers that no caller can get."""
    for name in ("remaining_ms", "remaining_target_ms", "initial_target_ms", "sent_at_ms"):
        for number in ODD_INTEGERS:
            await assert_refused(attrs.evolve(SUBMIT, **{name: number}))
    for number in (*ODD_INTEGERS, -1):
        await assert_refused(attrs.evolve(SUBMIT, expected_answer_bytes=number))
    for status in (*ODD_INTEGERS, -200, 0, 99, 100, 199, 1000):
        await assert_refused(Answered(1, status, (), b""))
    for number in (*ODD_INTEGERS, -1):
        await assert_refused(Answered(1, 200, (), b"", number))


async def test_odd_hosts_of_peers_are_refused():
    """Guards against a peer that says that it is at no address, or that has endless bandwidth."""
    for host in ("", "peer", "10.0.0.1:80", "10.0.0.1\0", "a" * 300, "fe80::1%\n"):
        await assert_refused(attrs.evolve(HELLO, host=host))
    for number in ODD_FLOATS:
        await assert_refused(attrs.evolve(HELLO, link_mbps=number))
    for number in (*ODD_INTEGERS, -1):
        await assert_refused(attrs.evolve(HELLO, sent_at_ms=number))
    await assert_refused(attrs.evolve(HELLO, process_epoch="e" * 65))
    await assert_refused(attrs.evolve(HELLO, process_epoch=""))


async def test_odd_revisions_of_peers_are_refused():
    """Guards against a revision that no later one of the registry exceeds."""
    revisions = (Revision(1, 2**63), Revision(1, -1), Revision(-1, 1), Revision(2**40, 1))
    for revision in revisions:
        await assert_refused(
            RequestEntries(revision),
            Follow(revision),
            attrs.evolve(LOAD, revision=revision),
            Entries(revision, (), ()),
            Entries(Revision(1, 6), ("a",), (("a", revision, NO_REVISION, b""),)),
            Entries(Revision(1, 6), ("a",), (("a", Revision(1, 6), revision, b""),)),
        )


async def test_messages_at_the_bounds_are_read():
    """Guards against bounds that end links between nodes that work as they should."""
    for message in (
        LOAD,
        attrs.evolve(LOAD, queued_by_priority=((0, 1),) * 8),
        Load(0, 0, 65_535, 0.0, False, NO_REVISION, False, False, "i", 1e6, 100_000, MAX_TIME_MS),
        attrs.evolve(LOAD, cold_left_ms=MAX_TIME_MS, cold_free_starts=10_000, paced_per_s=0.0),
        HELLO,
        Hello("::1", "e" * 64, 1e6, MAX_TIME_MS),
        SUBMIT,
        attrs.evolve(SUBMIT, remaining_ms=-5, sent_at_ms=MAX_TIME_MS),
        attrs.evolve(SUBMIT, remaining_ms=10_000_000_000),
        Answered(1, 200, (), b""),
        Answered(1, 599, (), b"", 10_000_000),
        KnownLimit("i-1", None),
        KnownLimit("i-1", 0.0),
        Entries(Revision(10**9 - 1, 2**53 - 1), (), ()),
    ):
        assert await read(message) == message


async def test_odd_reports_of_crashes_are_refused():
    """Guards against a report by which one node keeps an instance out of service in the fleet."""
    await read(CRASH)
    await read(RunCompleted(b"f" * 16))
    for number in (*ODD_INTEGERS, -1, -3_600_000):
        await assert_refused(attrs.evolve(CRASH, age_ms=number))
        await assert_refused(attrs.evolve(CRASH, started_at_ms=number))
    for fingerprint in (b"", b"f" * 15, b"f" * 17):
        await assert_refused(
            attrs.evolve(CRASH, suspects=(fingerprint,)),
            attrs.evolve(CRASH, repeated=(fingerprint,)),
            RunCompleted(fingerprint),
        )
    many = tuple(n.to_bytes(16, "big") for n in range(257))
    await assert_refused(attrs.evolve(CRASH, suspects=many))


load_tests = function_tests(__name__)
