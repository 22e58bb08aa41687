"""Decisions of a planned stop: which requests are still accepted, and when the process ends."""

import attrs


@attrs.frozen
class PlannedStop:
    """A planned stop of the process.

    Attributes:
      accepts_until_s: Monotonic time until which every request is accepted, so that callers have
        time to move to other nodes.
      ends_at_s: Monotonic time at which the process ends.
    """

    accepts_until_s: float
    ends_at_s: float

    def would_cut_off(self, now_s: float, due_at_s: float) -> bool:
        """Returns whether the stop might cut off a request that arrives now."""
        return now_s > self.accepts_until_s and due_at_s > self.ends_at_s
