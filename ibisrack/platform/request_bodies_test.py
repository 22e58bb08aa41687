"""Tests of what callers' requests hold in the account of memory, in a small fleet."""

import asyncio
from unittest import mock

from aiohttp import web

from ibisrack.clocks import read_monotonic_s
from ibisrack.memory.account import SMALL_BYTES, STALLED_S, Kind, MemoryAccount
from ibisrack.platform import request_bodies
from ibisrack.platform.caller_connection import LINGER_BYTES, RefusedRest
from ibisrack.platform.http_server_test import send_raw
from ibisrack.testing.connections import create_waiting_connection
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import SidecarFleet, capture_log, run_sidecars, wait_until

HEAD = b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\n"
BODY_BYTES = 300_000
LARGE = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
HELD_KINDS = (Kind.REQUEST, Kind.SUBMISSION, Kind.READING, Kind.ANSWER)


def account_of(fleet_: SidecarFleet, number: int = 0) -> MemoryAccount:
    """Returns the account of a node."""
    return fleet_.nodes[number].connection_limit.account


def fill(account: MemoryAccount) -> object:
    """Fills the room that is not reserved; returns the holding."""
    size_bytes = account.max_holding_bytes - account.held_bytes
    return account.open(Kind.ANSWER, size_bytes, read_monotonic_s())


async def test_body_without_room_is_refused_unread_and_a_small_one_is_served():
    """Guards against a full process that reads on, or that shuts out ordinary requests."""
    async with run_sidecars(1) as fleet_:
        filling = fill(account_of(fleet_))
        with capture_log() as log:
            answer = await send_raw(fleet_, HEAD + LARGE)
        assert answer.startswith(b"HTTP/1.1 503 ") and b"\r\nRetry-After: 1.000\r\n" in answer
        (record,) = [r for r in log if r.getMessage() == "body refused"]
        assert (record.bytes, record.request_id) == (BODY_BYTES, "q")
        response, _ = await fleet_.send_request(
            0, "/lodge/1", method="POST", request_id="small", data=b"x" * (SMALL_BYTES // 2)
        )
        assert response.status == 200
        assert fleet_.instances[0].executed_ids == ["small"]
        filling.release()


async def test_stalled_body_is_refused_when_its_room_is_needed():
    """Guards against clients that stop short of the end of a body and keep its room."""
    for framing in (LARGE, CHUNKED + b"1\r\nx\r\n"):
        async with run_sidecars(1) as fleet_:
            account = account_of(fleet_)
            stalled = asyncio.create_task(send_raw(fleet_, HEAD + framing))
            await wait_until(lambda account=account: account.held_by_kind[Kind.REQUEST] > 0)
            (body,) = account.longest_stalled(frozenset((Kind.REQUEST,)), read_monotonic_s())
            body.progress_at_s -= STALLED_S
            filling = fill(account)
            assert filling is not None
            small = [account.open(Kind.ANSWER, 100_000, read_monotonic_s()) for _ in range(100)]
            assert (await stalled).startswith(b"HTTP/1.1 503 ")
            assert account.given_up[Kind.REQUEST] == 1 and any(small)
            assert fleet_.instances[0].executed_ids == []


async def test_body_that_does_not_arrive_times_out():
    """Guards against a body that is held forever, and a client that is told nothing."""
    with mock.patch.object(request_bodies, "BODY_PROGRESS_TIMEOUT_S", 0.05):
        async with run_sidecars(1) as fleet_:
            assert (await send_raw(fleet_, HEAD + LARGE)).startswith(b"HTTP/1.1 408 ")
            assert fleet_.instances[0].executed_ids == []


async def test_account_is_empty_after_requests_of_any_outcome():
    """Guards against an account that fills up for good with each request of one kind."""

    async def broken(instance, request):
        request.transport.abort()
        return web.Response()

    async with run_sidecars(2) as fleet_:
        sizes = {"data": b"x" * BODY_BYTES}
        for number in range(6):
            response, body = await fleet_.send_request(
                number % 2, "/lodge/1", method="POST", request_id=f"served-{number}", **sizes
            )
            assert response.status == 200 and len(body) > BODY_BYTES
        for instance in fleet_.instances:
            instance.custom_handler = broken
        for number in range(4):
            await fleet_.send_request(
                number % 2, "/lodge/1", method="POST", request_id=f"broken-{number}", **sizes
            )
        for instance in fleet_.instances:
            instance.custom_handler, instance.work_s = None, 60.0
        late = [
            asyncio.create_task(
                fleet_.send_request(n % 2, "/lodge/1", f"late-{n}", "POST", deadline_ms=60, **sizes)
            )
            for n in range(4)
        ]
        left = [
            asyncio.create_task(
                fleet_.send_request(n % 2, method="POST", request_id=f"left-{n}", **sizes)
            )
            for n in range(4)
        ]
        await asyncio.gather(*late, return_exceptions=True)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        for number in range(2):
            account = account_of(fleet_, number)
            await wait_until(lambda a=account: not any(a.held_by_kind[k] for k in HELD_KINDS))


async def test_rest_of_a_refused_request_is_bounded():
    """Guards against a client that sends on after the refusal of its request."""
    connection = create_waiting_connection()
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
    _, content = await connection.read()
    rest = RefusedRest(content, due_bytes=1000)
    assert rest.drop(999) and not content.is_eof()
    assert rest.drop(1) and content.is_eof()
    assert rest.drop(LINGER_BYTES - 1000)
    assert not rest.drop(1)


load_tests = function_tests(__name__)
