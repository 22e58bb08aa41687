"""Tests of outgoing links."""

import asyncio
from contextlib import asynccontextmanager

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError
from ibisrack.links.codec import encode
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.frames import write_message
from ibisrack.links.messages import Answered, Hello
from ibisrack.links.outgoing import ABORT_AFTER_SILENCE_S, CONNECT_TIMEOUT_S, OutgoingLink
from ibisrack.testing.functions import function_tests

HOST = "127.0.0.1"
HELLO = Hello("127.0.0.9", "own", 1000.0)


@asynccontextmanager
async def link_to(serve):
    """Runs an outgoing link to a peer whose connections are served by ``serve``."""
    server = await asyncio.start_server(serve, HOST, 0)
    link = OutgoingLink(
        HELLO,
        HOST,
        server.sockets[0].getsockname()[1],
        lambda link, entries: None,
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


async def serve_slow_frame(reader, writer):
    """Says Hello and sends the frame of an answer with a pause after each part."""
    frame = encode(Answered(SUBMIT.number, 200, (), bytes(80_000)))
    write_message(writer, HELLO)
    await reader.read(100)
    for start in range(0, len(frame), 10_000):
        writer.write(frame[start : start + 10_000])
        await asyncio.sleep(ABORT_AFTER_SILENCE_S / 4)


async def test_large_message_on_a_slow_link_is_not_silence():
    """Guards against aborting a link, and losing its requests, while a large message arrives."""
    async with link_to(serve_slow_frame) as link:
        answer = asyncio.create_task(link.run(SUBMIT))
        async with asyncio.timeout(5):
            while not answer.done():
                link.check_silence(read_clocks().monotonic_s)
                await asyncio.sleep(0.05)
        assert len((await answer).body) == 80_000
        assert link.losses == 0


load_tests = function_tests(__name__)
