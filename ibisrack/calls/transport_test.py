"""Tests of complete answers and of connection reuse, against scripted receivers."""

import asyncio

from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.transport import MAX_BUFFERED_ANSWER_BYTES, send
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.testing.data_path import (
    ScriptedServer,
    create_approval_call,
    create_loopback_pool,
    scripted_server,
)
from ibisrack.testing.functions import function_tests
from ibisrack.upstreams.connections import ConnectionPool

BUDGET_S = 5.0
HOP_HEADERS = {"Host": "notice-desk"}


def _answer(body: bytes, call_id: str = "call-1") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nIbis-Call-Id: {call_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _answer_script(content: bytes, answers: int = 1):
    """Returns a script that answers the given number of requests, then closes the connection."""

    async def script(state: ScriptedServer, reader, writer) -> None:
        for _ in range(answers):
            await state.read_request(reader)
            writer.write(content)

    return script


async def _send(pool: ConnectionPool, sent: Call | None = None) -> Answer:
    return await send(pool, sent or create_approval_call(), HOP_HEADERS, BUDGET_S)


async def _failure_reason(pool: ConnectionPool) -> str:
    try:
        await _send(pool)
    except UnknownOutcomeError as error:
        return error.reason
    return "answered"


async def _failure_reason_of(content: bytes) -> str:
    async with scripted_server(_answer_script(content)) as upstream:
        pool = create_loopback_pool(upstream.port)
        reason = await _failure_reason(pool)
        assert pool.sizing.idle == 0 and pool.sizing.busy == 0
        return reason


async def test_truncated_answer_is_an_error():
    """Guards against a truncated answer that is forwarded as complete."""
    whole = _answer(b"x" * 100)
    assert await _failure_reason_of(whole[:-1]) == Reason.CONNECTION_LOST
    assert await _failure_reason_of(whole[:20]) == Reason.CONNECTION_LOST
    assert await _failure_reason_of(b"") == Reason.CONNECTION_LOST
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
    assert await _failure_reason_of(chunked) == Reason.CONNECTION_LOST
    assert await _failure_reason_of(chunked + b"0\r\n") == Reason.CONNECTION_LOST


async def test_answer_without_a_verifiable_end_is_an_error():
    """Guards against an answer that only looks complete because the upstream crashed."""
    content = b"HTTP/1.1 200 OK\r\n\r\nhello"
    assert await _failure_reason_of(content) == Reason.UNDELIMITED_ANSWER


async def test_malformed_answer_means_unknown_outcome():
    """Guards against parser errors that are not raised as UnknownOutcomeError."""
    assert await _failure_reason_of(b"not http at all\r\n\r\n") == Reason.CONNECTION_LOST
    bad_length = b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n"
    assert await _failure_reason_of(bad_length) == Reason.CONNECTION_LOST


async def test_status_that_http_does_not_have_is_no_answer():
    """Guards against an odd status at the caller, and one that is taken for an interim answer."""
    for status in (b"000", b"099", b"600", b"999"):
        answer = _answer(b"x").replace(b"200", status)
        assert await _failure_reason_of(answer) == Reason.WRONG_ANSWER


async def test_answer_of_another_call_is_an_error_and_closes_the_connection():
    """Guards against a connection on which answers no longer match their calls."""
    assert await _failure_reason_of(_answer(b"x", "call-0")) == Reason.WRONG_ANSWER


async def test_truncated_streamed_answer_raises_an_error():
    """Guards against a large answer that ends early and looks complete."""
    size = MAX_BUFFERED_ANSWER_BYTES * 3
    whole = _answer(b"x" * size)
    for content, expected in ((whole, True), (whole[:-1], False)):
        async with scripted_server(_answer_script(content)) as upstream:
            pool = create_loopback_pool(upstream.port)
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


async def test_streamed_answer_past_its_deadline_is_late():
    """Guards against an expired deadline that is reported as a broken connection."""

    async def script(state: ScriptedServer, reader, writer) -> None:
        await state.read_request(reader)
        size = MAX_BUFFERED_ANSWER_BYTES * 2
        writer.write(_answer(b"x" * size)[:-1])
        await reader.read()

    async with scripted_server(script) as upstream:
        pool = create_loopback_pool(upstream.port)
        answer = await send(pool, create_approval_call(), HOP_HEADERS, 0.2)
        try:
            async for _ in answer.rest:
                pass
        except UnknownOutcomeError as error:
            assert error.reason == Reason.DEADLINE
        else:
            raise AssertionError("the truncated answer looks complete")
        answer.rest.close()
        assert pool.sizing.busy == 0


async def test_connection_is_reused_only_after_a_complete_answer():
    """Guards against a new connection for each call, and against reuse of one with unread parts."""
    async with scripted_server(_answer_script(_answer(b"whole"), answers=3)) as upstream:
        pool = create_loopback_pool(upstream.port)
        for _ in range(3):
            assert (await _send(pool)).body == b"whole"
        assert upstream.connections == 1
    async with scripted_server(
        _answer_script(_answer(b"x" * MAX_BUFFERED_ANSWER_BYTES * 3), 2)
    ) as upstream:
        pool = create_loopback_pool(upstream.port)
        for _ in range(2):
            answer = await _send(pool)
            answer.rest.close()
        assert upstream.connections == 2


async def test_connection_with_a_surplus_answer_is_not_reused():
    """Guards against a duplicate answer that is read as the answer of the next call."""
    async with scripted_server(_answer_script(_answer(b"one") + _answer(b"two"), 2)) as upstream:
        pool = create_loopback_pool(upstream.port)
        await _send(pool)
        assert (await _send(pool)).body == b"one"
        assert upstream.connections == 2


async def test_call_is_sent_once_when_a_reused_connection_breaks():
    """Guards against a client library that retries GET requests by itself."""

    async def script(state: ScriptedServer, reader, writer) -> None:
        await state.read_request(reader)
        writer.write(_answer(b"whole"))
        await state.read_request(reader)

    async with scripted_server(script) as upstream:
        pool = create_loopback_pool(upstream.port)
        await _send(pool)
        assert await _failure_reason(pool) == Reason.CONNECTION_LOST
        assert len(upstream.request_heads) == 2


async def test_refused_connection_means_not_run():
    """Guards against an unknown outcome for a call that was never received."""
    async with scripted_server(_answer_script(b"")) as upstream:
        port = upstream.port
    try:
        await _send(create_loopback_pool(port))
    except NotRunError as error:
        assert error.reason == Reason.UPSTREAM_UNREACHABLE
    else:
        raise AssertionError("the call was answered")


async def test_cancelled_call_closes_its_connection_and_leaves_the_queue():
    """Guards against connections and queue places held by a call whose caller disconnected."""
    closed = asyncio.Event()

    async def script(state: ScriptedServer, reader, writer) -> None:
        await state.read_request(reader)
        await reader.read()
        closed.set()

    async with scripted_server(script) as upstream:
        pool = create_loopback_pool(upstream.port, limit=1)
        sending = asyncio.create_task(_send(pool))
        waiting = asyncio.create_task(_send(pool))
        while not upstream.request_heads:
            await asyncio.sleep(0.001)
        waiting.cancel()
        sending.cancel()
        await asyncio.gather(sending, waiting, return_exceptions=True)
        async with asyncio.timeout(BUDGET_S):
            await closed.wait()
        assert pool.sizing.busy == 0 and pool.sizing.waiting == 0


load_tests = function_tests(__name__)
