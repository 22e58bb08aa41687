"""Lets calls wait for their slot: the asynchronous shell around the scheduler."""

import asyncio
import itertools
import math
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from functools import singledispatch

import attrs

from ibisrack.calls.admission import Admitted, Decision, Queued, Refused, Scheduler
from ibisrack.calls.messages import Call, LoadReport
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import Ticket
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError
from ibisrack.rules.ruleset import Service


@attrs.define
class Gate:
    """Admits calls to the local upstream.

    Attributes:
      scheduler: Decides which call runs.
    """

    scheduler: Scheduler
    _waiting: dict[int, asyncio.Future] = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def load(self) -> LoadReport:
        """Returns the present load."""
        scheduler = self.scheduler
        return LoadReport(scheduler.busy, scheduler.queued, scheduler.usable_slots)

    def configure(self, service: Service) -> None:
        """Takes the slots and ranks of a version."""
        now_s = read_clocks().monotonic_s
        self.apply(self.scheduler.configure(service.rule.slots, service.ranks, now_s))

    def limit_slots(self, limit: int) -> None:
        """Limits the slots of a cold or shedding upstream."""
        self.apply(self.scheduler.limit_slots(limit, read_clocks().monotonic_s))

    @asynccontextmanager
    async def slot(self, call: Call) -> AsyncIterator[None]:
        """Holds a slot for a call.

        Raises:
          NotRunError: The call was refused.
        """
        async with self.hold(call.call_id, call.route.rank, call.deadline_at_s):
            yield

    @asynccontextmanager
    async def hold(
        self,
        call_id: str,
        rank: str,
        deadline_at_s: float,
        target_at_s: float = math.inf,
        whole_target_s: float = math.inf,
    ) -> AsyncIterator[None]:
        """Holds a slot for the call with an id.

        Raises:
          NotRunError: The call was refused.
        """
        now_s = read_clocks().monotonic_s
        ticket = Ticket(
            call_id,
            next(self._numbers),
            rank,
            now_s,
            deadline_at_s,
            target_at_s,
            whole_target_s,
        )
        await self._enter(ticket, now_s)
        try:
            yield
        finally:
            self.apply(self.scheduler.finish(ticket, read_clocks().monotonic_s))

    def expire(self) -> None:
        """Refuses waiting calls whose deadline has passed."""
        self.apply(self.scheduler.expire(read_clocks().monotonic_s))

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuses every waiting call."""
        self.apply(self.scheduler.refuse_waiting(reason, read_clocks().monotonic_s))

    def refuse(self, call_id: str, reason: Reason) -> None:
        """Refuses a call if it waits."""
        now_s = read_clocks().monotonic_s
        self.apply(self.scheduler.refuse_waiting(reason, now_s, frozenset((call_id,))))

    def apply(self, decisions: Iterable[Decision]) -> None:
        """Carries out decisions about waiting calls."""
        for decision in decisions:
            future = self._waiting.pop(decision.ticket.number, None)
            if future is not None and not future.done():
                _settle(decision, future)

    async def _enter(self, ticket: Ticket, now_s: float) -> None:
        decision = self.scheduler.submit(ticket, now_s)
        future = asyncio.get_running_loop().create_future()
        _settle(decision, future)
        if future.done():
            return future.result()
        self._waiting[ticket.number] = future
        await self._wait(ticket, future, ticket.deadline_at_s - now_s)

    async def _wait(self, ticket: Ticket, future: asyncio.Future, remaining_s: float) -> None:
        """Waits for the decision; the deadline ends the wait even when no call finishes."""
        try:
            async with asyncio.timeout(remaining_s):
                await future
        except TimeoutError:
            self._leave(ticket, future)
            raise NotRunError(Reason.DEADLINE) from None
        except asyncio.CancelledError:
            self._leave(ticket, future)
            raise

    def _leave(self, ticket: Ticket, future: asyncio.Future) -> None:
        """Gives up a place; a slot that was granted in the same moment is freed."""
        now_s = read_clocks().monotonic_s
        if self._waiting.pop(ticket.number, None) is not None:
            self.scheduler.cancel(ticket, now_s)
        elif future.done() and not future.cancelled() and future.exception() is None:
            self.apply(self.scheduler.finish(ticket, now_s))


@singledispatch
def _settle(decision: Decision, future: asyncio.Future) -> None:
    raise TypeError(f"unknown decision {type(decision).__name__}")


@_settle.register
def _(decision: Admitted, future: asyncio.Future) -> None:
    future.set_result(None)


@_settle.register
def _(decision: Refused, future: asyncio.Future) -> None:
    future.set_exception(NotRunError(decision.reason))


@_settle.register
def _(decision: Queued, future: asyncio.Future) -> None:
    pass
