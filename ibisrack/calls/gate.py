"""Lets calls wait for their slot: the asynchronous shell around the scheduler."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from functools import singledispatchmethod

import attrs

from ibisrack.calls.admission import Admitted, Decision, Queued, Refused, Scheduler, Ticket
from ibisrack.calls.messages import Call, LoadReport
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError


@attrs.define
class Gate:
    """Admits calls to the local upstream.

    Attributes:
      scheduler: Decides which call runs.
    """

    scheduler: Scheduler
    _waiting: dict[Ticket, asyncio.Future] = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def load(self) -> LoadReport:
        """Returns the present load."""
        return LoadReport(self.scheduler.busy, self.scheduler.queued, self.scheduler.slots)

    @asynccontextmanager
    async def slot(self, call: Call) -> AsyncIterator[None]:
        """Holds a slot for a call.

        Raises:
          NotRunError: The call was refused.
        """
        rank = call.route.rank
        ticket = Ticket(call.call_id, next(self._numbers), rank, call.deadline_at_s)
        await self._enter(ticket)
        try:
            yield
        finally:
            self.apply(self.scheduler.finish(ticket, read_clocks().monotonic_s))

    def expire(self) -> None:
        """Refuses waiting calls whose deadline has passed."""
        self.apply(self.scheduler.expire(read_clocks().monotonic_s))

    def apply(self, decisions: Iterable[Decision]) -> None:
        """Carries out decisions about waiting calls."""
        for decision in decisions:
            future = self._waiting.pop(decision.ticket, None)
            if future is not None and not future.done():
                self._settle(decision, future)

    async def _enter(self, ticket: Ticket) -> None:
        decision = self.scheduler.submit(ticket, read_clocks().monotonic_s)
        future = asyncio.get_running_loop().create_future()
        self._settle(decision, future)
        if not future.done():
            self._waiting[ticket] = future
        try:
            await future
        except asyncio.CancelledError:
            self._leave(ticket, future)
            raise

    def _leave(self, ticket: Ticket, future: asyncio.Future) -> None:
        """Gives up a place; a slot that was granted in the same moment is freed."""
        if self._waiting.pop(ticket, None) is not None:
            self.scheduler.cancel(ticket)
        elif future.done() and not future.cancelled() and future.exception() is None:
            self.apply(self.scheduler.finish(ticket, read_clocks().monotonic_s))

    @singledispatchmethod
    def _settle(self, decision: Decision, future: asyncio.Future) -> None:
        raise TypeError(f"unknown decision {type(decision).__name__}")

    @_settle.register
    def _(self, decision: Admitted, future: asyncio.Future) -> None:
        future.set_result(None)

    @_settle.register
    def _(self, decision: Refused, future: asyncio.Future) -> None:
        future.set_exception(NotRunError(decision.reason))

    @_settle.register
    def _(self, decision: Queued, future: asyncio.Future) -> None:
        pass
