"""Admission policies that were weighed and not chosen; kept as baselines of the bench."""

import heapq
from collections import OrderedDict
from collections.abc import Sequence

import attrs

from ibisrack.calls.ranks import RankQueue, Ticket, pop_next, select_rank


@attrs.frozen
class FirstCome:
    """Serves calls of all ranks in the order of their arrival."""


@attrs.frozen
class StrictPriority:
    """Serves the most urgent rank first, without shares."""


@attrs.define
class FairQueueing:
    """Serves ranks in proportion to their shares (start-time fair queueing, Goyal 1996).

    Attributes:
      virtual: Start tag of the call that was served last.
      tags: Finish tag of the last call of each rank.
    """

    virtual: float = 0.0
    tags: dict[str, float] = attrs.field(factory=dict)

    def start_tag(self, queue: RankQueue) -> float:
        """Returns the start tag of the next call; a rank that was idle joins at the present."""
        return max(self.virtual, self.tags.get(queue.rule.rank, 0.0))


@attrs.frozen
class EarliestDeadline:
    """Serves the call of a rank whose deadline is nearest."""


@attrs.frozen
class NewestFirst:
    """Serves the newest call of a rank first (LIFO)."""


@select_rank.register
def _(policy: FirstCome, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    return min(ready, key=lambda queue: next(iter(queue.waiting)))


@select_rank.register
def _(policy: StrictPriority, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    return ready[0]


@select_rank.register
def _(policy: FairQueueing, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    queue = min(ready, key=policy.start_tag)
    policy.virtual = policy.start_tag(queue)
    cost = queue.estimate.mean_s / max(1, queue.rule.share_percent)
    policy.tags[queue.rule.rank] = policy.virtual + cost
    return queue


@pop_next.register
def _(order: EarliestDeadline, waiting: OrderedDict[int, Ticket]) -> Ticket:
    number = heapq.nsmallest(1, waiting, key=lambda number: waiting[number].deadline_at_s)[0]
    return waiting.pop(number)


@pop_next.register
def _(order: NewestFirst, waiting: OrderedDict[int, Ticket]) -> Ticket:
    return waiting.popitem(last=True)[1]
