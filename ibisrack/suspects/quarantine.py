"""Lets one suspect at a time run on an instance, so that a crash tells which one is to blame."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import singledispatch, singledispatchmethod

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError
from ibisrack.suspects.table import Blocked, Clear, Suspected, Verdict

# Suspects that wait for their turn on an instance.  Further ones would wait past their deadline.
MAX_WAITING = 16


@attrs.frozen(eq=False)
class Waiter:
    """A suspect that waits for its turn.

    Attributes:
      request_id: Id of the request.
      fingerprint: Fingerprint of the request.
      granted: Whether it got the turn; False if it needs none any more.
    """

    request_id: str
    fingerprint: bytes
    granted: asyncio.Future[bool]

    def refuse(self, reason: Reason) -> None:
        """Refuses the request if it still waits."""
        if not self.granted.done():
            self.granted.set_exception(NotRunError(reason))


@attrs.define(eq=False)
class Quarantine:
    """The turns of the suspects on one instance, in the order of their arrival."""

    _occupied: bool = False
    _waiting: list[Waiter] = attrs.field(factory=list)

    @asynccontextmanager
    async def hold_turn(
        self, request_id: str, fingerprint: bytes, deadline_at_s: float
    ) -> AsyncIterator[bool]:
        """Holds the turn for a suspect; yields False if it was cleared while it waited.

        Raises:
          NotRunError: The request was refused, or its deadline came first.
        """
        if self._occupied and not await self._wait(request_id, fingerprint, deadline_at_s):
            yield False
            return
        self._occupied = True
        try:
            yield True
        finally:
            self._pass_on()

    @singledispatchmethod
    def apply_verdict(self, verdict: Verdict, fingerprint: bytes) -> None:
        """Applies a new verdict to the waiting requests with a fingerprint."""
        raise TypeError(f"unknown verdict {type(verdict).__name__}")

    @apply_verdict.register
    def _(self, verdict: Clear, fingerprint: bytes) -> None:
        for waiter in [w for w in self._waiting if w.fingerprint == fingerprint]:
            if not waiter.granted.done():
                self._waiting.remove(waiter)
                waiter.granted.set_result(False)

    @apply_verdict.register
    def _(self, verdict: Suspected, fingerprint: bytes) -> None:
        pass

    @apply_verdict.register
    def _(self, verdict: Blocked, fingerprint: bytes) -> None:
        for waiter in self._waiting:
            if waiter.fingerprint == fingerprint:
                waiter.refuse(Reason.CRASHES_INSTANCES)

    def refuse(self, request_id: str, reason: Reason) -> None:
        """Refuses a request if it waits for its turn."""
        for waiter in self._waiting:
            if waiter.request_id == request_id:
                waiter.refuse(reason)

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuses all requests that wait for their turn."""
        for waiter in self._waiting:
            waiter.refuse(reason)

    async def _wait(self, request_id: str, fingerprint: bytes, deadline_at_s: float) -> bool:
        """Waits for the turn; returns whether it was granted."""
        if len(self._waiting) >= MAX_WAITING:
            raise NotRunError(Reason.QUARANTINE_FULL)
        waiter = Waiter(request_id, fingerprint, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(deadline_at_s - read_monotonic_s()):
                return await waiter.granted
        except TimeoutError:
            self._leave(waiter)
            raise NotRunError(Reason.DEADLINE) from None
        except BaseException:
            self._leave(waiter)
            raise

    def _leave(self, waiter: Waiter) -> None:
        """Leaves the queue; passes the turn on if it was granted at the same moment."""
        granted = waiter.granted
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif not granted.cancelled() and granted.exception() is None and granted.result():
            self._pass_on()

    def _pass_on(self) -> None:
        """Grants the turn to the request that has waited longest; it stays occupied for that."""
        while self._waiting:
            waiter = self._waiting.pop(0)
            if not waiter.granted.done():
                waiter.granted.set_result(True)
                return
        self._occupied = False


@singledispatch
def needs_turn(verdict: object) -> bool:
    """Returns whether a request with this verdict runs in its turn only.

    Raises:
      NotRunError: It must not run at all.
    """
    raise TypeError(f"unknown verdict {type(verdict).__name__}")


@needs_turn.register
def _(verdict: Clear) -> bool:
    return False


@needs_turn.register
def _(verdict: Suspected) -> bool:
    return True


@needs_turn.register
def _(verdict: Blocked) -> bool:
    raise NotRunError(Reason.CRASHES_INSTANCES)
