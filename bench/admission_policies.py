"""Admission policies that are not used in production, kept as baselines of the bench."""

from collections.abc import Sequence

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import (
    OldestFirst,
    RankQueue,
    Ticket,
    pop_next,
    refusal_reason,
    select_rank,
)


@attrs.frozen
class FirstComeFirstServed:
    """Serves the calls of all ranks in the order of their arrival."""


@attrs.frozen
class StrictPriority:
    """Serves the most urgent rank first, without shares."""


@attrs.define
class FairQueueing:
    """Serves ranks in proportion to their shares (start-time fair queueing, Goyal 1996).

    Attributes:
      virtual_time: Start tag of the call that was served last.
      finish_tags: Finish tag of the last call of each rank.
    """

    virtual_time: float = 0.0
    finish_tags: dict[str, float] = attrs.field(factory=dict)

    def start_tag(self, queue: RankQueue) -> float:
        """Returns the start tag of the next call; an idle rank joins at the virtual time."""
        return max(self.virtual_time, self.finish_tags.get(queue.rule.rank, 0.0))


@attrs.frozen
class EarliestDeadline:
    """Serves the call of a rank with the earliest deadline first (EDF)."""


@attrs.frozen
class NewestFirst:
    """Serves the newest call of a rank first (LIFO)."""


@select_rank.register
def _(policy: FirstComeFirstServed, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    return min(ready, key=lambda queue: next(iter(queue.waiting)))


@select_rank.register
def _(policy: StrictPriority, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    return ready[0]


@select_rank.register
def _(policy: FairQueueing, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    queue = min(ready, key=policy.start_tag)
    policy.virtual_time = policy.start_tag(queue)
    cost = queue.estimate.mean_s / max(1, queue.rule.share_percent)
    policy.finish_tags[queue.rule.rank] = policy.virtual_time + cost
    return queue


@pop_next.register
def _(discipline: EarliestDeadline, queue: RankQueue, now_s: float) -> Ticket:
    first = min(queue.waiting.values(), key=lambda ticket: ticket.deadline_at_s)
    return queue.waiting.pop(first.number)


@pop_next.register
def _(discipline: NewestFirst, queue: RankQueue, now_s: float) -> Ticket:
    return queue.waiting.popitem(last=True)[1]


@refusal_reason.register(EarliestDeadline)
@refusal_reason.register(NewestFirst)
def _(discipline: object, queue: RankQueue, ticket: Ticket, now_s: float) -> Reason | None:
    # All disciplines refuse by the same rule, so that a bench compares only their order.
    return refusal_reason(OldestFirst(), queue, ticket, now_s)
