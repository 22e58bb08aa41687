"""Lets one suspect at a time run on an instance, so that a crash tells which one is to blame."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import singledispatch

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_clocks
from ibisrack.errors import NotRunError
from ibisrack.suspects.table import Clear, Convicted, Suspected


@attrs.define(eq=False)
class Quarantine:
    """The turns of the suspects on one instance, in the order of their arrival."""

    _occupied: bool = False
    _waiting: list[tuple[str, asyncio.Future]] = attrs.field(factory=list)

    @asynccontextmanager
    async def hold_turn(self, request_id: str, deadline_at_s: float) -> AsyncIterator[None]:
        """Holds the turn for a suspect.

        Raises:
          NotRunError: The request was refused, or its deadline came first.
        """
        if self._occupied:
            await self._wait(request_id, deadline_at_s)
        self._occupied = True
        try:
            yield
        finally:
            self._pass_on()

    def refuse(self, request_id: str, reason: Reason) -> None:
        """Refuses a request if it waits for its turn."""
        for waiting_id, future in self._waiting:
            if waiting_id == request_id and not future.done():
                future.set_exception(NotRunError(reason))

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuses all requests that wait for their turn."""
        for _, future in self._waiting:
            if not future.done():
                future.set_exception(NotRunError(reason))

    async def _wait(self, request_id: str, deadline_at_s: float) -> None:
        entry = (request_id, asyncio.get_running_loop().create_future())
        self._waiting.append(entry)
        try:
            async with asyncio.timeout(deadline_at_s - read_clocks().monotonic_s):
                await entry[1]
        except TimeoutError:
            self._leave(entry)
            raise NotRunError(Reason.DEADLINE) from None
        except BaseException:
            self._leave(entry)
            raise

    def _leave(self, entry: tuple[str, asyncio.Future]) -> None:
        """Leaves the queue; passes the turn on if it was granted at the same moment."""
        future = entry[1]
        if entry in self._waiting:
            self._waiting.remove(entry)
        elif future.done() and not future.cancelled() and future.exception() is None:
            self._pass_on()

    def _pass_on(self) -> None:
        """Grants the turn to the request that has waited longest; it stays occupied for that."""
        while self._waiting:
            _, future = self._waiting.pop(0)
            if not future.done():
                future.set_result(None)
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
def _(verdict: Convicted) -> bool:
    raise NotRunError(Reason.CRASHES_INSTANCES)
