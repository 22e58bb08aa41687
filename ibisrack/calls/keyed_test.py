"""Tests of keyed calls at their home."""

import asyncio
import time
import uuid

import attrs

from ibisrack.calls.keyed import KeyedRuns, create_keyed_runs
from ibisrack.calls.keys import CLOCK_SKEW_MS, SETTLE_MS
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.membership.table import MemberTable
from ibisrack.testing.fixtures import call_to, member, new_key
from ibisrack.testing.functions import function_tests

DONE = Answer(200, {}, b"ok")


def home(*others: str) -> KeyedRuns:
    """Returns the home of a node that started long ago in a list of instances."""
    started_ms = int(time.time() * 1000) - SETTLE_MS - 2 * CLOCK_SKEW_MS
    runs = create_keyed_runs("own", started_ms)
    members = MemberTable("own")
    for name in ("own", *others):
        members.apply(member(name))
    runs.observe(members, started_ms)
    return runs


@attrs.define
class Upstream:
    """Counts executions and ends them when told."""

    release: asyncio.Event = attrs.field(factory=asyncio.Event)
    executions: int = 0
    error: Exception | None = None

    async def run(self, call: Call) -> Answer:
        self.executions += 1
        await self.release.wait()
        if self.error is not None:
            raise self.error
        return DONE


async def test_a_repeat_joins_the_running_call():
    """Guards against two executions when a caller repeats too early."""
    runs, upstream, call = home(), Upstream(), call_to(key=new_key())
    first = asyncio.create_task(runs.run(call, upstream.run))
    second = asyncio.create_task(runs.run(call, upstream.run))
    await asyncio.sleep(0)
    upstream.release.set()
    assert await first == await second == await runs.run(call, upstream.run) == DONE
    assert upstream.executions == 1


async def test_a_call_outlives_its_first_caller():
    """Guards against an outcome lost because the caller's connection broke."""
    runs, upstream, call = home(), Upstream(), call_to(key=new_key())
    first = asyncio.create_task(runs.run(call, upstream.run))
    await asyncio.sleep(0)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    upstream.release.set()
    assert await runs.run(call, upstream.run) == DONE
    assert upstream.executions == 1


async def test_a_refused_call_may_run_later_and_an_unknown_one_not():
    """Guards against refusals that block a key, and against repeats of unknown calls."""
    runs, upstream, call = home(), Upstream(), call_to(key=new_key())
    upstream.release.set()
    upstream.error = NotRunError(Reason.QUEUE_FULL)
    assert await reason_of(runs, upstream, call) == (NotRunError, Reason.QUEUE_FULL)
    upstream.error = UnknownOutcomeError(Reason.CONNECTION_LOST)
    lost = (UnknownOutcomeError, Reason.CONNECTION_LOST)
    assert await reason_of(runs, upstream, call) == lost
    upstream.error = None
    assert await reason_of(runs, upstream, call) == lost
    assert upstream.executions == 2


async def test_a_repeat_waits_no_longer_than_its_deadline():
    """Guards against a repeat that hangs on a stuck call, or claims that it did not run."""
    runs, upstream, call = home(), Upstream(), call_to(key=new_key())
    first = asyncio.create_task(runs.run(call, upstream.run))
    await asyncio.sleep(0)
    hasty = attrs.evolve(call, deadline_at_s=time.monotonic())
    assert await reason_of(runs, upstream, hasty) == (UnknownOutcomeError, Reason.DEADLINE)
    upstream.release.set()
    assert await first == DONE


async def test_a_node_that_is_not_the_home_says_unknown():
    """Guards against execution at a node that a sender with another list takes for the home."""
    runs, upstream = home(*(f"other-{number}" for number in range(20))), Upstream()
    keys = [str(uuid.UUID(int=uuid.UUID(new_key()).int + number)) for number in range(20)]
    calls = [call_to(key=key) for key in keys]
    calls = [call for call in calls if runs.history.home_since_ms(call.idempotency_key) is None]
    changed = (UnknownOutcomeError, Reason.KEY_HOME_CHANGED)
    assert await reason_of(runs, upstream, calls[0]) == changed
    stranger = attrs.evolve(call_to(key=keys[0]), key_period="never-seen")
    assert await reason_of(runs, upstream, stranger) == changed
    assert upstream.executions == 0


async def reason_of(runs: KeyedRuns, upstream: Upstream, call: Call) -> tuple[type, str] | None:
    """Returns the error with which a call ends."""
    try:
        await runs.run(call, upstream.run)
    except (NotRunError, UnknownOutcomeError) as error:
        return type(error), error.reason
    return None


load_tests = function_tests(__name__)
