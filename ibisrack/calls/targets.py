"""Scheduling of waiting calls by their latency targets.

Calls that will meet their target are served before calls that may meet it, and these before calls
that cannot, whatever their ranks, unless a rank is short of its guaranteed share.  First-come,
first-served order would answer every call late in an overload; this order answers as many in time
as there are slots.  A call that would start too late is refused instead of queued: a waiting late
call takes the slot of a call in time, and its caller may find another instance.
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
    first_below_share,
    pop_next,
    refusal_reason,
    select_rank,
    update_rank_limits,
    wait_deadline_s,
)

# A call counts as in time with at least this multiple of the mean service time left to its target.
IN_TIME_MEAN_FACTOR = 1.4
# Fraction of the time from arrival to deadline that a call may wait, unless its target is later; a
# longer wait would leave its caller no time to retry.
MAX_WAIT_FRACTION = 0.4
# Fraction of the target that counts in the order of calls in time.  With 1, calls with long targets
# would never start in an overload; with 0, calls with short targets would wait behind them.
TARGET_WEIGHT = 0.3
# With less than this multiple of the mean service time left, hardly any call is answered in time.
POSSIBLE_MEAN_FACTOR = 0.4
# Margin of the slots reserved for a demand, in standard deviations of a Poisson distribution.
RESERVE_DEVIATIONS = 2.0
# Largest share of the starts that is expected to go to nested calls that arrive later.
MAX_NESTED_SHARE = 0.9
# A target below this multiple of the mean service time cannot be met; the deadline of the call is
# used in its place.
UNREACHABLE_MEAN_FACTOR = 0.7


@attrs.frozen
class EarliestTarget:
    """Order within a rank: calls in time first, by arrival plus a fraction of their target."""


@attrs.frozen
class InTimeFirst:
    """Serves the rank with the most timely waiting call, the most urgent rank among equals.

    Slots are reserved from the least urgent rank for the others: their recent mean demand plus a
    margin for its variation.  Calls of the least urgent rank may be long and would otherwise hold
    every slot when a short urgent call arrives, often one on which a running request waits.

    Attributes:
      max_reserved_share: Largest fraction of the slots that is reserved for the other ranks.
    """

    max_reserved_share: float = 0.0


class Timeliness(IntEnum):
    """Whether a call that starts now will be answered within its target, best first."""

    IN_TIME = 0
    POSSIBLE = 1
    LATE = 2


def expected_timeliness(ticket: Ticket, mean_s: float, now_s: float) -> Timeliness:
    """Returns the expected timeliness of a call that starts now.

    Args:
      ticket: The call.
      mean_s: Mean service time that is expected of it.
      now_s: Current monotonic time.
    """
    is_reachable = mean_s * UNREACHABLE_MEAN_FACTOR <= ticket.initial_target_s
    left_s = (ticket.target_at_s if is_reachable else ticket.deadline_at_s) - now_s
    if left_s >= mean_s * IN_TIME_MEAN_FACTOR:
        return Timeliness.IN_TIME
    return Timeliness.POSSIBLE if left_s >= mean_s * POSSIBLE_MEAN_FACTOR else Timeliness.LATE


def in_time(ticket: Ticket, mean_s: float, now_s: float) -> bool:
    """Returns whether a call that starts now is expected to meet its target."""
    return expected_timeliness(ticket, mean_s, now_s) is Timeliness.IN_TIME


@pop_next.register
def _(discipline: EarliestTarget, queue: RankQueue, now_s: float) -> Ticket:
    waiting: OrderedDict[int, Ticket] = queue.waiting
    first = min(waiting.values(), key=lambda ticket: _sort_key(ticket, queue, now_s))
    return waiting.pop(first.number)


@refusal_reason.register
def _(discipline: EarliestTarget, queue: RankQueue, ticket: Ticket, now_s: float) -> Reason | None:
    ahead = sum(
        in_time(other, queue.mean_s(other), now_s)
        and _order_in_time(other) <= _order_in_time(ticket)
        for other in queue.waiting.values()
    )
    wait_s = queue.expected_wait_s(now_s, ahead)
    if not ticket.is_nested:
        # Nested calls that arrive later go first.
        wait_s /= 1 - min(MAX_NESTED_SHARE, queue.nested_share)
    return None if in_time(ticket, queue.mean_s(ticket), now_s + wait_s) else Reason.TOO_BUSY


@wait_deadline_s.register
def _(discipline: EarliestTarget, ticket: Ticket) -> float:
    max_wait_until_s = (
        ticket.arrived_at_s + (ticket.deadline_at_s - ticket.arrived_at_s) * MAX_WAIT_FRACTION
    )
    return max(max_wait_until_s, min(ticket.target_at_s, ticket.deadline_at_s))


@select_rank.register
def _(policy: InTimeFirst, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    below_share = first_below_share(ready, now_s)
    return below_share or min(ready, key=lambda queue: _best_timeliness(queue, now_s))


@update_rank_limits.register
def _(policy: InTimeFirst, queues: Sequence[RankQueue], now_s: float) -> None:
    if not policy.max_reserved_share or len(queues) < 2:
        return
    for queue in queues:
        queue.advance(now_s)
        queue.policy_limit = 0
    *others, least_urgent = queues
    demand = sum(queue.demand for queue in others)
    wanted_slots = math.ceil(demand + RESERVE_DEVIATIONS * math.sqrt(demand))
    reserved = min(wanted_slots, round(least_urgent.slots * policy.max_reserved_share))
    least_urgent.policy_limit = max(1, least_urgent.slots - reserved)


def _best_timeliness(queue: RankQueue, now_s: float) -> Timeliness:
    return min(
        expected_timeliness(ticket, queue.mean_s(ticket), now_s)
        for ticket in queue.waiting.values()
    )


def _sort_key(ticket: Ticket, queue: RankQueue, now_s: float) -> tuple[Timeliness, bool, float]:
    """Returns the sort key of a call in its queue, the lowest first."""
    timeliness = expected_timeliness(ticket, queue.mean_s(ticket), now_s)
    if timeliness is Timeliness.IN_TIME:
        return timeliness, *_order_in_time(ticket)
    if timeliness is Timeliness.POSSIBLE:
        # The call with the most time left is the most likely to be in time.
        return timeliness, not ticket.is_nested, -ticket.target_at_s
    return timeliness, not ticket.is_nested, ticket.arrived_at_s


def _order_in_time(ticket: Ticket) -> tuple[bool, float]:
    """Returns the sort key of a call among those that will be in time.

    Calls of running requests go first.  A new request with a long target waits long in an overload,
    so that it would be before each call with a short target, and those would be refused.
    """
    return not ticket.is_nested, _weighted_target_s(ticket)


def _weighted_target_s(ticket: Ticket) -> float:
    return ticket.arrived_at_s + (ticket.target_at_s - ticket.arrived_at_s) * TARGET_WEIGHT
