"""Runs keyed calls at their home: the asynchronous shell around the key ledger.

The ledger is asked before anything else, so every not-run that leaves this module is about the key
and not only about the attempt.  A keyed call runs in a task of its own: its result is wanted by
repeats even when the connection of its first caller has gone.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod

import attrs

from ibisrack.calls.homes import HomeHistory, Periods
from ibisrack.calls.keys import (
    CLOCK_SKEW_MS,
    Fresh,
    Joined,
    Key,
    KeyLedger,
    Rejected,
    Replayed,
    Unanswerable,
    Verdict,
    fingerprint,
    parse_key,
)
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.membership.table import MemberTable

RunOnce = Callable[[Call], Awaitable[Answer]]


@attrs.define
class KeyedRuns:
    """Keyed calls of the local upstream.

    Attributes:
      ledger: The keys that ran here.
      history: Lists of instances of the own service, in their order.
      periods: Lists of instances by their names.
    """

    ledger: KeyLedger
    history: HomeHistory
    periods: Periods
    _running: dict[str, asyncio.Task[Answer]] = attrs.field(factory=dict)

    def observe(self, members: MemberTable, now_ms: int) -> None:
        """Takes over the present list of instances of the own service."""
        service = members.own().service
        node_ids = tuple(record.node_id for record in members.instances(service))
        self.history.observe(node_ids, now_ms)
        self.periods.observe(service, node_ids)

    async def run(self, call: Call, run_once: RunOnce) -> Answer:
        """Runs a keyed call unless it ran, runs or may have run before.

        Args:
          call: The call.
          run_once: Runs the call on the upstream.

        Raises:
          NotRunError: No call with the key ran.
          UnknownOutcomeError: A call with the key may have run.
          RequestError: The key is malformed.
        """
        key = parse_key(call.idempotency_key)
        verdict = self._verdict(call, key)
        return await self._follow(verdict, call, key, run_once)

    def _verdict(self, call: Call, key: Key) -> Verdict:
        since_ms = self._home_since_ms(call, key)
        if since_ms is None:
            return Unanswerable(Reason.KEY_HOME_CHANGED)
        return self.ledger.accept(key, fingerprint(call), since_ms, read_clocks().wall_ms)

    def _home_since_ms(self, call: Call, key: Key) -> int | None:
        """Returns since when this is the home of the key; always, under the caller's period."""
        if not call.key_period:
            return self.history.home_since_ms(key.text)
        home = self.periods.home(call.route.to, key.text, call.key_period)
        return 0 if home == self.history.own_id else None

    @singledispatchmethod
    async def _follow(self, verdict: Verdict, call: Call, key: Key, run_once: RunOnce) -> Answer:
        raise TypeError(f"unknown verdict {type(verdict).__name__}")

    @_follow.register
    async def _(self, verdict: Fresh, call: Call, key: Key, run_once: RunOnce) -> Answer:
        task = asyncio.get_running_loop().create_task(self._run_fresh(call, key, run_once))
        self._running[key.text] = task
        return await asyncio.shield(task)

    @_follow.register
    async def _(self, verdict: Joined, call: Call, key: Key, run_once: RunOnce) -> Answer:
        remaining_s = call.deadline_at_s - read_clocks().monotonic_s
        try:
            async with asyncio.timeout(remaining_s):
                answer = await asyncio.shield(self._running[key.text])
        except TimeoutError:
            raise UnknownOutcomeError(Reason.DEADLINE) from None
        if answer.rest is not None:
            raise UnknownOutcomeError(Reason.ANSWER_NOT_KEPT)
        return answer

    @_follow.register
    async def _(self, verdict: Replayed, call: Call, key: Key, run_once: RunOnce) -> Answer:
        return verdict.answer

    @_follow.register
    async def _(self, verdict: Unanswerable, call: Call, key: Key, run_once: RunOnce) -> Answer:
        raise UnknownOutcomeError(verdict.reason)

    @_follow.register
    async def _(self, verdict: Rejected, call: Call, key: Key, run_once: RunOnce) -> Answer:
        raise NotRunError(verdict.reason)

    async def _run_fresh(self, call: Call, key: Key, run_once: RunOnce) -> Answer:
        try:
            answer = await run_once(call)
        except NotRunError:
            self.ledger.not_run(key)
            raise
        except UnknownOutcomeError as error:
            self.ledger.unknown(key, error.reason, read_clocks().wall_ms)
            raise
        except BaseException:
            self.ledger.unknown(key, Reason.CONNECTION_LOST, read_clocks().wall_ms)
            raise
        finally:
            del self._running[key.text]
        self.ledger.done(key, answer, read_clocks().wall_ms)
        return answer


def create_keyed_runs(own_id: str, now_ms: int) -> KeyedRuns:
    """Creates the state of a node that has just started and remembers no keys."""
    return KeyedRuns(KeyLedger(now_ms + CLOCK_SKEW_MS), HomeHistory(own_id), Periods())
