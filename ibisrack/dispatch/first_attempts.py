"""Estimates when a caller first sent a request: a retry after a refusal has less time left.

Callers of a route initially set the same deadline, so the longest time recently given is that of a
first attempt.  If a request has less time left, the difference has passed since its first attempt.
"""

import attrs

from ibisrack.dispatch.request import Request
from ibisrack.routing.model import Route

LONGEST_TIMEOUT_TTL_S = 20.0  # How long the longest time given on a route is remembered.
MAX_TRACKED_ROUTES = 4096  # The table is cleared when it reaches this size.


@attrs.define
class FirstAttemptEstimator:
    """Tracks the longest time that callers recently gave, by route."""

    _longest: dict[str, tuple[float, float]] = attrs.field(
        factory=dict
    )  # Time given and its expiry.

    def first_attempt_at_s(self, route: Route, request: Request) -> float:
        """Returns the estimated monotonic time of the first attempt of a request."""
        timeout_s = request.deadline_at_s - request.received_at_s
        longest_s, until_s = self._longest.get(route.name, (0.0, 0.0))
        if timeout_s >= longest_s or request.received_at_s >= until_s:
            if len(self._longest) >= MAX_TRACKED_ROUTES:
                self._longest.clear()
            longest_s = timeout_s
            self._longest[route.name] = (timeout_s, request.received_at_s + LONGEST_TIMEOUT_TTL_S)
        return request.received_at_s - (longest_s - timeout_s)
