"""Tests of client sessions whose server answers without end."""

import asyncio

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


load_tests = function_tests(__name__)
