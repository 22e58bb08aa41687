"""Decisions of a planned stop: which requests are still accepted, and when the process ends."""

from collections import Counter

import attrs

# The end may cut off a request that starts less than the longest service time of its route before
# it.  Without one, twice the mean service time of the instance takes its place; the mean is of all
# kinds of requests, hence the limits.
START_LEAD_FACTOR = 2.0
MIN_START_LEAD_S = 0.5
MAX_START_LEAD_S = 1.5
# This long before the planned end, a result that can't arrive any more is given up, so that the
# answer to the caller is written before its connection is closed.
FINAL_LEAD_S = 0.2


@attrs.define(eq=False)
class PlannedStop:
    """A planned stop of the process.

    Attributes:
      accepts_until_s: Monotonic time until which every request of a caller is accepted, so that
        callers have time to move to other nodes.  Until then the instance, which goes on running,
        is given the requests that end in time.
      ends_at_s: Monotonic time at which the process ends.
      requested_again: Whether the stop was requested again.  The platform then expects the process
        to serve until the grace time after the later request is over, but kills it when that after
        the first one is; no request that the end might cut off is accepted any more.
      refusals: Number of requests refused to callers since the stop began, by reason.
      refused_submissions: Number of submissions refused because of the stop.
    """

    accepts_until_s: float
    ends_at_s: float
    requested_again: bool = False
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
        accepts_all = now_s <= self.accepts_until_s and not self.requested_again
        return not accepts_all and due_at_s > self.ends_at_s

    def is_too_late_to_start(
        self, now_s: float, due_at_s: float, service_s: float, longest_s: float = 0.0
    ) -> bool:
        """Returns whether the stop might cut off a request that starts now or later.

        Args:
          now_s: Current time.
          due_at_s: Monotonic time at which the answer is due.
          service_s: Mean service time of the instance, 0 if it is not known.
          longest_s: Longest recent service time of the route, 0 if it is not known.
        """
        if longest_s:
            # What was accepted may start until no more is accepted, however long its route runs.
            lead_s = min(self.ends_at_s - self.accepts_until_s, longest_s)
        else:
            lead_s = min(MAX_START_LEAD_S, START_LEAD_FACTOR * service_s)
        lead_s = max(MIN_START_LEAD_S, lead_s)
        return due_at_s > self.ends_at_s and now_s >= self.ends_at_s - lead_s

    def is_final(self, now_s: float) -> bool:
        """Returns whether it is too late for a result over a link that is not open."""
        return now_s >= self.ends_at_s - FINAL_LEAD_S
