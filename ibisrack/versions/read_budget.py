"""When a node may read the platform: a read budget and a jittered backoff.

The platform bears about 2,000 reads a second for the whole fleet, so a node that fails, or a fleet
that restarts together, must not read faster than a small share of that.
"""

from random import Random

import attrs

READ_BURST = 6.0  # A change takes a reader up to two reads.
READS_PER_S = 1.0
BACKOFF_FIRST_S = 0.5
BACKOFF_LIMIT_S = 30.0
FIRST_READ_LOW_S = 1.0
# 1,300 nodes that find no peer make fewer than 150 first reads a second.
LONE_FIRST_READ_HIGH_S = 10.0
JOINED_FIRST_READ_HIGH_S = 3.0  # With peers, only the elected ones read.
LEAST_WATCH_SHARE = 0.05


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
    _watch_share: float = 1.0

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
        self._watch_share = min(1.0, self._watch_share * 1.25)

    def watch_s(self, limit_s: float) -> float:
        """Returns how long a watch may wait at the service.

        A slow service answers a long watch too late; a shorter one still brings what has changed.
        """
        return limit_s * self._watch_share

    def failed(self, timed_out: bool = False) -> float:
        """Returns the time to wait after a failed read, in seconds.

        Args:
          timed_out: Whether the service was too slow, so that the next watch waits less.
        """
        if timed_out:
            self._watch_share = max(LEAST_WATCH_SHARE, self._watch_share / 2)
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self.rng.uniform(0.0, limit_s)

    def first_read_s(self, has_peers: bool) -> float:
        """Returns the time that a node without a version waits before its first read."""
        high_s = JOINED_FIRST_READ_HIGH_S if has_peers else LONE_FIRST_READ_HIGH_S
        return self.rng.uniform(FIRST_READ_LOW_S, high_s)

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None:
            gained = (now_s - self._refilled_at_s) * READS_PER_S
            self._tokens = min(READ_BURST, self._tokens + gained)
        self._refilled_at_s = now_s
