"""Admission policies that were weighed and not chosen; kept as baselines of the bench."""

import heapq
from collections import OrderedDict
from collections.abc import Sequence

import attrs

from ibisrack.calls.ranks import RankQueue, Ticket, pick, take


@attrs.frozen
class FirstCome:
    """Serves calls of all ranks in the order of their arrival."""


@attrs.frozen
class StrictPriority:
    """Serves the most urgent rank first, without shares."""


@attrs.define
class Stride:
    """Serves ranks in proportion to their shares (stride scheduling, Waldspurger 1995).

    Attributes:
      passes: Virtual time of each rank.
    """

    passes: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class EarliestDeadline:
    """Serves the call of a rank whose deadline is nearest."""


@attrs.frozen
class NewestFirst:
    """Serves the newest call of a rank first (LIFO)."""


@pick.register
def _(policy: FirstCome, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    return min(ready, key=lambda queue: next(iter(queue.waiting)))


@pick.register
def _(policy: StrictPriority, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    return ready[0]


@pick.register
def _(policy: Stride, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    passes = policy.passes
    queue = min(ready, key=lambda queue: passes.get(queue.rule.rank, 0.0))
    # A rank that was idle joins at the present virtual time and brings no credit along.
    start = passes.get(queue.rule.rank, 0.0)
    for other in ready:
        passes[other.rule.rank] = max(passes.get(other.rule.rank, 0.0), start)
    passes[queue.rule.rank] += queue.estimate.mean_s / max(1, queue.rule.share_percent)
    return queue


@take.register
def _(order: EarliestDeadline, waiting: OrderedDict[int, Ticket]) -> Ticket:
    number = heapq.nsmallest(1, waiting, key=lambda number: waiting[number].deadline_at_s)[0]
    return waiting.pop(number)


@take.register
def _(order: NewestFirst, waiting: OrderedDict[int, Ticket]) -> Ticket:
    return waiting.popitem(last=True)[1]
