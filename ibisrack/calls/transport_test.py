"""Tests of whole answers and of the reuse of connections, against scripted receivers."""

import asyncio

from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.transport import MAX_BUFFERED_ANSWER_BYTES, send
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.testing.data_path import Receiver, call, pool_of, receiver
from ibisrack.testing.functions import function_tests
from ibisrack.upstreams.connections import ConnectionPool

BUDGET_S = 5.0
CONTEXT = {"Host": "notice-desk"}


def _answer(body: bytes, call_id: str = "call-1") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nIbis-Call-Id: {call_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _answering(content: bytes, answers: int = 1):
    """Returns a script that sends the content after each of so many requests, then closes."""

    async def script(state: Receiver, reader, writer) -> None:
        for _ in range(answers):
            await state.read_request(reader)
            writer.write(content)

    return script


async def _send(pool: ConnectionPool, sent: Call | None = None) -> Answer:
    return await send(pool, sent or call(), CONTEXT, BUDGET_S)


async def _reason(pool: ConnectionPool) -> str:
    try:
        await _send(pool)
    except UnknownOutcomeError as error:
        return error.reason
    return "answered"


async def _reason_of(content: bytes) -> str:
    async with receiver(_answering(content)) as upstream:
        pool = pool_of(upstream.port)
        reason = await _reason(pool)
        assert pool.sizing.idle == 0 and pool.sizing.busy == 0
        return reason


async def test_cut_answer_is_never_whole():
    """Guards against a part of an answer that is passed on as the answer."""
    whole = _answer(b"x" * 100)
    assert await _reason_of(whole[:-1]) == Reason.CONNECTION_LOST
    assert await _reason_of(whole[:20]) == Reason.CONNECTION_LOST
    assert await _reason_of(b"") == Reason.CONNECTION_LOST
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
    assert await _reason_of(chunked) == Reason.CONNECTION_LOST
    assert await _reason_of(chunked + b"0\r\n") == Reason.CONNECTION_LOST


async def test_answer_without_a_verifiable_end_is_refused():
    """Guards against an answer whose end is the death of the upstream."""
    content = b"HTTP/1.1 200 OK\r\n\r\nhello"
    assert await _reason_of(content) == Reason.UNDELIMITED_ANSWER


async def test_malformed_answer_is_of_unknown_outcome():
    """Guards against a parser error that ends as a programming error."""
    assert await _reason_of(b"not http at all\r\n\r\n") == Reason.CONNECTION_LOST
    bad_length = b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n"
    assert await _reason_of(bad_length) == Reason.CONNECTION_LOST


async def test_answer_of_another_call_is_refused_and_its_connection_closed():
    """Guards against answers that are out of step on one connection."""
    assert await _reason_of(_answer(b"x", "call-0")) == Reason.WRONG_ANSWER


async def test_cut_of_a_streamed_answer_is_reported():
    """Guards against a large answer that ends early and looks whole."""
    size = MAX_BUFFERED_ANSWER_BYTES * 3
    whole = _answer(b"x" * size)
    for content, expected in ((whole, True), (whole[:-1], False)):
        async with receiver(_answering(content)) as upstream:
            pool = pool_of(upstream.port)
            answer = await _send(pool)
            received = len(answer.body)
            try:
                async for part in answer.rest:
                    received += len(part)
                complete = True
            except UnknownOutcomeError:
                complete = False
            answer.rest.close()
            assert complete is expected
            assert (received == size) is expected
            assert pool.sizing.busy == 0


async def test_connection_is_used_again_after_a_whole_answer_only():
    """Guards against a new connection for each call, and against one with unread parts."""
    async with receiver(_answering(_answer(b"whole"), answers=3)) as upstream:
        pool = pool_of(upstream.port)
        for _ in range(3):
            assert (await _send(pool)).body == b"whole"
        assert upstream.connections == 1
    async with receiver(_answering(_answer(b"x" * MAX_BUFFERED_ANSWER_BYTES * 3), 2)) as upstream:
        pool = pool_of(upstream.port)
        for _ in range(2):
            answer = await _send(pool)
            answer.rest.close()
        assert upstream.connections == 2


async def test_connection_with_a_surplus_answer_is_not_used_again():
    """Guards against a duplicate answer that is taken for that of the next call."""
    async with receiver(_answering(_answer(b"one") + _answer(b"two"), 2)) as upstream:
        pool = pool_of(upstream.port)
        await _send(pool)
        assert (await _send(pool)).body == b"one"
        assert upstream.connections == 2


async def test_call_is_sent_once_when_a_kept_connection_breaks():
    """Guards against a client library that sends a GET again on its own."""

    async def script(state: Receiver, reader, writer) -> None:
        await state.read_request(reader)
        writer.write(_answer(b"whole"))
        await state.read_request(reader)

    async with receiver(script) as upstream:
        pool = pool_of(upstream.port)
        await _send(pool)
        assert await _reason(pool) == Reason.CONNECTION_LOST
        assert len(upstream.heads) == 2


async def test_refused_connection_means_not_run():
    """Guards against an unknown outcome for a call that nobody received."""
    async with receiver(_answering(b"")) as upstream:
        port = upstream.port
    try:
        await _send(pool_of(port))
    except NotRunError as error:
        assert error.reason == Reason.UPSTREAM_UNREACHABLE
    else:
        raise AssertionError("the call was answered")


async def test_cancelled_call_closes_its_connection_and_leaves_the_queue():
    """Guards against slots and connections that a caller who went away keeps."""
    closed = asyncio.Event()

    async def script(state: Receiver, reader, writer) -> None:
        await state.read_request(reader)
        await reader.read()
        closed.set()

    async with receiver(script) as upstream:
        pool = pool_of(upstream.port, limit=1)
        sending = asyncio.create_task(_send(pool))
        waiting = asyncio.create_task(_send(pool))
        while not upstream.heads:
            await asyncio.sleep(0.001)
        waiting.cancel()
        sending.cancel()
        await asyncio.gather(sending, waiting, return_exceptions=True)
        async with asyncio.timeout(BUDGET_S):
            await closed.wait()
        assert pool.sizing.busy == 0 and pool.sizing.waiting == 0


load_tests = function_tests(__name__)
