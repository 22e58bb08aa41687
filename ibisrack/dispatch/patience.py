"""Tells when a caller began to wait: a caller that was refused comes back with less time left.

Callers of a route give the same time at first, so the longest that was seen lately is that of a
first request.  What a request has less than that has passed since.
"""

import attrs

from ibisrack.dispatch.request import Request
from ibisrack.routing.model import Route

MEMORY_S = 20.0  # How long the longest time of a route is remembered.
MAX_ROUTES = 4096  # A table this large is cleared.


@attrs.define
class Patience:
    """The longest times that callers gave lately, by route."""

    _longest: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def began_at_s(self, route: Route, request: Request) -> float:
        """Returns the monotonic time at which the caller of a request began to wait."""
        given_s = request.deadline_at_s - request.received_at_s
        longest_s, until_s = self._longest.get(route.name, (0.0, 0.0))
        if given_s >= longest_s or request.received_at_s >= until_s:
            if len(self._longest) >= MAX_ROUTES:
                self._longest.clear()
            longest_s = given_s
            self._longest[route.name] = (given_s, request.received_at_s + MEMORY_S)
        return request.received_at_s - (longest_s - given_s)
