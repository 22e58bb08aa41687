"""Asynchronous front of the scheduler: calls await the slot that it assigns."""

import asyncio
import itertools
import math
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from functools import singledispatch
from typing import TYPE_CHECKING

import attrs

from ibisrack.calls.admission import Admitted, Decision, Queued, Refused, Scheduler
from ibisrack.calls.messages import Call, LoadReport
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import Ticket
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError

if TYPE_CHECKING:  # A sidecar has no rules file and does not load their grammar.
    from ibisrack.rules.ruleset import Service


@attrs.define
class Gate:
    """Admission of calls to the local upstream.

    Attributes:
      scheduler: Decides which calls run, wait or are refused.
    """

    scheduler: Scheduler
    _waiting: dict[int, asyncio.Future] = attrs.field(factory=dict)
    _paced_start: asyncio.TimerHandle | None = None
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def load(self) -> LoadReport:
        """Returns the current load."""
        scheduler = self.scheduler
        return LoadReport(scheduler.busy, scheduler.queued, scheduler.usable_slots)

    def configure(self, service: "Service") -> None:
        """Applies the slots and ranks of a configuration version."""
        now_s = read_monotonic_s()
        self.apply(self.scheduler.configure(service.rule.slots, service.ranks, now_s))

    def limit_slots(self, limit: int) -> None:
        """Limits the slots while the upstream is cold or sheds load."""
        self.apply(self.scheduler.limit_slots(limit, read_monotonic_s()))

    def limit_rate(self, stated_per_s: float | None) -> None:
        """Paces the starts while the upstream states a limit on them; None ends it."""
        self._cancel_paced_start()
        self.apply(self.scheduler.limit_rate(stated_per_s, read_monotonic_s()))

    def start_allowed(self) -> None:
        """Starts the waiting calls that the limits allow, after a change of these limits."""
        self._cancel_paced_start()
        self._start_paced()

    def record_sent(self, ticket: Ticket) -> None:
        """Records that the call of a ticket is sent to the upstream now."""
        self.scheduler.record_sent(ticket, read_monotonic_s())
        self._schedule_paced_start()

    @asynccontextmanager
    async def slot(self, call: Call) -> AsyncIterator[None]:
        """Holds a slot for a call.

        Raises:
          NotRunError: The call was refused.
        """
        async with self.hold_slot(call.call_id, call.route.rank, call.deadline_at_s):
            yield

    @asynccontextmanager
    async def hold_slot(
        self,
        call_id: str,
        rank: str,
        deadline_at_s: float,
        target_at_s: float = math.inf,
        initial_target_s: float = math.inf,
        is_nested: bool = False,
    ) -> AsyncIterator[Ticket]:
        """Holds a slot for a call given by its properties; see ``Ticket`` for the arguments.

        Yields the ticket of the call.

        Raises:
          NotRunError: The call was refused.
        """
        now_s = read_monotonic_s()
        ticket = Ticket(
            call_id,
            next(self._numbers),
            rank,
            now_s,
            deadline_at_s,
            target_at_s,
            initial_target_s,
            is_nested,
        )
        await self._acquire(ticket, now_s)
        try:
            yield ticket
        finally:
            self.apply(self.scheduler.finish(ticket, read_monotonic_s()))

    def expire(self) -> None:
        """Refuses waiting calls whose waiting time has run out."""
        self.apply(self.scheduler.expire(read_monotonic_s()))

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuses all waiting calls."""
        self.apply(self.scheduler.refuse_waiting(reason, read_monotonic_s()))

    def refuse(self, call_id: str, reason: Reason) -> None:
        """Refuses a call if it is waiting."""
        now_s = read_monotonic_s()
        self.apply(self.scheduler.refuse_waiting(reason, now_s, frozenset((call_id,))))

    def apply(self, decisions: Iterable[Decision]) -> None:
        """Passes decisions to the waiting calls that they concern."""
        for decision in decisions:
            future = self._waiting.pop(decision.ticket.number, None)
            if future is not None and not future.done():
                _resolve(decision, future)
        self._schedule_paced_start()

    def _schedule_paced_start(self) -> None:
        """Sets a timer for the next waiting call, if no end of another one starts it."""
        if self._paced_start is not None:
            return
        delay_s = self.scheduler.paced_delay_s(read_monotonic_s())
        if delay_s is not None:
            self._paced_start = asyncio.get_running_loop().call_later(delay_s, self._start_paced)

    def _cancel_paced_start(self) -> None:
        if self._paced_start is not None:
            self._paced_start.cancel()
            self._paced_start = None

    def _start_paced(self) -> None:
        self._paced_start = None
        self.apply(self.scheduler.start_waiting(read_monotonic_s()))

    async def _acquire(self, ticket: Ticket, now_s: float) -> None:
        decision = self.scheduler.submit(ticket, now_s)
        future = asyncio.get_running_loop().create_future()
        _resolve(decision, future)
        if future.done():
            return future.result()
        self._waiting[ticket.number] = future
        self._schedule_paced_start()
        await self._await_decision(ticket, future, ticket.deadline_at_s - now_s)

    async def _await_decision(
        self, ticket: Ticket, future: asyncio.Future, remaining_s: float
    ) -> None:
        """Waits for the decision, at most until the deadline, even if no other call finishes."""
        try:
            async with asyncio.timeout(remaining_s):
                await future
        except TimeoutError:
            self._abandon(ticket, future)
            raise NotRunError(Reason.DEADLINE) from None
        except asyncio.CancelledError:
            self._abandon(ticket, future)
            raise

    def _abandon(self, ticket: Ticket, future: asyncio.Future) -> None:
        """Leaves the queue; frees the slot if one was granted at the same moment."""
        now_s = read_monotonic_s()
        if self._waiting.pop(ticket.number, None) is not None:
            self.scheduler.cancel(ticket, now_s)
        elif future.done() and not future.cancelled() and future.exception() is None:
            self.apply(self.scheduler.finish(ticket, now_s))


@singledispatch
def _resolve(decision: Decision, future: asyncio.Future) -> None:
    raise TypeError(f"unknown decision {type(decision).__name__}")


@_resolve.register
def _(decision: Admitted, future: asyncio.Future) -> None:
    future.set_result(None)


@_resolve.register
def _(decision: Refused, future: asyncio.Future) -> None:
    future.set_exception(NotRunError(decision.reason))


@_resolve.register
def _(decision: Queued, future: asyncio.Future) -> None:
    pass
