"""Tests of the bounds that a configuration sets for what callers send."""

import asyncio
import json

from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import STANDARD_ROUTES, configuration_entry, run_sidecars, wait_until

HEAD = b"GET /notices/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\n"


def with_limits(version: int, **limits) -> bytes:
    """Returns a configuration whose limits are changed."""
    body = json.loads(configuration_entry(version, *STANDARD_ROUTES))
    body["resources"][-1]["spec"].update(limits)
    return json.dumps(body).encode()


async def limited(fleet_, **limits) -> None:
    """Puts limits in force."""
    fleet_.store.put("op/config", with_limits(2, **limits))
    await wait_until(lambda: fleet_.nodes[0].configurations.version == 2)


async def exchange(fleet_, *parts: bytes) -> bytes:
    """Sends parts on a new connection and returns everything that comes back until its end."""
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


async def test_a_head_that_is_not_whole_in_time_ends_the_connection():
    """Guards against connections that are held for ever by callers that send nothing more."""
    async with run_sidecars(1) as fleet_:
        await limited(fleet_, header_timeout="100ms")
        assert (await exchange(fleet_, HEAD)).startswith(b"HTTP/1.1 408 ")
        assert fleet_.instances[0].ran == []


async def test_a_slow_body_is_not_bound_by_the_time_for_the_head():
    """Guards against a limit of the head that ends a request whose body is under way."""
    async with run_sidecars(1) as fleet_:
        await limited(fleet_, header_timeout="100ms")
        head = b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\n"
        slow = (b"", b"", b"", b"", b"", b"", b"x")
        answer = await exchange(
            fleet_, head, b"Connection: close\r\nContent-Length: 1\r\n\r\n", *slow
        )
        assert answer.startswith(b"HTTP/1.1 200 ")


async def test_a_head_of_many_small_fields_is_bound_by_its_sum():
    """Guards against a head whose fields are all short and whose sum is not."""
    async with run_sidecars(1) as fleet_:
        await limited(fleet_, max_header_bytes=1000)
        fields = b"".join(b"X-%d: %s\r\n" % (n, b"y" * 90) for n in range(12))
        assert (await exchange(fleet_, HEAD + fields + b"\r\n")).startswith(b"HTTP/1.1 431 ")
        assert (await exchange(fleet_, HEAD, fields)).startswith(b"HTTP/1.1 431 ")
        long = await exchange(fleet_, HEAD + b"X: " + b"y" * 1500 + b"\r\n\r\n")
        assert b" 431 " in long.partition(b"\r\n")[0]
        assert fleet_.instances[0].ran == []


async def test_a_body_over_the_limit_is_refused_however_it_is_framed():
    """Guards against memory that a caller can fill."""
    async with run_sidecars(1) as fleet_:
        await limited(fleet_, max_body_bytes=10)
        head = b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\n"
        sized = head + b"Content-Length: 11\r\n\r\n" + b"x" * 11
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\nb\r\n" + b"x" * 11 + b"\r\n0\r\n\r\n"
        assert (await exchange(fleet_, sized)).startswith(b"HTTP/1.1 413 ")
        assert (await exchange(fleet_, chunked)).startswith(b"HTTP/1.1 413 ")
        assert fleet_.instances[0].ran == []


load_tests = function_tests(__name__)
