"""Tests of the sending end of a link."""

import asyncio
from contextlib import asynccontextmanager

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.messages import Hello
from ibisrack.links.outgoing import CONNECT_TIMEOUT_S, PeerLink
from ibisrack.testing.functions import function_tests

HOST = "127.0.0.1"


@asynccontextmanager
async def link_to(serve):
    """Runs the sending end of a link to a peer of which a function serves each connection."""
    server = await asyncio.start_server(serve, HOST, 0)
    link = PeerLink(
        Hello("127.0.0.9", "own"), HOST, server.sockets[0].getsockname()[1], lambda entries: None
    )
    task = asyncio.create_task(link.keep())
    try:
        yield link
    finally:
        task.cancel()
        server.close()


async def silent(reader, writer):
    """Accepts a connection and never says hello, as a machine behind a cut does."""
    await reader.read()
    writer.close()


async def refusal(link: PeerLink) -> tuple[str, float]:
    """Returns why a request was refused and how long that took."""
    start_s = read_clocks().monotonic_s
    try:
        await link.run(SUBMIT)
    except NotRunError as error:
        return error.reason, read_clocks().monotonic_s - start_s
    raise AssertionError("the request was sent")


async def test_a_peer_that_cannot_be_reached_holds_only_the_first_request_up():
    """Guards against requests that wait for each unreachable peer in turn while a zone is cut."""
    async with link_to(silent) as link:
        reason, took_s = await refusal(link)
        assert reason == Reason.UPSTREAM_UNREACHABLE
        assert took_s >= CONNECT_TIMEOUT_S * 0.9
        while not link.failing:
            await asyncio.sleep(0.01)
        reason, took_s = await refusal(link)
        assert reason == Reason.UPSTREAM_UNREACHABLE
        assert took_s < CONNECT_TIMEOUT_S / 2


load_tests = function_tests(__name__)
