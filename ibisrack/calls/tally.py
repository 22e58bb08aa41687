"""Counts what calls did, for metrics and screens.

A call costs a few dictionary look-ups and integer additions here; sums are formed when the figures
are read.  Only ingress events are counted as demand, so that a forwarded call counts once.
"""

from bisect import bisect_left
from functools import singledispatchmethod

import attrs

from ibisrack.admin.messages import RuleWork, Work
from ibisrack.calls.outcomes import Outcome
from ibisrack.timeline.events import CallFinished, Event

WINDOW_S = 60.0
SLICE_S = 5.0
_SLICES = int(WINDOW_S / SLICE_S)
DURATION_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000)

_OUTCOMES = tuple(outcome.value for outcome in Outcome)
RuleKey = tuple[int, int, str, str]  # Revision, line, service, rank.


@attrs.define
class Histogram:
    """Counts of durations in fixed buckets.

    Attributes:
      counts: Calls in each bucket; the last one is above every bound.
      sum_ms: Sum of the durations.
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(DURATION_BOUNDS_MS) + 1))
    sum_ms: float = 0.0


@attrs.define
class _Slice:
    """Counts by rule of a part of the window, in the order of Outcome."""

    number: int
    rules: dict[RuleKey, list[int]] = attrs.field(factory=dict)


@attrs.define
class CallTally:
    """Counts of the calls that ended at a node.

    Attributes:
      started_s: Monotonic time of the start of the counting.
      totals: Calls since the start by role, service, rank and outcome.
      durations: Durations by rank of calls that this node took from callers.
      events: Events other than calls since the start, by kind.
    """

    started_s: float | None = None
    totals: dict[tuple[str, str, str, str], int] = attrs.field(factory=dict)
    durations: dict[str, Histogram] = attrs.field(factory=dict)
    events: dict[str, int] = attrs.field(factory=dict)
    _slices: list[_Slice] = attrs.field(factory=list)

    @singledispatchmethod
    def count(self, event: Event, now_s: float) -> None:
        """Counts an event.

        Args:
          event: What was recorded in the time line.
          now_s: Monotonic time.
        """
        kind = type(event).__name__
        self.events[kind] = self.events.get(kind, 0) + 1
        if self.started_s is None:
            self.started_s = now_s

    @count.register
    def _(self, event: CallFinished, now_s: float) -> None:
        key = (event.role, event.service, event.rank, event.outcome)
        self.totals[key] = self.totals.get(key, 0) + 1
        if event.role != "ingress":
            return
        histogram = self.durations.get(event.rank)
        if histogram is None:
            histogram = self.durations[event.rank] = Histogram()
        histogram.counts[bisect_left(DURATION_BOUNDS_MS, event.duration_ms)] += 1
        histogram.sum_ms += event.duration_ms
        counts = self._slice(now_s).rules
        rule = (event.revision, event.rule_line, event.service, event.rank)
        if rule not in counts:
            counts[rule] = [0] * len(_OUTCOMES)
        counts[rule][_OUTCOMES.index(event.outcome)] += 1

    def work(self, node_id: str, now_s: float) -> Work:
        """Returns what each rule did in the last minute."""
        sums: dict[RuleKey, list[int]] = {}
        for part in self._slices:
            if part.number > int(now_s / SLICE_S) - _SLICES:
                for key, counts in part.rules.items():
                    known = sums.get(key, [0] * len(_OUTCOMES))
                    sums[key] = [a + b for a, b in zip(known, counts, strict=True)]
        age_s = now_s - self.started_s if self.started_s is not None else 0.0
        rows = tuple(_row(key, counts) for key, counts in sorted(sums.items()))
        return Work(node_id, round(min(WINDOW_S, age_s), 1), rows)

    def _slice(self, now_s: float) -> _Slice:
        number = int(now_s / SLICE_S)
        if self.started_s is None:
            self.started_s = now_s
        if not self._slices or self._slices[-1].number != number:
            self._slices = [*self._slices[-_SLICES + 1 :], _Slice(number)]
        return self._slices[-1]


def _row(key: RuleKey, counts: list[int]) -> RuleWork:
    revision, line, service, rank = key
    by_outcome = dict(zip(_OUTCOMES, counts, strict=True))
    return RuleWork(
        revision=revision,
        line=line,
        service=service,
        rank=rank,
        demand=sum(counts),
        served=by_outcome[Outcome.DONE],
        refused=by_outcome[Outcome.NOT_RUN],
        unknown=by_outcome[Outcome.UNKNOWN],
    )
