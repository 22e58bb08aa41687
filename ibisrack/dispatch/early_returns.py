"""Recognises callers that come back sooner than they were told.

Such a caller would meet the same full instances again, and each of its attempts costs the time of
a refusal; in a moment with little capacity it would be served before callers that wait as told.
"""

import attrs

from ibisrack.dispatch.first_attempts import is_return
from ibisrack.dispatch.request import Request

MAX_REFUSALS = 4096  # The table is cleared when it reaches this size.
# Callers wait at most this part of their time left, whatever they are told.
MAX_WAIT_SHARE = 1 / 3
# Part of the wait after which a caller is not early: timers differ, and deadlines are whole
# milliseconds.
WAITED_SHARE = 0.9
# Two attempts of a request have about the same estimated time of the first attempt; it differs by
# the times that they took to arrive.
FIRST_ATTEMPT_TOLERANCE_S = 0.02


@attrs.frozen
class _Refusal:
    """A refusal for want of room.

    Attributes:
      at_s: Monotonic time of the refusal.
      return_at_s: Monotonic time from which the caller may come back.
      first_attempt_at_s: Estimated monotonic time of the request's first attempt.
    """

    at_s: float
    return_at_s: float
    first_attempt_at_s: float


@attrs.define
class EarlyReturns:
    """Refusals of the last moments, by method, host and target of the request."""

    # By the hash of the three; a collision has to pass the checks of the times as well.
    _refusals: dict[int, _Refusal] = attrs.field(factory=dict)

    def record(
        self, request: Request, first_attempt_at_s: float, wait_s: float, now_s: float
    ) -> None:
        """Records a refusal for want of room.

        Args:
          request: The request.
          first_attempt_at_s: Estimated time of its first attempt.
          wait_s: Time after which the caller may come back.
          now_s: Current time.
        """
        if len(self._refusals) >= MAX_REFUSALS:
            self._refusals.clear()
        longest_s = max(0.0, request.deadline_at_s - now_s) * MAX_WAIT_SHARE
        return_at_s = now_s + min(wait_s, longest_s) * WAITED_SHARE
        self._refusals[_key(request)] = _Refusal(now_s, return_at_s, first_attempt_at_s)

    def rest_s(self, request: Request, first_attempt_at_s: float) -> float:
        """Returns how long a caller that came back too early has still to wait, otherwise 0."""
        # A first attempt has the longest timeout of its route.
        if not self._refusals or not is_return(first_attempt_at_s, request):
            return 0.0
        refusal = self._refusals.get(_key(request))
        if refusal is None or request.received_at_s <= refusal.at_s:
            return 0.0
        apart_s = abs(first_attempt_at_s - refusal.first_attempt_at_s)
        if apart_s > FIRST_ATTEMPT_TOLERANCE_S:
            return 0.0
        return max(0.0, refusal.return_at_s - request.received_at_s)


def _key(request: Request) -> int:
    return hash((request.method, request.host, request.target))
