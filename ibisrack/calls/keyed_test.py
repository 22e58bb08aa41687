"""Tests of calls with idempotency keys at the home of their keys."""

import asyncio
import time
import uuid

import attrs

from ibisrack.calls.keyed import KeyedCalls, create_keyed_calls
from ibisrack.calls.keys import LIST_PROPAGATION_MS, MAX_CLOCK_SKEW_MS
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.membership.table import MemberTable
from ibisrack.testing.fixtures import create_call, member, new_idempotency_key
from ibisrack.testing.functions import function_tests

DONE = Answer(200, {}, b"ok")


def new_keyed_calls(*others: str) -> KeyedCalls:
    """Returns the keyed calls of a node that started long ago, with the given other instances."""
    started_ms = int(time.time() * 1000) - LIST_PROPAGATION_MS - 2 * MAX_CLOCK_SKEW_MS
    keyed = create_keyed_calls("own", started_ms)
    members = MemberTable("own")
    for name in ("own", *others):
        members.apply(member(name))
    keyed.observe(members, started_ms)
    return keyed


@attrs.define
class Upstream:
    """Counts executions, which end after ``release`` is set."""

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
    """Guards against a second execution when a repeat arrives while the call runs."""
    keyed, upstream, call = new_keyed_calls(), Upstream(), create_call(key=new_idempotency_key())
    first = asyncio.create_task(keyed.run(call, upstream.run))
    second = asyncio.create_task(keyed.run(call, upstream.run))
    await asyncio.sleep(0)
    upstream.release.set()
    assert await first == await second == await keyed.run(call, upstream.run) == DONE
    assert upstream.executions == 1


async def test_a_call_continues_when_its_first_caller_disconnects():
    """Guards against losing the outcome when the caller's connection is lost."""
    keyed, upstream, call = new_keyed_calls(), Upstream(), create_call(key=new_idempotency_key())
    first = asyncio.create_task(keyed.run(call, upstream.run))
    await asyncio.sleep(0)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    upstream.release.set()
    assert await keyed.run(call, upstream.run) == DONE
    assert upstream.executions == 1


async def test_a_refused_call_may_run_later_but_an_unknown_one_may_not():
    """Guards against refusals that block a key, and against rerunning calls of unknown outcome."""
    keyed, upstream, call = new_keyed_calls(), Upstream(), create_call(key=new_idempotency_key())
    upstream.release.set()
    upstream.error = NotRunError(Reason.QUEUE_FULL)
    assert await error_of(keyed, upstream, call) == (NotRunError, Reason.QUEUE_FULL)
    upstream.error = UnknownOutcomeError(Reason.CONNECTION_LOST)
    lost = (UnknownOutcomeError, Reason.CONNECTION_LOST)
    assert await error_of(keyed, upstream, call) == lost
    upstream.error = None
    assert await error_of(keyed, upstream, call) == lost
    assert upstream.executions == 2


async def test_a_repeat_waits_at_most_until_its_deadline():
    """Guards against a repeat that waits forever, or reports the running call as not run."""
    keyed, upstream, call = new_keyed_calls(), Upstream(), create_call(key=new_idempotency_key())
    first = asyncio.create_task(keyed.run(call, upstream.run))
    await asyncio.sleep(0)
    expiring = attrs.evolve(call, deadline_at_s=time.monotonic())
    assert await error_of(keyed, upstream, expiring) == (
        UnknownOutcomeError,
        Reason.DEADLINE,
    )
    upstream.release.set()
    assert await first == DONE


async def test_a_node_that_is_not_the_home_reports_unknown():
    """Guards against execution at a node that the sender wrongly takes for the home of the key."""
    keyed, upstream = new_keyed_calls(*(f"other-{number}" for number in range(20))), Upstream()
    keys = [
        str(uuid.UUID(int=uuid.UUID(new_idempotency_key()).int + number)) for number in range(20)
    ]
    calls = [create_call(key=key) for key in keys]
    calls = [
        call for call in calls if keyed.list_history.home_since_ms(call.idempotency_key) is None
    ]
    changed = (UnknownOutcomeError, Reason.KEY_HOME_CHANGED)
    assert await error_of(keyed, upstream, calls[0]) == changed
    with_unknown_period = attrs.evolve(create_call(key=keys[0]), key_period="never-seen")
    assert await error_of(keyed, upstream, with_unknown_period) == changed
    assert upstream.executions == 0


async def error_of(keyed: KeyedCalls, upstream: Upstream, call: Call) -> tuple[type, str] | None:
    """Returns class and reason of the error that a call raises, None if it succeeds."""
    try:
        await keyed.run(call, upstream.run)
    except (NotRunError, UnknownOutcomeError) as error:
        return type(error), error.reason
    return None


load_tests = function_tests(__name__)
