"""Order of waiting calls by the time at which their answers lose most of their value.

A call that will be answered in time goes before one that may be, and that before one that can't,
whatever their ranks, unless a rank is short of its guaranteed share.  A queue that served its calls
in the order of arrival would answer all of them late in an overload; this one answers as many in
time as there are slots.  A call that would start too late does not wait here at all: late calls
that wait take the slots of calls in time, and their callers may find another instance.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from enum import IntEnum

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import (
    RankQueue,
    Ticket,
    pop_next,
    refusal_reason,
    select_rank,
    update_rank_limits,
    wait_deadline_s,
)

# Part of the mean service time that must be left before the target for a call to count as in time.
IN_TIME_MEANS = 1.4
# Part of its whole time after which a call that still waits is refused; holding it longer would
# leave its caller no time to come back.
PATIENCE = 0.4
# How much of a target counts in the order of calls in time.  With the whole of it, calls with long
# targets would never start in an overload; with none, short ones would wait behind them.
TARGET_WEIGHT = 0.3
# With less than this part of the mean left, hardly any call is still answered in time.
CHANCE_MEANS = 0.4
# Margin of the slots that are kept for a demand, in standard deviations of a Poisson number.
MARGIN_DEVIATIONS = 2.0
# An instance whose mean service time times this is above a target does not meet it; its calls are
# judged by their deadlines instead.
UNMET_MEANS = 0.7


@attrs.frozen
class EarliestTarget:
    """Serves calls in time first, by their arrival and a part of their target."""


@attrs.frozen
class InTimeFirst:
    """Serves the rank whose calls have the best prospect, by precedence among equals.

    The least urgent rank leaves slots to the others: as many as their calls held lately and a
    margin for their variation.  Its calls may be long, and would otherwise hold every slot when a
    short urgent one arrives, often a call on which a running request waits.

    Attributes:
      most_kept: Largest part of the slots that it leaves to the others.
    """

    most_kept: float = 0.0


class Prospect(IntEnum):
    """Whether a call that starts now will be answered within its target; the best is the least."""

    IN_TIME = 0
    POSSIBLE = 1
    LATE = 2


def prospect(ticket: Ticket, mean_s: float, now_s: float) -> Prospect:
    """Returns the prospect of a call that starts now."""
    is_met = mean_s * UNMET_MEANS <= ticket.initial_target_s
    left_s = (ticket.target_at_s if is_met else ticket.deadline_at_s) - now_s
    if left_s >= mean_s * IN_TIME_MEANS:
        return Prospect.IN_TIME
    return Prospect.POSSIBLE if left_s >= mean_s * CHANCE_MEANS else Prospect.LATE


def in_time(ticket: Ticket, mean_s: float, now_s: float) -> bool:
    """Tells whether a call that starts now is expected to meet its target."""
    return prospect(ticket, mean_s, now_s) is Prospect.IN_TIME


@pop_next.register
def _(order: EarliestTarget, queue: RankQueue, now_s: float) -> Ticket:
    waiting: OrderedDict[int, Ticket] = queue.waiting
    chosen = min(waiting.values(), key=lambda ticket: _place(ticket, queue, now_s))
    return waiting.pop(chosen.number)


@refusal_reason.register
def _(order: EarliestTarget, queue: RankQueue, ticket: Ticket, now_s: float) -> Reason | None:
    mean_s = queue.estimate.mean_s
    ahead = sum(
        in_time(other, mean_s, now_s) and _urgency(other) <= _urgency(ticket)
        for other in queue.waiting.values()
    )
    is_timely = in_time(ticket, mean_s, now_s + queue.expected_wait_s(ahead))
    return None if is_timely else Reason.TOO_BUSY


@wait_deadline_s.register
def _(order: EarliestTarget, ticket: Ticket) -> float:
    patient_s = ticket.arrived_at_s + (ticket.deadline_at_s - ticket.arrived_at_s) * PATIENCE
    return max(patient_s, min(ticket.target_at_s, ticket.deadline_at_s))


@select_rank.register
def _(policy: InTimeFirst, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    for queue in ready:
        queue.advance(now_s)
        if queue.account.is_below_share(queue.estimate.mean_s):
            return queue
    return min(ready, key=lambda queue: _best(queue, now_s))


@update_rank_limits.register
def _(policy: InTimeFirst, queues: Sequence[RankQueue], now_s: float) -> None:
    if not policy.most_kept or len(queues) < 2:
        return
    for queue in queues:
        queue.advance(now_s)
        queue.limit = 0
    *others, least_urgent = queues
    demand = sum(queue.demand for queue in others)
    wanted = math.ceil(demand + MARGIN_DEVIATIONS * math.sqrt(demand))
    kept = min(wanted, round(least_urgent.slots * policy.most_kept))
    least_urgent.limit = max(1, least_urgent.slots - kept)


def _best(queue: RankQueue, now_s: float) -> Prospect:
    mean_s = queue.estimate.mean_s
    return min(prospect(ticket, mean_s, now_s) for ticket in queue.waiting.values())


def _place(ticket: Ticket, queue: RankQueue, now_s: float) -> tuple[Prospect, float]:
    """Returns the place of a call in its queue, the lowest first."""
    found = prospect(ticket, queue.estimate.mean_s, now_s)
    if found is Prospect.POSSIBLE:  # The one with the most time left is the likeliest.
        return found, -ticket.target_at_s
    return found, _urgency(ticket) if found is Prospect.IN_TIME else ticket.arrived_at_s


def _urgency(ticket: Ticket) -> float:
    return ticket.arrived_at_s + (ticket.target_at_s - ticket.arrived_at_s) * TARGET_WEIGHT
