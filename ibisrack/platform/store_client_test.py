"""Tests of answers of the store that have no end."""

import asyncio

from ibisrack.errors import HistoryGoneError, PlatformError, PlatformTimeoutError
from ibisrack.platform.store_client import StoreClient, open_session
from ibisrack.testing.data_path import HOST
from ibisrack.testing.endless import EndlessBytes, endless_server
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import wait_until

GUARD_S = 10.0
# The largest answer must leave most of a machine of 128 MB to the rest of the process.
MAX_WRITTEN_BYTES = 32 * 1024 * 1024
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = b"2000\r\n" + b" " * 0x2000 + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


async def _error(start: bytes, repeated: bytes) -> PlatformError:
    """Returns the error of a listing; checks that the store sees the close of its connection."""
    async with endless_server(EndlessBytes(start, repeated)) as server, open_session() as session:
        client = StoreClient(session, HOST, server.port)
        try:
            async with asyncio.timeout(GUARD_S):
                await client.list_all()
        except PlatformError as error:
            await wait_until(lambda: server.closed_connections == 1)
            assert server.written_bytes < MAX_WRITTEN_BYTES, server.written_bytes
            return error
        raise AssertionError("the endless answer was accepted")


async def test_body_without_end_is_cut_off():
    """Guards against a listing that takes all memory of the machine."""
    for start, repeated in (
        (CHUNKED, LARGE_CHUNK),
        (b"HTTP/1.1 200 OK\r\n\r\n", b" "),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", b" "),
    ):
        assert not isinstance(await _error(start, repeated), PlatformTimeoutError)


async def test_changes_that_do_not_fit_lead_to_a_listing():
    """Guards against a node that asks for the same changes forever after a long outage."""
    endless = EndlessBytes(CHUNKED, LARGE_CHUNK)
    async with endless_server(endless) as server, open_session() as session:
        try:
            async with asyncio.timeout(GUARD_S):
                await StoreClient(session, HOST, server.port).changes(1, 0.5)
        except HistoryGoneError:
            await wait_until(lambda: server.closed_connections == 1)
        else:
            raise AssertionError("the endless answer was accepted")


async def test_body_of_a_failure_is_not_read():
    """Guards against an endless body of an answer whose status is enough."""
    head = b"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert "503" in str(await _error(head, LARGE_CHUNK))


async def test_head_without_end_is_cut_off():
    """Guards against a head that is buffered until the timeout."""
    for start, repeated in (
        (b"HTTP/1.1 200 OK\r\nX-A: ", b"a"),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
        (b"", b"\x00\xffnoise"),
    ):
        assert not isinstance(await _error(start, repeated), PlatformTimeoutError)


async def test_interim_answers_without_end_are_cut_off():
    """Guards against a process that does nothing but read answers of status 100."""
    assert not isinstance(await _error(b"", INTERIM), PlatformTimeoutError)


load_tests = function_tests(__name__)
