"""Tests that crowds of hostile clients don't take the memory or descriptors of a sidecar process.

Each test starts real processes with the limits of a small machine in their settings.  It checks
that the processes live, that what they hold stays under the limits in the settings, and that an
ordinary request is answered while the crowd's connections are still open.
"""

import json
from contextlib import asynccontextmanager

from aiohttp import web

from ibisrack.testing.crowds import (
    BodyWithLength,
    ChunkedBody,
    Crowd,
    PartialHead,
    UnreadRequest,
    crowd_at,
)
from ibisrack.testing.functions import function_tests
from ibisrack.testing.processes import ProcessFleet, run_processes
from ibisrack.testing.sidecars import configuration_entry, route_resource

MEBIBYTE = 1024 * 1024
MEMORY_MB = 96
CLIENTS = 100
STALLED_OF_TEN = 9  # Of ten clients, so many stop just short of the end.
BODY_BYTES = MEBIBYTE
SHORT_BYTES = 16
SMALL_CHUNK_BYTES = 16
LARGE_CHUNK_BYTES = 128 * 1024
OVERSIZED_BYTES = 64 * MEBIBYTE
MAX_DESCRIPTORS = 256
CONNECTIONS = 400
ANSWER_BYTES = 2 * MEBIBYTE
DOWNLOADS = 100
LARGEST_BODY_BYTES = 64 * MEBIBYTE
LARGE_MEMORY_MB = 200  # As on the machines of deployment A.

ROUTES = (
    route_resource(timeout="30s", target_latency="10s"),
    route_resource("non_idempotent", prefix="/lodge/", timeout="30s", target_latency="10s"),
)


def configuration(max_body_bytes: int) -> bytes:
    """Returns a configuration entry with a limit on the size of bodies."""
    body = json.loads(configuration_entry(1, *ROUTES))
    body["resources"][-1]["spec"]["max_body_bytes"] = max_body_bytes
    return json.dumps(body).encode()


@asynccontextmanager
async def one_process(work_s: float = 0.0):
    """Runs one process on a small machine and a crowd of its callers."""
    async with run_processes(1, configuration(BODY_BYTES), MEMORY_MB, MAX_DESCRIPTORS) as fleet:
        (process,) = fleet.processes
        process.instance.work_s = work_s
        async with crowd_at(process.host, process.ports.calls) as crowd:
            yield fleet, crowd


async def check_after(fleet: ProcessFleet, crowd: Crowd, messages: list) -> None:
    """Sends a crowd's messages and then an ordinary request, and checks what the process holds."""
    await crowd.send(messages)
    assert await fleet.request(0, "/lodge/2", b"ordinary") == 200
    fleet.check()


async def check_after_stalled_chunks(chunk_bytes: int) -> None:
    """Sends bodies in chunks, most without the last one, and checks what the process holds."""
    async with one_process() as (fleet, crowd):
        stalled = ChunkedBody(BODY_BYTES, BODY_BYTES - chunk_bytes, chunk_bytes)
        whole = ChunkedBody(BODY_BYTES, BODY_BYTES, chunk_bytes)
        await check_after(
            fleet,
            crowd,
            [stalled if number % 10 < STALLED_OF_TEN else whole for number in range(CLIENTS)],
        )


async def test_many_whole_bodies():
    """Guards against bodies of legal size that fill the memory while they wait for an instance."""
    async with one_process(work_s=0.1) as (fleet, crowd):
        body = BodyWithLength(BODY_BYTES, BODY_BYTES, BODY_BYTES)
        await check_after(fleet, crowd, [body] * CLIENTS)


async def test_bodies_in_pieces_that_stop_short_of_their_end():
    """Guards against bodies that are held for clients that never send the last bytes."""
    async with one_process() as (fleet, crowd):
        await check_after(
            fleet,
            crowd,
            [
                BodyWithLength(
                    BODY_BYTES,
                    BODY_BYTES - SHORT_BYTES * (number % 10 < STALLED_OF_TEN),
                    piece_bytes=16 * 1024,
                )
                for number in range(CLIENTS)
            ],
        )


async def test_bodies_in_large_chunks_that_stop_short_of_their_end():
    """Guards against bodies of unknown length that never end."""
    await check_after_stalled_chunks(LARGE_CHUNK_BYTES)


async def test_bodies_in_small_chunks_that_stop_short_of_their_end():
    """Guards against chunks that each take far more memory than their bytes."""
    await check_after_stalled_chunks(SMALL_CHUNK_BYTES)


async def test_oversized_bodies_with_a_length():
    """Guards against bodies over the limit that are read or wait unread."""
    async with one_process() as (fleet, crowd):
        body = BodyWithLength(16 * OVERSIZED_BYTES, OVERSIZED_BYTES, 256 * 1024)
        await check_after(fleet, crowd, [body] * CLIENTS)


async def test_oversized_bodies_in_chunks():
    """Guards against bodies over the limit that only show it when they are read."""
    async with one_process() as (fleet, crowd):
        body = ChunkedBody(2 * OVERSIZED_BYTES, OVERSIZED_BYTES, LARGE_CHUNK_BYTES)
        await check_after(fleet, crowd, [body] * CLIENTS)


async def test_more_connections_than_descriptors():
    """Guards against connections that do nothing and take all file descriptors."""
    async with one_process() as (fleet, crowd):
        kinds = (
            PartialHead(b""),
            PartialHead(b"POST /lodge/1 HTTP/1.1\r\nHost: desk.example\r\n"),
            BodyWithLength(BODY_BYTES, 1024, 1024),
        )
        await check_after(fleet, crowd, [kinds[n % len(kinds)] for n in range(CONNECTIONS)])


async def send_large_answer(instance, request: web.BaseRequest) -> web.Response:
    """Answers requests for notices with a large body."""
    size = ANSWER_BYTES if request.path.startswith("/notices/") else 1
    await request.read()
    return web.Response(body=b"x" * size, headers=instance.headers(request))


async def test_large_answers_that_nobody_reads():
    """Guards against answers that wait without a bound for callers that read nothing."""
    async with one_process() as (fleet, crowd):
        fleet.processes[0].instance.custom_handler = send_large_answer
        await check_after(fleet, crowd, [UnreadRequest("/notices/1")] * CLIENTS)


async def test_large_answers_for_a_peer():
    """Guards against results that are kept for a peer after they were delivered (review/2)."""
    limits = configuration(BODY_BYTES)
    async with run_processes(2, limits, MEMORY_MB, listed=lambda number: number == 1) as fleet:
        fleet.processes[1].instance.custom_handler = send_large_answer
        for _ in range(DOWNLOADS):
            assert await fleet.request(0, "/notices/1") == 200
        fleet.check()


async def test_largest_body_of_a_single_caller():
    """Guards against a body within the limits that ends a process by itself (review/3)."""
    limits = configuration(LARGEST_BODY_BYTES)
    async with run_processes(
        2, limits, LARGE_MEMORY_MB, listed=lambda number: number == 1
    ) as fleet:
        assert await fleet.request(0, "/lodge/1", b"x" * LARGEST_BODY_BYTES) == 200
        assert await fleet.request(0, "/lodge/2", b"ordinary") == 200
        fleet.check()


load_tests = function_tests(__name__)
