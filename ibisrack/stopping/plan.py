"""Decisions of a planned stop: which requests are still accepted, and when the process ends."""

from collections import Counter

import attrs


@attrs.define(eq=False)
class PlannedStop:
    """A planned stop of the process.

    Attributes:
      accepts_until_s: Monotonic time until which every request of a caller is accepted, so that
        callers have time to move to other nodes.  Until then the instance, which goes on running,
        is given the requests that end in time.
      ends_at_s: Monotonic time at which the process ends.
      refusals: Number of requests refused to callers since the stop began, by reason.
      refused_submissions: Number of submissions refused because of the stop.
    """

    accepts_until_s: float
    ends_at_s: float
    refusals: Counter[str] = attrs.field(factory=Counter)
    refused_submissions: int = 0

    def accepts_submission(self, now_s: float, due_at_s: float) -> bool:
        """Returns whether the instance beside this node may be given a request.

        Args:
          now_s: Current time.
          due_at_s: Monotonic time at which the answer is due.
        """
        return now_s <= self.accepts_until_s and due_at_s <= self.ends_at_s

    def would_cut_off(self, now_s: float, due_at_s: float) -> bool:
        """Returns whether the stop might cut off a request that arrives now."""
        return now_s > self.accepts_until_s and due_at_s > self.ends_at_s
