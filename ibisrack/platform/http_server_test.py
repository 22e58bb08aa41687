"""Tests of the limits that a configuration sets on callers' requests."""

import asyncio
import json

from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import STANDARD_ROUTES, configuration_entry, run_sidecars, wait_until

# Request head without the blank line at its end.
HEAD = b"GET /notices/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\n"


def with_limits(version: int, **limits) -> bytes:
    """Returns a configuration entry with changed limits."""
    body = json.loads(configuration_entry(version, *STANDARD_ROUTES))
    body["resources"][-1]["spec"].update(limits)
    return json.dumps(body).encode()


async def apply_limits(fleet_, **limits) -> None:
    """Publishes a configuration with changed limits and waits until it is in force."""
    fleet_.store.put("op/config", with_limits(2, **limits))
    await wait_until(lambda: fleet_.nodes[0].configurations.version == 2)


async def send_raw(fleet_, *parts: bytes) -> bytes:
    """Sends parts on a new connection and returns all bytes received until it is closed."""
    calls = fleet_.nodes[0].settings.calls
    reader, writer = await asyncio.open_connection(calls.host, calls.port)
    try:
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        async with asyncio.timeout(2):
            return await reader.read()
    finally:
        writer.close()


async def test_an_incomplete_head_times_out():
    """Guards against callers that hold a connection open forever by not finishing a head."""
    async with run_sidecars(1) as fleet_:
        await apply_limits(fleet_, header_timeout="100ms")
        assert (await send_raw(fleet_, HEAD)).startswith(b"HTTP/1.1 408 ")
        assert fleet_.instances[0].executed_ids == []


async def test_a_head_that_begins_with_few_bytes_times_out():
    """Guards against a first read that is taken for a whole request."""
    async with run_sidecars(1) as fleet_:
        await apply_limits(fleet_, header_timeout="100ms")
        for size in (1, 3, 4, 5):
            assert (await send_raw(fleet_, HEAD[:size])).startswith(b"HTTP/1.1 408 "), size


async def test_the_head_timeout_does_not_apply_to_the_body():
    """Guards against a head timeout that aborts a request while its body is received."""
    async with run_sidecars(1) as fleet_:
        await apply_limits(fleet_, header_timeout="100ms")
        head = b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\n"
        slow_body = (b"", b"", b"", b"", b"", b"", b"x")
        answer = await send_raw(
            fleet_, head, b"Connection: close\r\nContent-Length: 1\r\n\r\n", *slow_body
        )
        assert answer.startswith(b"HTTP/1.1 200 ")


async def test_the_size_limit_applies_to_the_whole_head():
    """Guards against a head that exceeds the limit with many short fields."""
    async with run_sidecars(1) as fleet_:
        await apply_limits(fleet_, max_header_bytes=1000)
        fields = b"".join(b"X-%d: %s\r\n" % (n, b"y" * 90) for n in range(12))
        assert (await send_raw(fleet_, HEAD + fields + b"\r\n")).startswith(b"HTTP/1.1 431 ")
        assert (await send_raw(fleet_, HEAD, fields)).startswith(b"HTTP/1.1 431 ")
        large_field = await send_raw(fleet_, HEAD + b"X: " + b"y" * 1500 + b"\r\n\r\n")
        assert b" 431 " in large_field.partition(b"\r\n")[0]
        assert fleet_.instances[0].executed_ids == []


async def test_a_body_over_the_limit_is_rejected_with_and_without_a_length():
    """Guards against a caller that exhausts the node's memory."""
    async with run_sidecars(1) as fleet_:
        await apply_limits(fleet_, max_body_bytes=10)
        head = b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\n"
        with_length = head + b"Content-Length: 11\r\n\r\n" + b"x" * 11
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\nb\r\n" + b"x" * 11 + b"\r\n0\r\n\r\n"
        assert (await send_raw(fleet_, with_length)).startswith(b"HTTP/1.1 413 ")
        assert (await send_raw(fleet_, chunked)).startswith(b"HTTP/1.1 413 ")
        assert fleet_.instances[0].executed_ids == []


async def test_odd_numbers_in_a_head_are_refused():
    """Guards against a head whose number ends in an internal error of unknown outcome."""
    async with run_sidecars(1) as fleet_:
        for field in (
            *(b"Deadline-Ms: " + n for n in (b"9" * 400, b"-1", b"1.5", b"\xd9\xa3", b"nan")),
            *(b"Content-Length: " + n for n in (b"9" * 400, b"-1", b"+1", b"\xd9\xa3", b"1e3")),
        ):
            answer = await send_raw(fleet_, HEAD + field + b"\r\nConnection: close\r\n\r\n")
            assert answer.partition(b"\r\n")[0].endswith(b" 400 Bad Request"), (field, answer)
        assert fleet_.instances[0].executed_ids == []


async def test_ids_and_hosts_that_no_node_can_send_on_are_refused():
    """Guards against an internal error of unknown outcome, here or at a peer."""
    for listed in (0, 1):
        async with run_sidecars(2) as fleet_:
            fleet_.store.delete(f"servers/i-{1 - listed}")
            await wait_until(lambda: len(fleet_.nodes[0].directory.all()) == 1)
            for odd in (b"\xff", b"\xc3\xa9", b"\xf0\x9f\x98\x80"):
                for head in (
                    HEAD.replace(b"Request-Id: q", b"Request-Id: q" + odd),
                    HEAD.replace(b"Host: desk.example", b"Host: desk.example:" + odd),
                ):
                    answer = await send_raw(fleet_, head + b"Connection: close\r\n\r\n")
                    assert answer.startswith(b"HTTP/1.1 400 "), (listed, head, answer)
            assert fleet_.instances[listed].executed_ids == []


load_tests = function_tests(__name__)
