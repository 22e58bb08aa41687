"""Pace of the starts at an upstream that states how many requests a second it takes."""

import math

import attrs

# The users accept half more than an upstream states, in any 4 s.  Refusing callers within that
# would serve nobody; the rest is a margin for bursts and for requests that are late on their way.
TOLERANCE = 1.4
# Starts that may be made up for after a pause, in seconds of the rate; at least one.
BURST_S = 0.1
# Only an answer shows that a limit has ended, so some requests are sent whatever the limit.
MIN_RATE_PER_S = 0.5
# Higher limits hold nothing back, and the starts that they allow overflow load reports of 64 bits.
MAX_RATE_PER_S = 1e6
_ROUNDING = 1e-9


@attrs.define
class Pace:
    """Token bucket with one token for each start.

    Attributes:
      stated_per_s: Requests a second that the upstream takes, None for no limit.
      rate_per_s: Starts a second that are allowed, None for no limit.
    """

    stated_per_s: float | None = None
    rate_per_s: float | None = None
    _tokens: float = 0.0
    _counted_at_s: float = 0.0

    def set_limit(self, stated_per_s: float | None, now_s: float) -> None:
        """Changes the limit.  A first one begins with no token: earlier starts are under way."""
        tokens = 0.0 if self.rate_per_s is None else self.available(now_s)
        self.stated_per_s = stated_per_s
        self.rate_per_s = (
            None if stated_per_s is None else max(MIN_RATE_PER_S, stated_per_s * TOLERANCE)
        )
        self._tokens, self._counted_at_s = tokens, now_s

    def available(self, now_s: float) -> float:
        """Returns the number of starts that are possible now, infinite without a limit."""
        if self.rate_per_s is None:
            return math.inf
        largest = max(1.0, self.rate_per_s * BURST_S)
        return min(largest, self._tokens + (now_s - self._counted_at_s) * self.rate_per_s)

    def allows_start(self, now_s: float) -> bool:
        """Returns whether a request may start now."""
        return self.available(now_s) >= 1 - _ROUNDING

    def record_start(self, now_s: float) -> None:
        """Takes the token of a start."""
        if self.rate_per_s is not None:
            self._tokens, self._counted_at_s = self.available(now_s) - 1, now_s

    def delay_s(self, now_s: float) -> float:
        """Returns the time until a start is possible."""
        if self.allows_start(now_s):
            return 0.0
        return (1 - self.available(now_s)) / self.rate_per_s
