"""Tests of reading and writing messages on connections."""

import asyncio

from uvloop import new_event_loop

from ibisrack.links.frames import write_message
from ibisrack.links.messages import Ping
from ibisrack.testing.functions import function_tests

HOST = "127.0.0.1"


async def write_to_closed_connection() -> None:
    """Writes a message after the connection is closed and before its reader has noticed."""
    server = await asyncio.start_server(lambda reader, writer: writer.close(), HOST, 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection(HOST, port)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        write_message(writer, Ping())


def test_message_for_a_closed_connection_is_dropped():
    """Guards against a request that fails with an internal error because its link was just lost."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(write_to_closed_connection())


load_tests = function_tests(__name__)
