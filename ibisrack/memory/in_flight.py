"""Bounds the bytes of request bodies that are at one instance at the same time.

An instance crashes if the requests that it holds exceed its memory.  Nobody states that memory; the
machine's is the only one that is known.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError
from ibisrack.memory.account import DEFAULT_MEMORY_MB, MEGABYTE

IN_FLIGHT_SHARE = 0.25  # Of the machine's memory.
# Smaller bodies are bounded by the slots of the instance and never wait behind large ones.
SMALL_BODY_BYTES = 64 * 1024


@attrs.define(eq=False)
class BodiesInFlight:
    """The large request bodies that an instance was sent and has not answered.

    Attributes:
      limit_bytes: Limit of all of them together.  A larger body is sent when there are no others.
      sent_bytes: Size of all of them together.
      refused: Number of requests that did not get their turn in time.
    """

    limit_bytes: int
    sent_bytes: int = 0
    refused: int = 0
    _waiting: deque[tuple[int, asyncio.Future]] = attrs.field(factory=deque)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for their turn."""
        return len(self._waiting)

    @asynccontextmanager
    async def hold(self, size_bytes: int, until_s: float) -> AsyncIterator[None]:
        """Holds room for a body, in the order of arrival.

        Args:
          size_bytes: Size of the body.
          until_s: Monotonic time until which the request may wait.

        Raises:
          NotRunError: There was no room in time.
        """
        if size_bytes <= SMALL_BODY_BYTES:
            yield
            return
        await self._take(size_bytes, until_s)
        try:
            yield
        finally:
            self._give_back(size_bytes)

    async def _take(self, size_bytes: int, until_s: float) -> None:
        if not self._waiting and self._has_room(size_bytes):
            self.sent_bytes += size_bytes
            return
        turn = asyncio.get_running_loop().create_future()
        entry = (size_bytes, turn)
        self._waiting.append(entry)
        try:
            async with asyncio.timeout(until_s - read_monotonic_s()):
                await turn
        except BaseException as error:
            if entry in self._waiting:
                self._waiting.remove(entry)
                self._start_waiting()
            elif not turn.cancelled():  # Its turn came in the same round of the event loop.
                self._give_back(size_bytes)
            if isinstance(error, TimeoutError):
                self.refused += 1
                raise NotRunError(Reason.MEMORY_FULL) from error
            raise

    def _has_room(self, size_bytes: int) -> bool:
        return not self.sent_bytes or self.sent_bytes + size_bytes <= self.limit_bytes

    def _give_back(self, size_bytes: int) -> None:
        self.sent_bytes -= size_bytes
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and self._has_room(self._waiting[0][0]):
            size_bytes, turn = self._waiting.popleft()
            if not turn.done():
                self.sent_bytes += size_bytes
                turn.set_result(None)


def create_bodies_in_flight(memory_mb: float = DEFAULT_MEMORY_MB) -> BodiesInFlight:
    """Returns the bound for an instance on a machine of the given size."""
    return BodiesInFlight(int(memory_mb * MEGABYTE * IN_FLIGHT_SHARE))
