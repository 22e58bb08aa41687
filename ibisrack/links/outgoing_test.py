"""Tests of outgoing links."""

import asyncio
from contextlib import asynccontextmanager

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.messages import Hello
from ibisrack.links.outgoing import CONNECT_TIMEOUT_S, OutgoingLink
from ibisrack.testing.functions import function_tests

HOST = "127.0.0.1"


@asynccontextmanager
async def link_to(serve):
    """Runs an outgoing link to a peer whose connections are served by ``serve``."""
    server = await asyncio.start_server(serve, HOST, 0)
    link = OutgoingLink(
        Hello("127.0.0.9", "own"), HOST, server.sockets[0].getsockname()[1], lambda entries: None
    )
    task = asyncio.create_task(link.maintain())
    try:
        yield link
    finally:
        task.cancel()
        server.close()


async def accept_without_hello(reader, writer):
    """Accepts a connection but never sends a Hello, like a peer behind a network partition."""
    await reader.read()
    writer.close()


async def measure_refusal(link: OutgoingLink) -> tuple[str, float]:
    """Returns the reason of a refused request and the seconds until it was refused."""
    start_s = read_clocks().monotonic_s
    try:
        await link.run(SUBMIT)
    except NotRunError as error:
        return error.reason, read_clocks().monotonic_s - start_s
    raise AssertionError("the request was sent")


async def test_unreachable_peer_delays_only_the_first_request():
    """Guards against requests that wait for each unreachable peer of a partitioned zone in turn."""
    async with link_to(accept_without_hello) as link:
        reason, took_s = await measure_refusal(link)
        assert reason == Reason.UPSTREAM_UNREACHABLE
        assert took_s >= CONNECT_TIMEOUT_S * 0.9
        while not link.failing:
            await asyncio.sleep(0.01)
        reason, took_s = await measure_refusal(link)
        assert reason == Reason.UPSTREAM_UNREACHABLE
        assert took_s < CONNECT_TIMEOUT_S / 2


load_tests = function_tests(__name__)
