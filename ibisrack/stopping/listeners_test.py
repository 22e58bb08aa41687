"""Tests of the end of listening, on the event loop of the programs and on that of the tests."""

import asyncio
import socket

from aiohttp import web

from ibisrack.bin.loop import new_event_loop
from ibisrack.stopping.listeners import close_listeners
from ibisrack.testing.data_path import HOST
from ibisrack.testing.functions import function_tests

REQUEST = b"GET / HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n\r\n"
CONNECTIONS = 100
GUARD_S = 10.0


async def answer(request: web.BaseRequest) -> web.Response:
    return web.Response(text="served")


async def close_before_connections_are_accepted() -> None:
    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    address = runner.addresses[0]
    # The event loop does not run between these lines, so that the server can't accept.
    connections = [socket.create_connection(address) for _ in range(CONNECTIONS)]
    for connection in connections:
        connection.sendall(REQUEST)
    await close_listeners(runner)
    async with asyncio.timeout(GUARD_S):
        for connection in connections:
            reader, writer = await asyncio.open_connection(sock=connection)
            assert (await reader.read()).endswith(b"served")
            writer.close()
    await runner.cleanup()


def test_connections_that_wait_to_be_accepted_are_served():
    """Guards against requests that a planned stop cuts off before the process has seen them."""
    for loop_factory in (None, new_event_loop):
        with asyncio.Runner(loop_factory=loop_factory) as loop:
            loop.run(close_before_connections_are_accepted())


load_tests = function_tests(__name__)
