"""Counts of calls over a sliding minute, by rank and by rule."""

from collections import deque

import attrs

from ibisrack.calls.outcomes import Outcome
from ibisrack.room.messages import RankCounts, RuleCounts
from ibisrack.room.sums import add_ranks, add_rules

WINDOW_S = 60.0
SLOT_S = 5.0  # The window moves in steps of this length.


@attrs.define
class _Slot:
    """Counts of one step of the window: offered, then one count for each outcome."""

    number: int
    ranks: dict[tuple[str, str], list[int]] = attrs.field(factory=dict)
    rules: dict[int, list[int]] = attrs.field(factory=dict)


_COLUMN = {Outcome.DONE: 1, Outcome.NOT_RUN: 2, Outcome.UNKNOWN: 3}


def _count(rows: dict, key: tuple[str, str] | int, column: int) -> None:
    row = rows.setdefault(key, [0, 0, 0, 0])
    row[0] += 1
    row[column] += 1


@attrs.define
class CallCounters:
    """Counts the calls that ended at this node as the ingress.

    A forwarded call also ends at the node that owns the instance; counting it there as well would
    double the demand.
    """

    _slots: deque[_Slot] = attrs.field(factory=deque)

    def observe(
        self, service: str, rank: str, rule_line: int, outcome: Outcome, now_s: float
    ) -> None:
        """Counts a call that has ended.

        Args:
          service: Service of the route.
          rank: Rank of the call.
          rule_line: Line of the route in the rules file.
          outcome: What is known of the execution.
          now_s: Monotonic time.
        """
        slot = self._current(now_s)
        column = _COLUMN[outcome]
        _count(slot.ranks, (service, rank), column)
        _count(slot.rules, rule_line, column)

    def ranks(self, now_s: float) -> tuple[RankCounts, ...]:
        """Returns the counts of the last minute by rank."""
        self._drop_old(now_s)
        rows = (RankCounts(*key, *row) for slot in self._slots for key, row in slot.ranks.items())
        return add_ranks(rows)

    def rules(self, now_s: float) -> tuple[RuleCounts, ...]:
        """Returns the counts of the last minute by rule."""
        self._drop_old(now_s)
        rows = (RuleCounts(line, *row) for slot in self._slots for line, row in slot.rules.items())
        return add_rules(rows)

    def _current(self, now_s: float) -> _Slot:
        number = int(now_s / SLOT_S)
        if not self._slots or self._slots[-1].number < number:
            self._drop_old(now_s)
            self._slots.append(_Slot(number))
        return self._slots[-1]

    def _drop_old(self, now_s: float) -> None:
        first = int((now_s - WINDOW_S) / SLOT_S)
        while self._slots and self._slots[0].number <= first:
            self._slots.popleft()
