"""Queue of one rank, the policies that select the next rank, and the queue disciplines.

A queue discipline selects the next call within a rank and refuses calls that would wait too long.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from functools import singledispatch

import attrs

from ibisrack.calls.estimates import MEAN_WEIGHT, ServiceEstimate
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.shares import ShareAccount
from ibisrack.calls.start_window import StartWindow
from ibisrack.rules.model import RankRule

START_INTERVAL_WEIGHT = 0.1  # Weight of the newest interval in the mean between two starts.
NESTED_SHARE_WEIGHT = 0.02  # Weight of the newest start in the share of nested calls.
DEMAND_TIME_CONSTANT_S = 5.0  # Of the exponentially weighted mean of the demand.


@attrs.frozen
class Ticket:
    """One arrival of a call at the scheduler.

    Attributes:
      call_id: Identifier of the call.
      number: Number of the arrival, unique within a scheduler; one call may arrive several times.
      rank: Name of the rank.
      arrived_at_s: Monotonic time of the arrival.
      deadline_at_s: Monotonic time of the caller's deadline.
      target_at_s: Monotonic time after which the answer has lost most of its value.
      initial_target_s: Time from the caller's first attempt to ``target_at_s``.
      is_nested: Whether a running request makes the call, so that a refusal wastes its run.
    """

    call_id: str
    number: int
    rank: str
    arrived_at_s: float
    deadline_at_s: float
    target_at_s: float = math.inf
    initial_target_s: float = math.inf
    is_nested: bool = False


@attrs.frozen
class OldestFirst:
    """Serves the calls of a rank in the order of their arrival."""


@attrs.define(eq=False)
class RankQueue:
    """Calls of one rank.

    Attributes:
      rule: The rank's rule.
      is_configured: Whether the version in force has the rank.
      waiting: Waiting calls by ticket number.
      running: Number of running calls.
      slots: Usable slots of the instance, for all ranks together.
      policy_limit: Maximum number of concurrent calls that the policy sets in addition to the
        rule's ``max_slots``, 0 for no limit.
      paced_interval_s: Shortest mean time between two starts, of all ranks together, that a limit
        on starts allows, 0 without one.
      start_window: Bound on the starts of all ranks together in any second.
      demand: Exponentially weighted mean number of running and waiting calls.
      account: Credit towards the guaranteed share.
      estimate: Estimated service times.
      nested_mean_s: Mean service time of the calls of running requests, 0 before the first one.
      nested_share: Recent share of the calls of running requests among those that started.
    """

    rule: RankRule
    is_configured: bool = True
    waiting: OrderedDict[int, Ticket] = attrs.field(factory=OrderedDict)
    running: int = 0
    slots: int = 1
    policy_limit: int = 0
    paced_interval_s: float = 0.0
    start_window: StartWindow = attrs.field(factory=StartWindow)
    demand: float = 0.0
    account: ShareAccount = attrs.field(factory=ShareAccount)
    estimate: ServiceEstimate = attrs.field(factory=ServiceEstimate)
    nested_mean_s: float = 0.0
    nested_share: float = 0.0
    _start_interval_s: float = 0.0
    _last_start_at_s: float = 0.0
    _demand_at_s: float = -math.inf

    @property
    def max_running(self) -> int:
        """Smaller of the rule's and the policy's limits on concurrent calls, 0 for no limit."""
        return min(filter(None, (self.rule.max_slots, self.policy_limit)), default=0)

    @property
    def is_below_limit(self) -> bool:
        """Whether the rank's own limits allow one more running call."""
        return not self.max_running or self.running < self.max_running

    def advance(self, now_s: float) -> None:
        """Updates credit and demand to the given time; called before each change of the queue."""
        waiting = bool(self.waiting) and self.is_below_limit
        self.account.advance(waiting, self.estimate.mean_s, now_s)
        weight = -math.expm1((self._demand_at_s - now_s) / DEMAND_TIME_CONSTANT_S)
        self.demand += (self.running + len(self.waiting) - self.demand) * weight
        self._demand_at_s = now_s

    def add(self, ticket: Ticket, now_s: float) -> None:
        """Adds a waiting call."""
        self.advance(now_s)
        if not self.waiting:
            self._last_start_at_s = now_s
        self.waiting[ticket.number] = ticket

    def pop_next(self, discipline: object, now_s: float) -> Ticket:
        """Removes and returns the waiting call that is served next."""
        self.advance(now_s)
        return pop_next(discipline, self, now_s)

    def remove(self, ticket: Ticket, now_s: float) -> bool:
        """Removes a waiting call; returns whether it was in the queue."""
        self.advance(now_s)
        return self.waiting.pop(ticket.number, None) is not None

    def record_queue_start(self, now_s: float) -> None:
        """Updates the mean interval between starts, from which waits are estimated."""
        self._start_interval_s += (
            now_s - self._last_start_at_s - self._start_interval_s
        ) * START_INTERVAL_WEIGHT
        self._last_start_at_s = now_s

    def start(self, ticket: Ticket, now_s: float) -> float:
        """Counts a call as running and returns the slot time that was charged for it."""
        self.advance(now_s)
        self.nested_share += (ticket.is_nested - self.nested_share) * NESTED_SHARE_WEIGHT
        self.running += 1
        charged_s = self.estimate.mean_s
        self.account.charge(charged_s, charged_s)
        return charged_s

    def finish(self, ticket: Ticket, service_s: float, charged_s: float, now_s: float) -> None:
        """Counts a call as finished and corrects the charge to its real service time."""
        if ticket.is_nested:
            weight = MEAN_WEIGHT if self.nested_mean_s else 1.0
            self.nested_mean_s += (service_s - self.nested_mean_s) * weight
        self.advance(now_s)
        self.running -= 1
        self.estimate.add(service_s)
        self.account.charge(service_s - charged_s, self.estimate.mean_s)

    def mean_s(self, ticket: Ticket) -> float:
        """Returns the mean service time that is expected of a call, 0 before the first call.

        With the mean of the rank, a short call of a running request would seem late beside long new
        requests as soon as it has to wait.
        """
        return (ticket.is_nested and self.nested_mean_s) or self.estimate.mean_s

    def expected_wait_s(self, now_s: float, ahead: int | None = None) -> float:
        """Returns the expected wait of a call that joins the queue now.

        The wait follows from the measured interval between starts.  The interval is bounded below
        by the rate that all slots of the rank and the pace of starts allow, and above by the rate
        of its guaranteed share of the slots.  It is at least the wait for the window of starts.

        Args:
          now_s: Current monotonic time.
          ahead: Number of waiting calls that are served before it; all of them by default.
        """
        mean_s = self.estimate.mean_s
        interval_s = max(
            self._start_interval_s, mean_s / min(self.slots, self.max_running or self.slots)
        )
        if self.account.rate > 0:
            interval_s = min(interval_s, mean_s / self.account.rate)
        interval_s = max(interval_s, self.paced_interval_s)
        ahead = len(self.waiting) if ahead is None else ahead
        return max((ahead + 1) * interval_s, self.start_window.expected_wait_s(ahead, now_s))

    def reserve_s(self, ticket: Ticket) -> float:
        """Returns the time that must remain before the deadline for a call to start.

        It is at most half of the time between arrival and deadline, so that work with widely
        varying service times is still accepted while few calls wait.
        """
        return min(self.estimate.tail_s, (ticket.deadline_at_s - ticket.arrived_at_s) / 2)


@singledispatch
def pop_next(discipline: object, queue: RankQueue, now_s: float) -> Ticket:
    """Removes and returns the waiting call of a rank that is served next."""
    raise TypeError(f"unknown discipline {type(discipline).__name__}")


@pop_next.register
def _(discipline: OldestFirst, queue: RankQueue, now_s: float) -> Ticket:
    return queue.waiting.popitem(last=False)[1]


@singledispatch
def refusal_reason(
    discipline: object, queue: RankQueue, ticket: Ticket, now_s: float
) -> Reason | None:
    """Returns the reason to refuse a call that has to wait, None when it may join the queue."""
    raise TypeError(f"unknown discipline {type(discipline).__name__}")


@refusal_reason.register
def _(discipline: OldestFirst, queue: RankQueue, ticket: Ticket, now_s: float) -> Reason | None:
    needed_s = queue.expected_wait_s(now_s) + queue.reserve_s(ticket)
    is_late = queue.waiting and needed_s > ticket.deadline_at_s - now_s
    return Reason.TOO_BUSY if is_late else None


@singledispatch
def wait_deadline_s(discipline: object, ticket: Ticket) -> float:
    """Returns the monotonic time at which a call that still waits is refused."""
    return ticket.deadline_at_s


@attrs.frozen
class PriorityWithShares:
    """Serves ranks below their guaranteed share first, otherwise by strict precedence."""


@singledispatch
def select_rank(policy: object, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    """Returns the rank whose call starts next.

    Args:
      policy: Policy that selects the implementation.
      ready: Ranks with waiting calls and below their own limits, most urgent first; not empty.
      now_s: Current monotonic time.
    """
    raise TypeError(f"unknown policy {type(policy).__name__}")


@singledispatch
def update_rank_limits(policy: object, queues: Sequence[RankQueue], now_s: float) -> None:
    """Sets the limits of ranks by their demand, for policies that do so; the default sets none.

    Args:
      policy: Policy that selects the implementation.
      queues: All ranks, most urgent first.
      now_s: Current monotonic time.
    """


def first_below_share(ready: Sequence[RankQueue], now_s: float) -> RankQueue | None:
    """Returns the most urgent rank that is below its guaranteed share, None if there is none."""
    for queue in ready:
        queue.advance(now_s)
        if queue.account.is_below_share(queue.estimate.mean_s):
            return queue
    return None


@select_rank.register
def _(policy: PriorityWithShares, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    return first_below_share(ready, now_s) or ready[0]
