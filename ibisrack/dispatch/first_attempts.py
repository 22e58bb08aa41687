"""Estimates when a caller first sent a request: a retry after a refusal has less time left.

The timeout of a request is the time from its arrival to the deadline that its caller set.  Callers
of a route initially set the same timeout, so the longest recent one is that of a first attempt.
If a request has a shorter one, the difference has passed since its first attempt.
"""

import attrs

from ibisrack.dispatch.request import Request
from ibisrack.routing.model import Route

LONGEST_TIMEOUT_TTL_S = 20.0  # How long the longest timeout of a route is remembered.
# A first attempt whose timeout differs from the longest one by the rounding of times is no return.
MIN_RETURN_S = 0.001
MAX_TRACKED_ROUTES = 4096  # The table is cleared when it reaches this size.


@attrs.define
class FirstAttemptEstimator:
    """Tracks the longest timeout that callers recently set, by route."""

    # Longest timeout and the monotonic time of its expiry, by route name.
    _longest: dict[str, tuple[float, float]] = attrs.field(factory=dict)

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


def is_return(first_attempt_at_s: float, request: Request) -> bool:
    """Returns whether a request with an estimated first attempt has probably been sent before."""
    return request.received_at_s - first_attempt_at_s >= MIN_RETURN_S
