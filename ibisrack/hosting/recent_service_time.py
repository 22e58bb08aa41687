"""Mean service time of the instance, which its node reports and by which senders choose.

Senders compare means that are about a second old.  A mean that follows single long runs or short
slow spells makes them avoid an instance that is fast again; figures in docs/design/uneven.md.
"""

import attrs

from ibisrack.calls.estimates import MEAN_WEIGHT

# A longer run counts as this multiple of the mean: one of seven times the usual time says little of
# the next ones.
MAX_COUNTED_MEANS = 2.0
# Runs in a row that were counted so, after which longer ones count in full: the instance has become
# slower, or the mean stems from short runs of another kind, such as errors.
MAX_CUT_IN_A_ROW = 8
# Runs after which the mean is known well enough to tell an exceptional run.
FIRST_RUNS = round(1 / MEAN_WEIGHT)


@attrs.define
class RecentServiceTime:
    """Moving average over about the last 20 runs, in which single long runs count less.

    Attributes:
      mean_s: The average, 0 before the first run.
    """

    mean_s: float = 0.0
    _count: int = 0
    _cut_in_a_row: int = 0

    def record(self, ran_s: float) -> None:
        """Records how long the instance took for a request."""
        self._count += 1
        if self._count <= FIRST_RUNS:
            self.mean_s += (ran_s - self.mean_s) / self._count
            return
        counted_s = min(ran_s, MAX_COUNTED_MEANS * self.mean_s)
        self._cut_in_a_row = self._cut_in_a_row + 1 if counted_s < ran_s else 0
        if self._cut_in_a_row > MAX_CUT_IN_A_ROW:
            counted_s = ran_s
        self.mean_s += (counted_s - self.mean_s) * MEAN_WEIGHT
