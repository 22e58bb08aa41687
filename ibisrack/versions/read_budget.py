"""Limits how often a node reads the platform, with a token bucket and a jittered backoff.

The platform can serve about 2,000 reads per second for the whole fleet.  Nodes whose reads fail, or
a fleet that restarts at once, must use only a small part of that.
"""

from random import Random

import attrs

READ_BURST = 6.0  # A reader needs up to two reads for a change.
READS_PER_S = 1.0
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
MIN_FIRST_READ_DELAY_S = 1.0
# Keeps the first reads of 1,300 nodes without peers below 150 per second on average.
MAX_FIRST_READ_DELAY_ALONE_S = 10.0
MAX_FIRST_READ_DELAY_WITH_PEERS_S = 3.0  # With peers, only the elected readers read.
MIN_WATCH_FRACTION = 0.05


@attrs.define
class ReadBudget:
    """A token bucket with full-jitter exponential backoff.

    Attributes:
      rng: Random source of the jitter.
    """

    rng: Random
    _tokens: float = READ_BURST
    _refilled_at_s: float | None = None
    _failures: int = 0
    _watch_fraction: float = 1.0

    def wait_s(self, now_s: float) -> float:
        """Returns the time until the next read is allowed; 0 when it may start now."""
        self._refill(now_s)
        return max(0.0, (1.0 - self._tokens) / READS_PER_S)

    def spend(self, now_s: float) -> None:
        """Consumes the token of a read that starts now."""
        self._refill(now_s)
        self._tokens -= 1.0

    def record_success(self) -> None:
        """Resets the backoff and lengthens the next watch after earlier timeouts."""
        self._failures = 0
        self._watch_fraction = min(1.0, self._watch_fraction * 1.25)

    def watch_wait_s(self, max_wait_s: float) -> float:
        """Returns how long the platform may hold a watch request open.

        A slow platform answers a long watch after the timeout; a shorter one still returns changes.
        """
        return max_wait_s * self._watch_fraction

    def record_failure(self, timed_out: bool = False) -> float:
        """Records a failed read and returns the backoff before the next one, in seconds.

        Args:
          timed_out: Whether the read timed out; if so, the next watch is shorter.
        """
        if timed_out:
            self._watch_fraction = max(MIN_WATCH_FRACTION, self._watch_fraction / 2)
        max_backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self.rng.uniform(0.0, max_backoff_s)

    def first_read_delay_s(self, has_peers: bool) -> float:
        """Returns the random delay before the first read of a node that holds no version."""
        max_delay_s = (
            MAX_FIRST_READ_DELAY_WITH_PEERS_S if has_peers else MAX_FIRST_READ_DELAY_ALONE_S
        )
        return self.rng.uniform(MIN_FIRST_READ_DELAY_S, max_delay_s)

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None:
            refill = (now_s - self._refilled_at_s) * READS_PER_S
            self._tokens = min(READ_BURST, self._tokens + refill)
        self._refilled_at_s = now_s
