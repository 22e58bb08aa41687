"""Tests of client sessions whose server answers without end."""

import asyncio
from contextlib import suppress

from aiohttp import ClientError, ClientSession

from ibisrack.testing.data_path import HOST
from ibisrack.testing.endless import EndlessBytes, endless_server, whole_answer
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import wait_until
from ibisrack.upstreams.connector import BoundedConnector

GUARD_S = 10.0
MAX_WRITTEN_BYTES = 16 * 1024 * 1024
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


async def test_interim_answers_without_end_are_cut_off():
    """Guards against a node that reads answers of status 100 until the timeout of an endpoint."""
    async with (
        endless_server(EndlessBytes(b"", INTERIM)) as server,
        ClientSession(connector=BoundedConnector()) as session,
    ):
        try:
            async with asyncio.timeout(GUARD_S), session.get(f"http://{HOST}:{server.port}/health"):
                raise AssertionError("the endless answer was accepted")
        except ClientError:
            pass
        await wait_until(lambda: server.closed_connections == 1)
        assert server.written_bytes < MAX_WRITTEN_BYTES


async def test_connection_with_surplus_bytes_is_not_used_again():
    """Guards against an answer that is taken for that of the next request."""
    surplus = EndlessBytes(whole_answer("q-1"), whole_answer("q-2"))
    async with (
        endless_server(surplus) as server,
        ClientSession(connector=BoundedConnector()) as session,
    ):
        async with session.get(f"http://{HOST}:{server.port}/load") as answer:
            assert answer.headers["Request-Id"] == "q-1"
        async with session.get(f"http://{HOST}:{server.port}/healthy") as answer:
            assert answer.headers["Request-Id"] == ""
        assert server.scripted.connections == 2


async def answer_with_late_copies(reader, writer):
    """Answers each request with its path, and sends a copy of the answer a little later."""
    with suppress(asyncio.IncompleteReadError, OSError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1]
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(path), path)
            writer.write(answer)
            await asyncio.sleep(0.05)
            writer.write(answer)
    writer.transport.abort()


async def test_late_copy_of_an_answer_is_not_taken_for_that_of_the_next_request():
    """Guards against answers that are one request late for as long as the connection is used."""
    server = await asyncio.start_server(answer_with_late_copies, HOST, 0)
    url = f"http://{HOST}:{server.sockets[0].getsockname()[1]}"
    async with server, ClientSession(connector=BoundedConnector()) as session:
        for path in ("/first", "/second", "/third"):
            async with session.get(url + path) as answer:
                assert await answer.text() == path
            await asyncio.sleep(0.1)


load_tests = function_tests(__name__)
