"""Runs calls with idempotency keys at the home of their keys.

The key is looked up before anything else, so a not-run outcome holds for all calls with the key and
not only for this attempt.  A keyed call runs in its own task, because repeats need its result even
after the connection of the first caller is closed.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod

import attrs

from ibisrack.calls.homes import HomeHistory, KeyPeriods
from ibisrack.calls.keys import (
    MAX_CLOCK_SKEW_MS,
    JoinRunning,
    Key,
    KeyDecision,
    KeyStore,
    OutcomeUnknown,
    RefuseRequest,
    ReplayAnswer,
    RunNow,
    fingerprint,
    parse_key,
)
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_clocks, read_monotonic_s
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.membership.table import MemberTable

RunOnce = Callable[[Call], Awaitable[Answer]]


@attrs.define
class KeyedCalls:
    """Keyed calls of the local upstream.

    Attributes:
      store: Keys that this instance accepted.
      list_history: Lists of instances of the own service, in the order of observation.
      periods: Lists of instances of all services by their periods.
    """

    store: KeyStore
    list_history: HomeHistory
    periods: KeyPeriods
    _running: dict[str, asyncio.Task[Answer]] = attrs.field(factory=dict)

    def observe(self, members: MemberTable, now_ms: int) -> None:
        """Records the current list of instances of the own service."""
        service = members.own().service
        node_ids = tuple(record.node_id for record in members.instances(service))
        self.list_history.observe(node_ids, now_ms)
        self.periods.observe(service, node_ids)

    async def run(self, call: Call, run_once: RunOnce) -> Answer:
        """Runs a keyed call unless a call with the key runs, ran or may have run.

        Args:
          call: The call.
          run_once: Runs the call on the upstream.

        Raises:
          NotRunError: No call with the key has run.
          UnknownOutcomeError: A call with the key may have run.
          RequestError: The key is malformed.
        """
        key = parse_key(call.idempotency_key)
        decision = self._decide(call, key)
        return await self._carry_out(decision, call, key, run_once)

    def _decide(self, call: Call, key: Key) -> KeyDecision:
        since_ms = self._home_since_ms(call, key)
        if since_ms is None:
            return OutcomeUnknown(Reason.KEY_HOME_CHANGED)
        return self.store.accept(key, fingerprint(call), since_ms, read_clocks().wall_ms)

    def _home_since_ms(self, call: Call, key: Key) -> int | None:
        """Returns the wall time since when this node has been the home, None if it is not.

        A period in the call fixes the home for good, so the time is then 0.
        """
        if not call.key_period:
            return self.list_history.home_since_ms(key.text)
        home = self.periods.home(call.route.to, key.text, call.key_period)
        return 0 if home == self.list_history.own_id else None

    @singledispatchmethod
    async def _carry_out(
        self, decision: KeyDecision, call: Call, key: Key, run_once: RunOnce
    ) -> Answer:
        raise TypeError(f"unknown decision {type(decision).__name__}")

    @_carry_out.register
    async def _(self, decision: RunNow, call: Call, key: Key, run_once: RunOnce) -> Answer:
        task = asyncio.get_running_loop().create_task(self._run_and_record(call, key, run_once))
        self._running[key.text] = task
        return await asyncio.shield(task)

    @_carry_out.register
    async def _(self, decision: JoinRunning, call: Call, key: Key, run_once: RunOnce) -> Answer:
        remaining_s = call.deadline_at_s - read_monotonic_s()
        try:
            async with asyncio.timeout(remaining_s):
                answer = await asyncio.shield(self._running[key.text])
        except TimeoutError:
            raise UnknownOutcomeError(Reason.DEADLINE) from None
        if answer.rest is not None:
            raise UnknownOutcomeError(Reason.ANSWER_NOT_KEPT)
        return answer

    @_carry_out.register
    async def _(self, decision: ReplayAnswer, call: Call, key: Key, run_once: RunOnce) -> Answer:
        return decision.answer

    @_carry_out.register
    async def _(self, decision: OutcomeUnknown, call: Call, key: Key, run_once: RunOnce) -> Answer:
        raise UnknownOutcomeError(decision.reason)

    @_carry_out.register
    async def _(self, decision: RefuseRequest, call: Call, key: Key, run_once: RunOnce) -> Answer:
        raise NotRunError(decision.reason)

    async def _run_and_record(self, call: Call, key: Key, run_once: RunOnce) -> Answer:
        try:
            answer = await run_once(call)
        except NotRunError:
            self.store.record_not_run(key)
            raise
        except UnknownOutcomeError as error:
            self.store.record_unknown(key, error.reason, read_clocks().wall_ms)
            raise
        except BaseException:
            self.store.record_unknown(key, Reason.CONNECTION_LOST, read_clocks().wall_ms)
            raise
        finally:
            del self._running[key.text]
        self.store.record_done(key, answer, read_clocks().wall_ms)
        return answer


def create_keyed_calls(own_id: str, now_ms: int) -> KeyedCalls:
    """Creates the state of a node that has just started and has no stored keys."""
    return KeyedCalls(KeyStore(now_ms + MAX_CLOCK_SKEW_MS), HomeHistory(own_id), KeyPeriods())
