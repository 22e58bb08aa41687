"""Tests of outgoing links."""

import asyncio
import socket
from contextlib import asynccontextmanager, suppress

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.links.codec import encode
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.frames import LINK_ERRORS, read_message, write_message
from ibisrack.links.messages import Answered, Hello, Load
from ibisrack.links.outgoing import (
    CONNECT_TIMEOUT_S,
    IDLE_TIME_S,
    OutgoingLink,
)
from ibisrack.links.reconnection import CONNECT_RETRY_PAUSE_S
from ibisrack.links.silence import ABORT_AFTER_SILENCE_S
from ibisrack.registry.messages import Revision
from ibisrack.testing.functions import function_tests

HOST = "127.0.0.1"
READ_LIMIT_BYTES = 64 * 1024  # Default buffer limit of a stream reader.
SLICE_BYTES = 16 * 1024
JUNK_FRAME = b"\x00\x00\x00\x03\x08\xc1\xc1"  # A Load that can't be decoded.
HELLO = Hello("127.0.0.9", "own", 1000.0)
LOAD = Load(0, 0, 1, 1.0, True, Revision(1, 1), False, True)


@asynccontextmanager
async def link_to(serve):
    """Runs an outgoing link to a peer whose connections are served by ``serve``."""
    server = await asyncio.start_server(serve, HOST, 0)
    link = OutgoingLink(
        HELLO,
        HOST,
        server.sockets[0].getsockname()[1],
        lambda link, entries: None,
        lambda instance_id, start_ms: None,
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


async def test_messages_that_cannot_be_decoded_slow_down_the_reconnects():
    """Guards against a loop of connections, each ended by the same message of the peer."""
    connections = 0

    async def send_junk(reader, writer):
        nonlocal connections
        connections += 1
        write_message(writer, Hello(HOST, "a", 1000.0))
        writer.write(JUNK_FRAME)
        with suppress(asyncio.CancelledError):
            await reader.read()
        writer.close()

    async with link_to(send_junk) as link:
        link.request_open()
        for _ in range(10):
            await asyncio.sleep(CONNECT_RETRY_PAUSE_S)
            link.request_open()
        assert link.losses
        assert connections <= 4, connections


async def measure_refusal(link: OutgoingLink) -> tuple[str, float]:
    """Returns the reason of a refused request and the seconds until it was refused."""
    start_s = read_monotonic_s()
    try:
        await link.run(SUBMIT, lambda: False)
    except NotRunError as error:
        return error.reason, read_monotonic_s() - start_s
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


async def test_request_whose_zone_is_evacuated_while_its_link_opens_is_not_sent():
    """Guards against a request that waited for the link until after the evacuation."""
    received = []

    async def accept(reader, writer):
        write_message(writer, Hello(HOST, "a", 1000.0))
        with suppress(*LINK_ERRORS, asyncio.CancelledError):
            while True:
                received.append(await read_message(reader))
        writer.close()

    def refuse(submit):
        raise NotRunError(Reason.EVACUATED)

    async with link_to(accept) as link:
        link.check_waited = refuse
        assert (await measure_refusal(link))[0] == Reason.EVACUATED
        assert not link.pending
        write_message(link._writer, SUBMIT)  # Whatever was sent before arrives before this.
        while SUBMIT not in received:
            await asyncio.sleep(0.01)
        assert received.count(SUBMIT) == 1


async def failure_of(call: asyncio.Task) -> str:
    """Returns the reason of a request of unknown outcome, which ends at once."""
    try:
        async with asyncio.timeout(2 * (CONNECT_TIMEOUT_S + CONNECT_RETRY_PAUSE_S)):
            await call
    except UnknownOutcomeError as error:
        return error.reason
    raise AssertionError("the request was answered")


@asynccontextmanager
async def submitted_request(later_epochs: str = ""):
    """Yields a link, its request and the peer's connection, which the peer has accepted.

    Args:
      later_epochs: Process epochs of the peer on its next connections; then it sends no Hello.
    """
    epochs, connections = iter(f"a{later_epochs}"), asyncio.Queue()

    async def accept(reader, writer):
        if epoch := next(epochs, ""):
            write_message(writer, Hello(HOST, epoch, 1000.0))
        connections.put_nowait(writer)
        with suppress(asyncio.CancelledError):
            await reader.read()
        writer.close()

    async with link_to(accept) as link:
        call = asyncio.create_task(link.run(SUBMIT, lambda: False))
        writer = await connections.get()
        while not link.pending:
            await asyncio.sleep(0.01)
        yield link, call, writer


async def test_request_at_a_process_that_restarted_ends_at_once():
    """Guards against waiting for a result that the process has taken with it."""
    async with submitted_request(later_epochs="b") as (link, call, writer):
        writer.transport.abort()
        assert await failure_of(call) == Reason.PEER_RESTARTED


async def test_request_at_a_process_that_no_longer_listens_ends_at_once():
    """Guards against waiting for a result until the deadline after the peer's process ended."""
    async with submitted_request() as (link, call, writer):
        with socket.socket() as unused:
            unused.bind((HOST, 0))
            link.port = unused.getsockname()[1]
            writer.transport.abort()
            assert await failure_of(call) == Reason.PEER_STOPPED


async def test_request_at_an_unreachable_peer_ends_when_this_node_stops():
    """Guards against a caller whose connection a stop closes while its request is pending."""
    async with submitted_request() as (link, call, writer):
        writer.transport.abort()
        await asyncio.sleep(CONNECT_TIMEOUT_S * 1.5)
        assert link.failing
        assert not call.done()
        link.withdraw(SUBMIT, is_final=False)
        await asyncio.sleep(CONNECT_TIMEOUT_S * 1.5)
        assert not call.done()
        link.withdraw(SUBMIT, is_final=True)
        assert await failure_of(call) == Reason.PEER_UNREACHABLE


async def test_silent_peer_is_noticed_while_short_requests_follow_each_other():
    """Guards against relying on a frozen peer because each new request restarts the wait."""
    async with submitted_request() as (link, call, writer):
        call.cancel()
        link.load = attrs.evolve(LOAD, reads_registry=True)
        number = 100
        async with asyncio.timeout(4 * ABORT_AFTER_SILENCE_S):
            while not link.losses:
                number += 1
                submit = attrs.evolve(SUBMIT, number=number, request_id=str(number))
                short_call = asyncio.create_task(link.run(submit, lambda: False))
                await asyncio.sleep(0.1)
                link.check_silence(read_monotonic_s())
                short_call.cancel()
                await asyncio.sleep(0)
        assert not link.candidate(read_monotonic_s()).delivering


async def test_peer_that_sends_a_large_answer_slowly_is_not_silent():
    """Guards against aborting a congested link again and again while an answer arrives."""
    async with submitted_request() as (link, call, writer):
        frame = encode(Answered(SUBMIT.number, 200, (), bytes(2 * READ_LIMIT_BYTES)))
        slices = [frame[start : start + SLICE_BYTES] for start in range(0, len(frame), SLICE_BYTES)]
        pause_s = ABORT_AFTER_SILENCE_S * 1.5 / len(slices)
        for part in slices:
            writer.write(part)
            await asyncio.sleep(pause_s)
            link.check_silence(read_monotonic_s())
        async with asyncio.timeout(1):
            assert (await call).status == 200
        assert not link.losses


@asynccontextmanager
async def open_link_to_answering_peer():
    """Yields an open link to a peer that answers each request, and the list of its Hellos."""
    hellos = []

    async def answer(reader, writer):
        write_message(writer, Hello(HOST, "a", 1000.0), LOAD)
        with suppress(*LINK_ERRORS, asyncio.CancelledError):
            hellos.append(await read_message(reader))
            while True:
                submit = await read_message(reader)
                write_message(writer, Answered(submit.number, 200, (), b"", 1, False))
        writer.transport.abort()

    async with link_to(answer) as link:
        link.request_open()
        while link.load is None:
            await asyncio.sleep(0.01)
        yield link, hellos


async def test_only_an_unused_link_is_idle():
    """Guards against links that are closed while they carry requests or registry changes."""
    async with open_link_to_answering_peer() as (link, _):
        now_s = read_monotonic_s()
        await link.run(SUBMIT, lambda: False)
        assert not link.is_idle(now_s)
        assert link.is_idle(now_s + 2 * IDLE_TIME_S)
        link.follow(Revision(1, 1))
        assert not link.is_idle(now_s + 2 * IDLE_TIME_S)
        link.unfollow()
        link.pending[9] = None
        assert not link.is_idle(now_s + 2 * IDLE_TIME_S)
        del link.pending[9]


async def test_a_request_opens_a_link_that_was_closed_as_idle():
    """Guards against a request that is lost or refused because its link was just closed."""
    async with open_link_to_answering_peer() as (link, hellos):
        link.close_idle()
        assert not link.is_open
        answer = await link.run(SUBMIT, lambda: False)
        assert (answer.status, len(hellos)) == (200, 2)
        link.close_idle()
        await asyncio.sleep(3 * CONNECT_RETRY_PAUSE_S)
        assert (len(hellos), link.losses, link.failing) == (2, 0, False)


load_tests = function_tests(__name__)
