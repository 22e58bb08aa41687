"""Counts of calls in a sliding window of one minute, by rank and by rule."""

from collections import deque

import attrs

from ibisrack.calls.outcomes import Outcome
from ibisrack.room.messages import RankCounts, RuleCounts
from ibisrack.room.sums import add_ranks, add_rules

WINDOW_S = 60.0
BUCKET_S = 5.0  # The window moves in steps of this length.


@attrs.define
class _Bucket:
    """Counts of one step of the window; each row is offered, served, not run and unknown."""

    index: int
    ranks: dict[tuple[str, str], list[int]] = attrs.field(factory=dict)
    rules: dict[int, list[int]] = attrs.field(factory=dict)


_OUTCOME_COLUMN = {Outcome.DONE: 1, Outcome.NOT_RUN: 2, Outcome.UNKNOWN: 3}


def _increment(rows: dict, key: tuple[str, str] | int, column: int) -> None:
    row = rows.setdefault(key, [0, 0, 0, 0])
    row[0] += 1
    row[column] += 1


@attrs.define
class CallCounters:
    """Counts the calls that finished at this node as their ingress.

    A forwarded call also finishes at its owner; counting it there as well would double the demand.
    """

    _buckets: deque[_Bucket] = attrs.field(factory=deque)

    def observe(
        self, service: str, rank: str, rule_line: int, outcome: Outcome, now_s: float
    ) -> None:
        """Counts a finished call.

        Args:
          service: Service of the route.
          rank: Rank of the call.
          rule_line: Line of the route in the rules file.
          outcome: Whether the call ran.
          now_s: Monotonic time.
        """
        bucket = self._current_bucket(now_s)
        column = _OUTCOME_COLUMN[outcome]
        _increment(bucket.ranks, (service, rank), column)
        _increment(bucket.rules, rule_line, column)

    def ranks(self, now_s: float) -> tuple[RankCounts, ...]:
        """Returns the counts of the last minute by rank."""
        self._drop_expired(now_s)
        rows = (
            RankCounts(*key, *row) for bucket in self._buckets for key, row in bucket.ranks.items()
        )
        return add_ranks(rows)

    def rules(self, now_s: float) -> tuple[RuleCounts, ...]:
        """Returns the counts of the last minute by rule."""
        self._drop_expired(now_s)
        rows = (
            RuleCounts(line, *row) for bucket in self._buckets for line, row in bucket.rules.items()
        )
        return add_rules(rows)

    def _current_bucket(self, now_s: float) -> _Bucket:
        index = int(now_s / BUCKET_S)
        if not self._buckets or self._buckets[-1].index < index:
            self._drop_expired(now_s)
            self._buckets.append(_Bucket(index))
        return self._buckets[-1]

    def _drop_expired(self, now_s: float) -> None:
        last_expired = int((now_s - WINDOW_S) / BUCKET_S)
        while self._buckets and self._buckets[0].index <= last_expired:
            self._buckets.popleft()
