"""Tests of requests to an instance that sends bytes without end, against scripted instances."""

import asyncio
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from decimal import Decimal

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.hosting.notices import Notice
from ibisrack.links.messages import Submit
from ibisrack.memory.account import create_account
from ibisrack.platform.upstream import HttpUpstream
from ibisrack.testing.connections import RecordingTransport, create_waiting_connection
from ibisrack.testing.data_path import create_loopback_pool, scripted_server
from ibisrack.testing.endless import (
    BODY_LENGTH,
    EndlessBytes,
    EndlessServer,
    answer_head,
    endless_server,
    whole_answer,
)
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import wait_until
from ibisrack.upstreams.answer_memory import AnswerMemory
from ibisrack.upstreams.connection import Connection
from ibisrack.upstreams.connections import ConnectionPool
from ibisrack.upstreams.sizing import PoolSizing

REMAINING_S = 0.5
# A request ends by its deadline; the rest allows for a busy machine.
GUARD_S = REMAINING_S + 8.0
REQUEST_ID = "q-1"
# A machine of 128 MB must survive an instance that fills every slot with endless answers.
MACHINE_BYTES = 128 * 1024 * 1024
SLOTS = 4

CHUNKED = answer_head(REQUEST_ID, "Transfer-Encoding: chunked")
LARGE_CHUNK = b"2000\r\n" + b"x" * 0x2000 + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
STALE = whole_answer("q-0")


def _submit(target: str = "/endless") -> Submit:
    return Submit(
        number=1,
        request_id=REQUEST_ID,
        attempt=1,
        is_retry=False,
        instance_id="i-1",
        service="desk",
        rank="p0",
        idempotent=True,
        remaining_ms=int(REMAINING_S * 1000),
        remaining_target_ms=100,
        initial_target_ms=100,
        caller_service="desk",
        method="GET",
        host="desk.example",
        target=target,
        headers=(),
        body=b"",
    )


@asynccontextmanager
async def _instance(
    start: bytes, repeated: bytes, dripping: bool = False
) -> AsyncIterator[tuple[EndlessServer, HttpUpstream]]:
    async with endless_server(EndlessBytes(start, repeated, dripping)) as server:
        upstream = HttpUpstream(
            create_loopback_pool(server.port, limit=2 * SLOTS), AnswerMemory(create_account(128))
        )
        yield server, upstream
        upstream.pool.close()


async def _send(upstream: HttpUpstream, target: str = "/endless") -> Answer | UnknownOutcomeError:
    """Returns the answer, or the error that says that the outcome is unknown."""
    try:
        async with asyncio.timeout(GUARD_S):
            return await upstream.send(_submit(target), REMAINING_S)
    except UnknownOutcomeError as error:
        return error


async def _reason_for(start: bytes, repeated: bytes, dripping: bool = False) -> str:
    """Returns why the outcome is unknown, after the checks that apply to all endless bytes."""
    async with _instance(start, repeated, dripping) as (server, upstream):
        result = await _send(upstream)
        assert isinstance(result, UnknownOutcomeError), result
        await wait_until(lambda: server.closed_connections == 1)
        assert server.written_bytes < MACHINE_BYTES / 2
        sizing = upstream.pool.sizing
        assert (sizing.busy, sizing.idle) == (0, 0)
        assert (await _send(upstream, "/healthy")).status == 200
        return result.reason


async def test_head_without_end_is_cut_off():
    """Guards against a head that is buffered until the deadline."""
    line = b"HTTP/1.1 200 OK\r\nX-A: "
    assert await _reason_for(line, b"a") == Reason.CONNECTION_LOST
    assert await _reason_for(b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n") == Reason.CONNECTION_LOST


async def test_bytes_that_are_no_answer_are_cut_off():
    """Guards against waiting for the end of what can't become an answer."""
    assert await _reason_for(b"", b"\x00\xffnoise") == Reason.CONNECTION_LOST
    assert await _reason_for(b"", b"HTTP") == Reason.CONNECTION_LOST


async def test_chunked_body_without_end_is_cut_off():
    """Guards against a body that takes half of the memory of a small machine."""
    assert await _reason_for(CHUNKED, LARGE_CHUNK) == Reason.TOO_LARGE


async def test_chunked_body_of_tiny_chunks_is_cut_off():
    """Guards against chunks that cost far more memory than the bytes in them."""
    assert await _reason_for(CHUNKED, b"1\r\nx\r\n") == Reason.CONNECTION_LOST


async def test_body_without_length_and_end_is_cut_off():
    """Guards against waiting for the close of a connection that is never closed."""
    assert await _reason_for(answer_head(REQUEST_ID), b"x") == Reason.TOO_LARGE


async def test_declared_length_beyond_the_limit_is_refused_unread():
    """Guards against reading a body that is known not to fit."""
    head = answer_head(REQUEST_ID, f"Content-Length: {1 << 40}")
    async with _instance(head, b"x") as (server, upstream):
        result = await _send(upstream)
        assert isinstance(result, UnknownOutcomeError) and result.reason == Reason.TOO_LARGE
        await wait_until(lambda: server.closed_connections == 1)
        assert server.written_bytes < MACHINE_BYTES / 8


async def test_interim_answers_without_end_are_cut_off():
    """Guards against a slot held until the deadline by answers of status 100."""
    assert await _reason_for(b"", INTERIM) == Reason.CONNECTION_LOST


async def test_stale_answers_without_end_are_cut_off():
    """Guards against a queue of answers to other requests, and against a stale endless body."""
    reasons = (Reason.WRONG_ANSWER, Reason.CONNECTION_LOST)
    assert await _reason_for(b"", STALE) in reasons
    stale_head = answer_head("q-0", "Transfer-Encoding: chunked")
    assert await _reason_for(stale_head, LARGE_CHUNK) in (*reasons, Reason.TOO_LARGE)


async def test_complete_answer_counts_whatever_follows():
    """Guards against a complete answer that is lost, or a connection that is used again."""
    for surplus in (b"x", b"\x00\xffnoise", STALE, whole_answer(REQUEST_ID), INTERIM):
        async with _instance(whole_answer(REQUEST_ID), surplus) as (server, upstream):
            result = await _send(upstream)
            assert isinstance(result, Answer), (surplus[:20], result)
            assert result.body == b"x" * BODY_LENGTH
            await wait_until(lambda server=server: server.closed_connections == 1)
            assert upstream.pool.sizing.busy == 0
            assert (await _send(upstream, "/healthy")).status == 200
            assert server.scripted.connections == 2


async def test_surplus_bytes_on_an_idle_connection_close_it():
    """Guards against answers that pile up unread while a connection is idle."""
    async with _instance(whole_answer(REQUEST_ID), STALE, dripping=True) as (server, upstream):
        assert (await _send(upstream)).status == 200
        await wait_until(lambda: server.closed_connections == 1)
        assert server.written_bytes < 10 * len(STALE)


async def test_dripping_bytes_end_at_the_deadline():
    """Guards against a request that outlives its deadline because bytes still arrive."""
    for start, repeated in (
        (b"HTTP/1.1 200 OK\r\nX-A: ", b"a"),
        (CHUNKED, b"1\r\nx\r\n"),
        (answer_head(REQUEST_ID), b"x"),
        (answer_head(REQUEST_ID, "Content-Length: 100000"), b"x"),
    ):
        assert await _reason_for(start, repeated, dripping=True) == Reason.DEADLINE
    reason = await _reason_for(b"", INTERIM, dripping=True)
    assert reason in (Reason.CONNECTION_LOST, Reason.DEADLINE)


class _ResettingTransport(RecordingTransport):
    """Transport that delivers a whole answer and a reset when a request is written."""

    def __init__(self, connection: Connection, answer: bytes) -> None:
        super().__init__()
        self._connection = connection
        self._answer = answer

    def write(self, data: bytes) -> None:
        self._connection.data_received(self._answer)
        self._connection.connection_lost(ConnectionResetError())


async def _result_before_reset(answer: bytes) -> Answer | UnknownOutcomeError:
    upstream = HttpUpstream(create_loopback_pool(1), AnswerMemory(create_account(128)))
    connection = create_waiting_connection()
    connection.connection_made(_ResettingTransport(connection, answer))
    connection.mark_idle()
    upstream.pool._idle.append(connection)
    upstream.pool.sizing.idle = 1
    return await _send(upstream)


class _PoolOfLostConnections(ConnectionPool):
    """Pool whose connection ends between its assignment and the request."""

    def take_idle(self) -> Connection:
        self.sizing.busy += 1
        connection = create_waiting_connection()
        connection.connection_lost(None)
        return connection


async def test_request_on_a_connection_that_is_gone_has_not_run():
    """Guards against an internal error that leaves the sender of a request without an answer."""
    pool = _PoolOfLostConnections("127.0.0.1", 1, PoolSizing(1))
    try:
        await HttpUpstream(pool, AnswerMemory(create_account(128))).send(_submit(), REMAINING_S)
    except NotRunError as error:
        assert error.reason == Reason.UPSTREAM_UNREACHABLE
    else:
        raise AssertionError("the request was answered")
    assert pool.sizing.busy == 0


async def test_complete_answer_counts_when_its_connection_is_reset_afterwards():
    """Guards against a whole answer that is thrown away, and a cut one that is taken as whole."""
    result = await _result_before_reset(whole_answer(REQUEST_ID))
    assert isinstance(result, Answer), result
    chunks = b"5\r\nxxxxx\r\n0\r\n\r\n"
    assert isinstance(await _result_before_reset(CHUNKED + chunks), Answer)
    for cut in (answer_head(REQUEST_ID) + b"xxxxx", CHUNKED + chunks[:-2]):
        assert isinstance(await _result_before_reset(cut), UnknownOutcomeError)


UNNAMED_ANSWERS = (
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok",
)


async def test_request_whose_zone_is_evacuated_while_it_waits_for_a_connection_is_not_sent():
    """Guards against a request that waited for a connection until after the evacuation."""

    def refuse(submit):
        raise NotRunError(Reason.EVACUATED)

    async with _instance(b"", INTERIM) as (server, upstream):
        upstream.check_waited = refuse
        with suppress(NotRunError):
            await upstream.send(_submit("/healthy"), REMAINING_S)
            raise AssertionError("the request was sent")
        assert server.written_bytes == 0
        assert (upstream.pool.sizing.busy, upstream.pool.sizing.idle) == (0, 1)
        assert (await _send(upstream, "/healthy")).status == 200


async def test_answer_without_an_id_on_a_used_connection_tells_nothing():
    """Guards against an earlier refusal, sent once more, that passes for one of a running request.

    On a new connection it can only belong to the one request that was sent there.
    """
    for answer in UNNAMED_ANSWERS:
        async with _instance(answer, INTERIM, dripping=True) as (server, upstream):
            assert (await _send(upstream, "/healthy")).status == 200
            result = await _send(upstream)
            assert isinstance(result, UnknownOutcomeError), result
            assert server.scripted.connections == 1
            with suppress(NotRunError):
                assert isinstance(await _send(upstream), Answer)
            assert server.scripted.connections == 2


async def test_connection_is_closed_after_a_refusal():
    """Guards against a refusal that is sent once more where the next answer is expected."""
    refusal = UNNAMED_ANSWERS[0].replace(b"Not-", f"Request-Id: {REQUEST_ID}\r\nNot-".encode())
    async with _instance(refusal, refusal, dripping=True) as (server, upstream):
        with suppress(NotRunError):
            raise AssertionError(await _send(upstream))
        assert (await _send(upstream, "/healthy")).status == 200
        assert server.scripted.connections == 2


async def _result_of_cut_answer(start: bytes) -> Answer | UnknownOutcomeError:
    """Returns the result of a request whose instance closes after the start of an answer."""

    async def script(scripted, reader, writer):
        await scripted.read_request(reader)
        writer.write(start)

    async with scripted_server(script) as scripted:
        upstream = HttpUpstream(
            create_loopback_pool(scripted.port), AnswerMemory(create_account(128))
        )
        try:
            return await _send(upstream)
        finally:
            upstream.pool.close()


async def test_answer_that_ends_inside_its_head_is_no_answer():
    """Guards against a success with an empty or short body that looks complete to the caller."""
    body = b"3\r\nabc\r\n0\r\n\r\n"
    for answer in (whole_answer(REQUEST_ID)[:-BODY_LENGTH] + b"abc", CHUNKED + body):
        for size in range(len(answer)):
            result = await _result_of_cut_answer(answer[:size])
            assert isinstance(result, UnknownOutcomeError), (answer[:size], result)


ODD_STATUS_LINES = (
    *(b"HTTP/1.1 000 Trouble", b"HTTP/1.1 000", b"HTTP/1.1 099 Odd"),
    *(b"HTTP/1.1 600 Odd", b"HTTP/1.1 999 Odd"),
)


async def test_status_that_http_does_not_have_is_no_answer():
    """Guards against an odd status at the caller, and against waiting for another answer."""
    for line in ODD_STATUS_LINES:
        for notes in (b"", b"Not-Executed: 1\r\n"):
            answer = whole_answer(REQUEST_ID).replace(
                b"HTTP/1.1 200 OK\r\n", line + b"\r\n" + notes
            )
            assert answer.startswith(line)
            async with _instance(answer, INTERIM, dripping=True) as (server, upstream):
                result = await _send(upstream)
                assert isinstance(result, UnknownOutcomeError), (line, result)
                assert result.reason == Reason.WRONG_ANSWER, (line, result.reason)
                assert (await _send(upstream, "/healthy")).status == 200
                assert server.scripted.connections == 2


async def _notices_of(answer: bytes) -> list[Notice]:
    """Returns what the upstream reads about an instance that sends an answer."""
    notices: list[Notice] = []
    async with _instance(answer, INTERIM, dripping=True) as (_, upstream):
        upstream.on_notice = notices.append
        with suppress(NotRunError, UnknownOutcomeError):
            await upstream.send(_submit(), REMAINING_S)
    return notices


async def test_limit_and_leaving_are_read_from_answers_of_the_instance_alone():
    """Guards against a limit of another instance, no limit for a long number, or one for none."""
    end = "Content-Length: 0"
    (notice,) = await _notices_of(answer_head(REQUEST_ID, "Server-Limit: 51.7", end))
    assert (notice.instance_id, notice.limit_per_s, notice.leaving) == ("i-1", 51.7, False)
    (notice,) = await _notices_of(answer_head(REQUEST_ID, "Server-Leaving: 1", end))
    assert (notice.limit_per_s, notice.leaving) == (None, True)
    (notice,) = await _notices_of(answer_head(REQUEST_ID, "Server-Limit: .5", end))
    assert notice.limit_per_s == 0.5
    for digits in (f"{Decimal(0.1)}", "0" * 40 + ".1", "0.1" + "0" * 40):
        (notice,) = await _notices_of(answer_head(REQUEST_ID, f"Server-Limit: {digits}", end))
        assert notice.limit_per_s == 0.1, digits
    high = ("1000001", "1e19", "1e300", "1e309", "9" * 400)
    for malformed in ("", "x", "nan", "inf", "-1", "1_0", "٣", *high):
        (notice,) = await _notices_of(answer_head(REQUEST_ID, f"Server-Limit: {malformed}", end))
        assert notice.limit_per_s is None
    for status in ("421 Misdirected Request", "503 Service Unavailable"):
        head = answer_head(REQUEST_ID, "Server-Limit: 5", end).replace(b"200 OK", status.encode())
        head = head.replace(b"Response-Signature: s\r\n", b"")
        assert await _notices_of(head) == []


async def test_request_that_can_not_be_encoded_is_not_run():
    """Guards against a submission that ends without any result, so that its sender waits."""
    async with _instance(whole_answer(REQUEST_ID), INTERIM, dripping=True) as (server, upstream):
        for changes in (
            {"target": "/\u6771"},
            {"caller_service": "\u6771"},
            {"headers": (("X", "\u6771"),)},
        ):
            try:
                await upstream.send(attrs.evolve(_submit(), **changes), REMAINING_S)
            except NotRunError as error:
                assert error.reason == Reason.BAD_REQUEST
            else:
                raise AssertionError(changes)
        assert server.scripted.request_heads == []
        assert upstream.pool.sizing.busy == 0


async def test_odd_numbers_in_an_answer_end_as_an_outcome():
    """Guards against a number in a head that ends a request with an internal error."""
    numbers = ("9" * 400, "9" * 5000, "-1", "+1", "1_0", "٣", "1e309", "nan")
    for name in ("Content-Length", "Keep-Alive", "Retry-After", "Server-Limit", "Age"):
        for number in numbers:
            fields = [f"{name}: timeout={number}" if name == "Keep-Alive" else f"{name}: {number}"]
            if name != "Content-Length":
                fields.append("Content-Length: 0")
            answer = answer_head(REQUEST_ID, *fields)
            async with _instance(answer, INTERIM, dripping=True) as (_, upstream):
                result = await _send(upstream)
            if name == "Content-Length":
                assert isinstance(result, UnknownOutcomeError), (name, number, result)
            else:
                assert isinstance(result, Answer), (name, number, result)


async def test_all_slots_together_stay_within_the_machine():
    """Guards against endless bodies that fit one by one but not in all slots at once."""
    async with _instance(CHUNKED, LARGE_CHUNK) as (server, upstream):
        tracemalloc.start()
        endless = [asyncio.create_task(_send(upstream)) for _ in range(SLOTS)]
        await wait_until(lambda: server.written_bytes > 0)
        assert (await _send(upstream, "/healthy")).status == 200
        for result in await asyncio.gather(*endless):
            assert isinstance(result, UnknownOutcomeError), result
            assert result.reason in (Reason.TOO_LARGE, Reason.DEADLINE)
        await wait_until(lambda: server.closed_connections == SLOTS)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak_bytes < MACHINE_BYTES / 2, peak_bytes
        assert upstream.pool.sizing.busy == 0


load_tests = function_tests(__name__)
