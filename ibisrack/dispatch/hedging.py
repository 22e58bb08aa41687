"""Decides on hedged requests: a second attempt while the first one takes exceptionally long.

A second attempt is worth its load only on routes whose runs have a tail beyond the target, and only
early enough to end within it; figures in docs/design/uneven.md.
"""

from collections import deque
from collections.abc import Sequence
from enum import StrEnum

import attrs

from ibisrack.dispatch.choice import InstanceView
from ibisrack.routing.model import Route
from ibisrack.suspects.table import CLEAR, Verdict

MAX_RUNS = 512  # Runs of a route that are remembered.
MIN_RUNS = 200  # With fewer, the 98th percentile is that of less than four runs.
REFRESH_RUNS = 32  # The tail of a route is computed again after as many runs.
MAX_ROUTES = 64  # Routes with the runs of each; the table is cleared when it is full.

TAIL_QUANTILE = 0.98
MIN_TAIL_MEDIANS = 3.0  # A route has a tail if this quantile lies above as many medians.
# When a second attempt is sent: quantile of the run times, and the medians that must then be left
# to the target.  With less time left after the 90th percentile, nine of ten came too late.
DELAYS = ((0.95, 1.25), (0.9, 0.6))

# Larger bodies would cost the links of the hosts more than a second run is worth.
MAX_HEDGED_BYTES = 32_768
MAX_LOAD_AGE_S = 1.5  # Nodes report at least once in a second to those that use them.


@attrs.frozen
class Tail:
    """Quantiles of the recent run times of a route.

    Attributes:
      median_s: Median.
      tail_s: TAIL_QUANTILE.
      delays_s: The quantiles of DELAYS.
    """

    median_s: float
    tail_s: float
    delays_s: tuple[float, ...]


@attrs.define
class RecentRuns:
    """Recent run times of one route.

    Attributes:
      tail: Their quantiles when they were last computed, None with too few runs.
    """

    tail: Tail | None = None
    _runs_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_RUNS))
    _new_runs: int = 0

    def record(self, ran_s: float) -> None:
        """Adds a run; the oldest ones are dropped."""
        self._runs_s.append(ran_s)
        self._new_runs += 1
        if len(self._runs_s) >= MIN_RUNS and self._new_runs >= REFRESH_RUNS:
            self._new_runs = 0
            sorted_s = sorted(self._runs_s)
            self.tail = Tail(
                quantile(sorted_s, 0.5),
                quantile(sorted_s, TAIL_QUANTILE),
                tuple(quantile(sorted_s, share) for share, _ in DELAYS),
            )


class HedgeOutcome(StrEnum):
    """What became of a second attempt."""

    OPEN = "open"
    WON = "won"
    CANCELLED = "cancelled"
    FAILED = "failed"


@attrs.define
class HedgeTrace:
    """A second attempt, for the log.

    Attributes:
      instance_id: Its instance.
      load_age_s: Age of the load report by which the instance was chosen.
      after_s: Time from the arrival of the request until it was sent.
      outcome: What became of it.
    """

    instance_id: str
    load_age_s: float
    after_s: float
    outcome: HedgeOutcome = HedgeOutcome.OPEN


def quantile(sorted_s: Sequence[float], share: float) -> float:
    """Returns the time that a share of some sorted times do not exceed."""
    return sorted_s[int(share * len(sorted_s))]


@attrs.define
class Hedging:
    """State of the hedged requests of one node.

    Attributes:
      sent: Second attempts that were sent.
      won: Those whose answer was returned.
      cancelled: Those cancelled because the first attempt was answered.
    """

    sent: int = 0
    won: int = 0
    cancelled: int = 0
    _runs: dict[str, RecentRuns] = attrs.field(factory=dict)

    def record_run(self, route: Route, ran_s: float) -> None:
        """Records how long an instance took for a request; infinite if it was not waited for."""
        if not route.idempotent or route.max_attempts < 2:
            return
        runs = self._runs.get(route.name)
        if runs is None:
            if len(self._runs) >= MAX_ROUTES:
                self._runs.clear()
            runs = self._runs[route.name] = RecentRuns()
        runs.record(ran_s)

    def delay_s(self, route: Route, left_s: float, bytes_expected: float) -> float | None:
        """Returns how long to wait for the first attempt, None if no second one pays off.

        Args:
          route: Route of the request.
          left_s: Time left to the target.
          bytes_expected: Size of the request and of the expected answer.
        """
        runs = self._runs.get(route.name)
        if runs is None or runs.tail is None or bytes_expected > MAX_HEDGED_BYTES:
            return None
        tail = runs.tail
        if tail.tail_s <= max(route.target_s, MIN_TAIL_MEDIANS * tail.median_s):
            return None
        for delay_s, (_, medians) in zip(tail.delays_s, DELAYS, strict=True):
            if delay_s + medians * tail.median_s <= left_s:
                return delay_s
        return None


def has_room(view: InstanceView, slots: int, now_s: float) -> bool:
    """Returns whether an instance would start a second attempt at once, by a recent report."""
    load = view.load
    if load is None or now_s - view.reported_at_s > MAX_LOAD_AGE_S or now_s < view.avoid_until_s:
        return False
    if load.cold_left_ms or load.paced_per_s is not None or now_s < view.cold_until_s:
        return False
    if load.limit_per_s is not None and load.free_starts <= view.sent_since_report:
        return False
    return load.queued == 0 and load.busy + view.sent_since_report < (load.slots or slots)


def allows_hedge(verdict: Verdict, is_stopping: bool) -> bool:
    """Returns whether the request may run at two instances at the same time."""
    return verdict == CLEAR and not is_stopping
