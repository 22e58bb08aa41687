"""Waiting and running calls of one rank, and the choice of the rank that is served next."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from functools import singledispatch

import attrs

from ibisrack.calls.estimates import ServiceEstimate
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.shares import ShareAccount
from ibisrack.rules.model import RankRule

GAP_WEIGHT = 0.1  # Weight of the newest interval between two starts.
DEMAND_MEMORY_S = 5.0  # Time constant of the mean demand.


@attrs.frozen
class Ticket:
    """A call's place at the scheduler.

    Attributes:
      call_id: Identity of the call.
      number: Tells apart several arrivals of one call; unique at a scheduler.
      rank: Name of the rank.
      arrived_at_s: Monotonic time of the arrival.
      deadline_at_s: Monotonic time at which the caller gives up.
      target_at_s: Monotonic time at which the answer loses most of its value.
      whole_target_s: Time from the caller's first attempt to ``target_at_s``.
    """

    call_id: str
    number: int
    rank: str
    arrived_at_s: float
    deadline_at_s: float
    target_at_s: float = math.inf
    whole_target_s: float = math.inf


@attrs.frozen
class OldestFirst:
    """Serves the calls of a rank in the order of their arrival."""


@attrs.define(eq=False)
class RankQueue:
    """Calls of one rank.

    Attributes:
      rule: The rank's rule.
      is_configured: Whether the version in force has the rank.
      waiting: Calls that wait, by ticket number.
      running: Number of calls that run.
      slots: Slots that the instance has for all ranks.
      limit: Calls that may run at the same time beside the rule's own limit, 0 for no limit.
      demand: Mean number of its calls that ran or waited lately.
      account: Credit of the guaranteed share.
      estimate: Service times.
    """

    rule: RankRule
    is_configured: bool = True
    waiting: OrderedDict[int, Ticket] = attrs.field(factory=OrderedDict)
    running: int = 0
    slots: int = 1
    limit: int = 0
    demand: float = 0.0
    account: ShareAccount = attrs.field(factory=ShareAccount)
    estimate: ServiceEstimate = attrs.field(factory=ServiceEstimate)
    _gap_s: float = 0.0
    _last_start_s: float = 0.0
    _demand_at_s: float = -math.inf

    @property
    def most_running(self) -> int:
        """Calls that may run at the same time by the rank's own limits, 0 for no limit."""
        return min(filter(None, (self.rule.max_slots, self.limit)), default=0)

    @property
    def has_room(self) -> bool:
        """Whether the rank's own limits let one more call run."""
        return not self.most_running or self.running < self.most_running

    def advance(self, now_s: float) -> None:
        """Brings the account up to date; precedes every change of the calls."""
        waiting = bool(self.waiting) and self.has_room
        self.account.advance(waiting, self.estimate.mean_s, now_s)
        weight = -math.expm1((self._demand_at_s - now_s) / DEMAND_MEMORY_S)
        self.demand += (self.running + len(self.waiting) - self.demand) * weight
        self._demand_at_s = now_s

    def add(self, ticket: Ticket, now_s: float) -> None:
        """Lets a call wait."""
        self.advance(now_s)
        if not self.waiting:
            self._last_start_s = now_s
        self.waiting[ticket.number] = ticket

    def take(self, order: object, now_s: float) -> Ticket:
        """Removes the call that is served next."""
        self.advance(now_s)
        return take(order, self, now_s)

    def remove(self, ticket: Ticket, now_s: float) -> bool:
        """Removes a waiting call; returns whether it waited."""
        self.advance(now_s)
        return self.waiting.pop(ticket.number, None) is not None

    def started_from_queue(self, now_s: float) -> None:
        """Notes the interval since the last start, from which waits are expected."""
        self._gap_s += (now_s - self._last_start_s - self._gap_s) * GAP_WEIGHT
        self._last_start_s = now_s

    def start(self, now_s: float) -> float:
        """Counts a call as running and returns the estimated cost that was charged."""
        self.advance(now_s)
        self.running += 1
        charged_s = self.estimate.mean_s
        self.account.charge(charged_s, charged_s)
        return charged_s

    def finish(self, service_s: float, charged_s: float, now_s: float) -> None:
        """Counts a call as finished and corrects what was charged for it."""
        self.advance(now_s)
        self.running -= 1
        self.estimate.add(service_s)
        self.account.charge(service_s - charged_s, self.estimate.mean_s)

    def expected_wait_s(self, ahead: int | None = None) -> float:
        """Returns how long a call that joins the queue now is expected to wait.

        Args:
          ahead: Waiting calls that are served before it; all of them by default.

        The interval between starts is measured.  It cannot be shorter than all slots together
        allow, nor longer than the guaranteed share does.
        """
        mean_s = self.estimate.mean_s
        gap_s = max(self._gap_s, mean_s / min(self.slots, self.most_running or self.slots))
        if self.account.rate > 0:
            gap_s = min(gap_s, mean_s / self.account.rate)
        return ((len(self.waiting) if ahead is None else ahead) + 1) * gap_s

    def margin_s(self, ticket: Ticket) -> float:
        """Returns the time that a call should have left when it starts.

        At most half of the call's whole time is kept back, so that work whose service times
        vary widely is still accepted while little waits.
        """
        return min(self.estimate.tail_s, (ticket.deadline_at_s - ticket.arrived_at_s) / 2)


@singledispatch
def take(order: object, queue: RankQueue, now_s: float) -> Ticket:
    """Removes and returns the call of a rank that is served next."""
    raise TypeError(f"unknown order {type(order).__name__}")


@take.register
def _(order: OldestFirst, queue: RankQueue, now_s: float) -> Ticket:
    return queue.waiting.popitem(last=False)[1]


@singledispatch
def refusal(order: object, queue: RankQueue, ticket: Ticket, now_s: float) -> Reason | None:
    """Returns why a call that would have to wait is refused, None when it may wait."""
    raise TypeError(f"unknown order {type(order).__name__}")


@refusal.register
def _(order: OldestFirst, queue: RankQueue, ticket: Ticket, now_s: float) -> Reason | None:
    needed_s = queue.expected_wait_s() + queue.margin_s(ticket)
    is_late = queue.waiting and needed_s > ticket.deadline_at_s - now_s
    return Reason.TOO_BUSY if is_late else None


@singledispatch
def expiry_s(order: object, ticket: Ticket) -> float:
    """Returns the monotonic time until which a call may wait."""
    return ticket.deadline_at_s


@attrs.frozen
class SharedPriority:
    """Strict order of ranks above a guaranteed share of slot time for each."""


@singledispatch
def pick(policy: object, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    """Returns the rank that is served next.

    Args:
      policy: The rule of choice.
      ready: Ranks with waiting calls and room, by precedence; at least one.
      now_s: Present time.
    """
    raise TypeError(f"unknown policy {type(policy).__name__}")


@singledispatch
def limit_ranks(policy: object, queues: Sequence[RankQueue], now_s: float) -> None:
    """Sets the limits of ranks that a policy adapts to the demand; most policies set none.

    Args:
      policy: The rule of choice.
      queues: All ranks by precedence.
      now_s: Present time.
    """


@pick.register
def _(policy: SharedPriority, ready: Sequence[RankQueue], now_s: float) -> RankQueue:
    for queue in ready:
        queue.advance(now_s)
        if queue.account.is_owed(queue.estimate.mean_s):
            return queue
    return ready[0]
