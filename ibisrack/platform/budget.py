"""When a node may read the platform: a read budget and a jittered backoff.

The platform bears about 2,000 reads a second for the whole fleet, so a node that fails, or a fleet
that restarts together, must not read faster than a small share of that.
"""

from random import Random

import attrs

READ_BURST = 4.0
READS_PER_S = 0.5
BACKOFF_FIRST_S = 0.5
BACKOFF_LIMIT_S = 30.0
LONE_START_LOW_S = 1.0
LONE_START_HIGH_S = 6.0


@attrs.define
class ReadBudget:
    """A token bucket with full-jitter exponential backoff.

    Attributes:
      rng: Source of the jitter.
    """

    rng: Random
    _tokens: float = READ_BURST
    _refilled_at_s: float | None = None
    _failures: int = 0

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a read is within the budget; 0 when it may start now."""
        self._refill(now_s)
        return max(0.0, (1.0 - self._tokens) / READS_PER_S)

    def spend(self, now_s: float) -> None:
        """Takes the token of a read that starts now."""
        self._refill(now_s)
        self._tokens -= 1.0

    def succeeded(self) -> None:
        """Ends the backoff."""
        self._failures = 0

    def failed(self) -> float:
        """Returns the time to wait after a failed read, in seconds."""
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self.rng.uniform(0.0, limit_s)

    def lone_start_s(self) -> float:
        """Returns the time that a node without any peer waits before its first read."""
        return self.rng.uniform(LONE_START_LOW_S, LONE_START_HIGH_S)

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None:
            gained = (now_s - self._refilled_at_s) * READS_PER_S
            self._tokens = min(READ_BURST, self._tokens + gained)
        self._refilled_at_s = now_s
