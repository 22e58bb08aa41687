"""Pace of an instance that has just started or recovered, by how it answers.

The instance runs fewer requests at once than its slots until it answers as fast as its peers.  The
limit rises with each good answer, falls when the instance is much slower or refuses, and ends by
itself, because an instance may stay slower than its peers.
"""

import math

import attrs

# Part of the slots at the start, and the least part at any time.
START_SHARE = 0.5
MIN_SHARE = 0.25
# Service times up to the first multiple of the usual ones count as good, above the second as bad.
# Peers run other mixes of requests on other hardware, so that smaller differences say little.
GOOD_RATIO = 1.5
BAD_RATIO = 2.5
FALL_FACTOR = 0.9
REFUSED_FACTOR = 0.7
MAX_SLOW_START_S = 6.0  # From the first answer.
MAX_UNANSWERED_S = 30.0  # From the start or recovery; an instance that is down gets nothing first.
ANSWER_WEIGHT = 0.3  # Weight of the newest answer in the mean service time since the start.


@attrs.define
class SlowStart:
    """Limit on the requests that the instance runs at once after a start or recovery.

    Attributes:
      slots: Slots of the instance.
      limit: Requests that it may run at once, None while there is no limit.
      usual_s: Service time of the instance before, 0 if it is not known.
      ends_at_s: Monotonic time at which the limit ends by itself.
    """

    slots: int = 1
    limit: float | None = None
    usual_s: float = 0.0
    ends_at_s: float = -math.inf
    _mean_s: float = 0.0

    @property
    def running_limit(self) -> int | None:
        """Number of requests that the instance may run at once, None for no limit."""
        return None if self.limit is None else max(1, math.floor(self.limit))

    def begin(self, slots: int, usual_s: float, now_s: float) -> None:
        """Begins with a part of the slots; an instance with a single slot needs no limit."""
        limit = math.ceil(slots * START_SHARE)
        self.slots, self.limit = slots, float(limit) if limit < slots else None
        self.usual_s, self.ends_at_s, self._mean_s = usual_s, now_s + MAX_UNANSWERED_S, 0.0

    def record_answer(self, ran_s: float, peer_s: float, now_s: float) -> None:
        """Raises, lowers or ends the limit after an answer.

        Args:
          ran_s: Time that the instance took.
          peer_s: Usual service time of its peers, 0 if it is not known.
          now_s: Current time.
        """
        if self.limit is None:
            return
        if not self._mean_s:
            self.ends_at_s = now_s + MAX_SLOW_START_S
        self._mean_s += (ran_s - self._mean_s) * (ANSWER_WEIGHT if self._mean_s else 1.0)
        usual_s = max(self.usual_s, peer_s)
        if not usual_s or self._mean_s <= usual_s * GOOD_RATIO:
            self.limit += 1
        elif self._mean_s > usual_s * BAD_RATIO:
            self._lower(FALL_FACTOR)
        if self.limit >= self.slots or now_s >= self.ends_at_s:
            self.limit = None

    def record_refusal(self) -> None:
        """Lowers the limit after the instance refused a request."""
        if self.limit is not None:
            self._lower(REFUSED_FACTOR)

    def expire(self, now_s: float) -> None:
        """Ends the limit at its time."""
        if now_s >= self.ends_at_s:
            self.limit = None

    def _lower(self, factor: float) -> None:
        self.limit = max(1.0, self.slots * MIN_SHARE, self.limit * factor)
