"""Tests of the asynchronous front of the scheduler."""

import asyncio
import time

import attrs

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError
from ibisrack.testing.fixtures import create_call, rank_rule
from ibisrack.testing.functions import function_tests


def new_one_slot_gate() -> Gate:
    scheduler = Scheduler(1)
    scheduler.configure(1, (rank_rule("lodgement"),), 0.0)
    return Gate(scheduler)


async def hold_slot_until(gate: Gate, release: asyncio.Event) -> None:
    async with gate.slot(create_call()):
        await release.wait()


async def test_a_waiting_call_is_refused_at_its_deadline():
    """Guards against callers that wait forever behind a call that never finishes."""
    gate, release = new_one_slot_gate(), asyncio.Event()
    holder = asyncio.create_task(hold_slot_until(gate, release))
    await asyncio.sleep(0)
    try:
        async with gate.slot(attrs.evolve(create_call(), deadline_at_s=time.monotonic() + 0.01)):
            raise AssertionError("the call must not start")
    except NotRunError as error:
        assert error.reason == Reason.DEADLINE
    assert gate.load().queued == 0
    release.set()
    await holder


async def test_expired_calls_are_refused_after_a_pause():
    """Guards against starting queued calls after their deadline when a paused process resumes."""
    gate, release = new_one_slot_gate(), asyncio.Event()
    holder = asyncio.create_task(hold_slot_until(gate, release))
    await asyncio.sleep(0)
    late = attrs.evolve(create_call(), deadline_at_s=time.monotonic() + 0.02)
    waiting = asyncio.create_task(gate.slot(late).__aenter__())
    await asyncio.sleep(0)
    time.sleep(0.03)  # Blocks the event loop, like a paused process.
    gate.expire()
    result = (await asyncio.gather(waiting, return_exceptions=True))[0]
    assert isinstance(result, NotRunError)
    release.set()
    await holder


async def test_a_cancelled_wait_leaves_the_queue():
    """Guards against leaking slots when callers disconnect."""
    gate, release = new_one_slot_gate(), asyncio.Event()
    holder = asyncio.create_task(hold_slot_until(gate, release))
    await asyncio.sleep(0)
    waiting = [asyncio.create_task(hold_slot_until(gate, release)) for _ in range(3)]
    await asyncio.sleep(0)
    waiting[0].cancel()
    release.set()
    await asyncio.gather(holder, *waiting, return_exceptions=True)
    assert (gate.load().busy, gate.load().queued) == (0, 0)


load_tests = function_tests(__name__)
