"""Tests of the bound on the request bodies that are at an instance."""

import asyncio

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError
from ibisrack.memory.in_flight import SMALL_BODY_BYTES, BodiesInFlight
from ibisrack.testing.functions import function_tests

LARGE_BYTES = 1_000_000
GUARD_S = 10.0


def bodies(limit_bytes: int) -> BodiesInFlight:
    """Returns a bound."""
    return BodiesInFlight(limit_bytes)


async def start(
    bound: BodiesInFlight, size_bytes: int, end: asyncio.Event, wait_s=GUARD_S, request_id="q"
):
    """Starts a request with a body that is at the instance until an event."""

    async def run() -> str:
        try:
            async with bound.hold(request_id, size_bytes, read_monotonic_s() + wait_s):
                await end.wait()
                return "ran"
        except NotRunError as error:
            return error.reason

    task = asyncio.create_task(run())
    for _ in range(3):
        await asyncio.sleep(0)
    return task


async def test_bodies_beyond_the_limit_wait_and_small_ones_do_not():
    """Guards against large requests that together exceed the memory of an instance."""
    bound, end = bodies(2 * LARGE_BYTES), asyncio.Event()
    tasks = [await start(bound, LARGE_BYTES, end) for _ in range(5)]
    assert bound.sent_bytes == 2 * LARGE_BYTES and bound.waiting == 3
    tasks.append(await start(bound, SMALL_BODY_BYTES, end))
    assert bound.waiting == 3
    end.set()
    assert await asyncio.gather(*tasks) == ["ran"] * 6
    assert bound.sent_bytes == 0 and bound.waiting == 0


async def test_bodies_that_wait_are_refused_one_by_one_and_all_together():
    """Guards against a withdrawn request that runs later or holds its body for nothing."""
    bound, end = bodies(LARGE_BYTES), asyncio.Event()
    tasks = [await start(bound, LARGE_BYTES, end, request_id=f"q-{n}") for n in range(4)]
    bound.refuse("q-0", Reason.WITHDRAWN)  # It is at the instance already.
    bound.refuse("q-2", Reason.WITHDRAWN)
    assert await tasks[2] == Reason.WITHDRAWN and bound.waiting == 2
    bound.refuse_waiting(Reason.EVACUATED)
    assert await asyncio.gather(tasks[1], tasks[3]) == [Reason.EVACUATED] * 2
    assert bound.waiting == 0 and bound.sent_bytes == LARGE_BYTES
    end.set()
    assert await tasks[0] == "ran" and bound.sent_bytes == 0


async def test_body_larger_than_the_limit_runs_alone():
    """Guards against a single large body that never gets its turn."""
    bound, end = bodies(LARGE_BYTES), asyncio.Event()
    tasks = [await start(bound, 3 * LARGE_BYTES, end) for _ in range(2)]
    assert bound.sent_bytes == 3 * LARGE_BYTES and bound.waiting == 1
    end.set()
    assert await asyncio.gather(*tasks) == ["ran"] * 2


async def test_body_without_a_turn_in_time_is_refused_as_not_run():
    """Guards against an unknown outcome of a request that was never sent."""
    bound, end = bodies(LARGE_BYTES), asyncio.Event()
    first = await start(bound, LARGE_BYTES, end)
    second = await start(bound, LARGE_BYTES, end, wait_s=0.01)
    third = await start(bound, LARGE_BYTES, end)
    assert await second == Reason.MEMORY_FULL
    third.cancel()
    await asyncio.gather(third, return_exceptions=True)
    assert bound.waiting == 0
    end.set()
    assert await first == "ran"
    assert bound.sent_bytes == 0 and bound.refused == 1


load_tests = function_tests(__name__)
