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


@attrs.frozen(eq=False)
class _WaitingBody:
    """A body that waits for its turn.

    Attributes:
      request_id: Id of its request.
      size_bytes: Size of the body.
      turn: Done when the body may be sent, or with the reason why it is not.
    """

    request_id: str
    size_bytes: int
    turn: asyncio.Future


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
    _waiting: deque[_WaitingBody] = attrs.field(factory=deque)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for their turn."""
        return len(self._waiting)

    @asynccontextmanager
    async def hold(self, request_id: str, size_bytes: int, until_s: float) -> AsyncIterator[None]:
        """Holds room for a body, in the order of arrival.

        Args:
          request_id: Id of the request.
          size_bytes: Size of the body.
          until_s: Monotonic time until which the request may wait.

        Raises:
          NotRunError: There was no room in time, or the request was refused meanwhile.
        """
        if size_bytes <= SMALL_BODY_BYTES:
            yield
            return
        await self._take(request_id, size_bytes, until_s)
        try:
            yield
        finally:
            self._give_back(size_bytes)

    def refuse(self, request_id: str, reason: Reason) -> None:
        """Refuses a request if its body waits."""
        self._refuse([body for body in self._waiting if body.request_id == request_id], reason)

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuses all requests whose bodies wait."""
        self._refuse(list(self._waiting), reason)

    def _refuse(self, bodies: list[_WaitingBody], reason: Reason) -> None:
        for body in bodies:
            self._waiting.remove(body)
            if not body.turn.done():
                body.turn.set_exception(NotRunError(reason))
        self._start_waiting()

    async def _take(self, request_id: str, size_bytes: int, until_s: float) -> None:
        if not self._waiting and self._has_room(size_bytes):
            self.sent_bytes += size_bytes
            return
        turn = asyncio.get_running_loop().create_future()
        body = _WaitingBody(request_id, size_bytes, turn)
        self._waiting.append(body)
        try:
            async with asyncio.timeout(until_s - read_monotonic_s()):
                await turn
        except BaseException as error:
            if body in self._waiting:
                self._waiting.remove(body)
                self._start_waiting()
            elif not turn.cancelled() and turn.exception() is None:
                self._give_back(size_bytes)  # Its turn came in the same round of the event loop.
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
        while self._waiting and self._has_room(self._waiting[0].size_bytes):
            body = self._waiting.popleft()
            if not body.turn.done():
                self.sent_bytes += body.size_bytes
                body.turn.set_result(None)


def create_bodies_in_flight(memory_mb: float = DEFAULT_MEMORY_MB) -> BodiesInFlight:
    """Returns the bound for an instance on a machine of the given size."""
    return BodiesInFlight(int(memory_mb * MEGABYTE * IN_FLIGHT_SHARE))
