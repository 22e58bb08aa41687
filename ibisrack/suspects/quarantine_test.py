"""Tests of the turns of suspects on one instance."""

import asyncio

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError
from ibisrack.suspects.quarantine import MAX_WAITING, Quarantine
from ibisrack.suspects.table import CLEAR, Blocked, Suspected
from ibisrack.testing.functions import function_tests


async def run_turn(
    quarantine: Quarantine,
    request_id: str,
    ran: list[str],
    wait_s: float = 5.0,
    fingerprint: bytes = b"f" * 16,
):
    """Takes a turn, and returns the reason if it was refused."""
    deadline_at_s = read_monotonic_s() + wait_s
    try:
        async with quarantine.hold_turn(request_id, fingerprint, deadline_at_s):
            ran.append(request_id)
            await asyncio.sleep(0.02)
            assert ran[-1] == request_id
    except NotRunError as error:
        return error.reason


async def test_suspects_run_one_at_a_time_in_the_order_of_their_arrival():
    """Guards against two suspects on an instance, whose crash would not tell them apart."""
    quarantine, ran = Quarantine(), []
    await asyncio.gather(*(run_turn(quarantine, str(n), ran) for n in range(4)))
    assert ran == ["0", "1", "2", "3"]
    assert await run_turn(quarantine, "4", ran) is None


async def test_a_suspect_that_waits_can_be_refused_and_expires():
    """Guards against a suspect that starts after its sender has given it up."""
    quarantine, ran = Quarantine(), []
    first = asyncio.create_task(run_turn(quarantine, "0", ran))
    late = asyncio.create_task(run_turn(quarantine, "1", ran, wait_s=0.001))
    withdrawn = asyncio.create_task(run_turn(quarantine, "2", ran))
    last = asyncio.create_task(run_turn(quarantine, "3", ran))
    await asyncio.sleep(0)
    quarantine.refuse("2", Reason.WITHDRAWN)
    assert await withdrawn == Reason.WITHDRAWN
    assert await late == Reason.DEADLINE
    assert (await first, await last) == (None, None)
    assert ran == ["0", "3"]


async def test_a_cancelled_suspect_passes_its_turn_on():
    """Guards against a turn that nobody can take any more."""
    quarantine, ran = Quarantine(), []
    tasks = [asyncio.create_task(run_turn(quarantine, str(n), ran)) for n in range(3)]
    await asyncio.sleep(0)
    tasks[0].cancel()
    await asyncio.sleep(0)  # The turn is granted to the second.
    tasks[1].cancel()
    await asyncio.wait_for(tasks[2], 1.0)
    assert ran[-1] == "2"


async def test_waiting_suspects_beyond_a_few_are_refused_at_once():
    """Guards against a queue of suspects that grows until their deadlines."""
    quarantine, ran = Quarantine(), []
    count = 1 + MAX_WAITING
    tasks = [asyncio.create_task(run_turn(quarantine, str(n), ran)) for n in range(count)]
    await asyncio.sleep(0)
    assert await run_turn(quarantine, "late", ran) == Reason.QUARANTINE_FULL
    assert await asyncio.gather(*tasks) == [None] * count


async def test_a_verdict_ends_the_wait_of_the_requests_that_it_is_on():
    """Guards against requests that wait for a turn though they need none, or will get none."""
    quarantine, cleared, blocked, other = Quarantine(), b"c" * 16, b"d" * 16, b"o" * 16
    far_s = read_monotonic_s() + 5.0
    turns = {}

    async def wait(name: str, fingerprint: bytes) -> None:
        try:
            async with quarantine.hold_turn(name, fingerprint, far_s) as turns[name]:
                pass
        except NotRunError as error:
            turns[name] = error.reason

    async with quarantine.hold_turn("holder", cleared, far_s) as has_turn:
        assert has_turn
        waits = (("0", cleared), ("1", blocked), ("2", other), ("3", cleared))
        tasks = [asyncio.create_task(wait(*each)) for each in waits]
        await asyncio.sleep(0)
        quarantine.apply_verdict(Suspected(1), other)
        quarantine.apply_verdict(CLEAR, cleared)
        quarantine.apply_verdict(Blocked(2, far_s), blocked)
        await asyncio.wait(tasks, timeout=0.05)
        assert turns == {"0": False, "1": Reason.CRASHES_INSTANCES, "3": False}
    await asyncio.gather(*tasks)
    assert turns["2"] is True


load_tests = function_tests(__name__)
