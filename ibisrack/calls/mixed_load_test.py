"""Tests of the slots that calls of running requests get beside new requests at an overload.

The load is that of one instance of a deployment with 84 machines, whose 5 slots take the calls that
running requests make (37.8 ms, target 230 ms, deadline 569 ms) and new requests, stepped through
the scheduler of the node beside it.  Requests are refused there only: none comes back.
"""

import heapq
import itertools
from collections import Counter, defaultdict
from random import Random

import attrs

from ibisrack.calls.admission import Admitted, Decision, Refused, Scheduler
from ibisrack.calls.ranks import Ticket
from ibisrack.calls.targets import EarliestTarget, InTimeFirst
from ibisrack.hosting.rank_rules import LOWER_RANK_SHARE_PERCENT, rank_rules
from ibisrack.routing.model import rank_name
from ibisrack.testing.functions import function_tests

SLOTS, MAX_RESERVED_SHARE = 5, 0.65
RUN_TIME_S = 60.0


@attrs.frozen
class Kind:
    """Requests of one route at one instance.

    Attributes:
      priority: Priority of the route.
      rate_per_s: Requests a second on a quiet day.
      work_s: Mean service time, exponentially distributed.
      target_s: Target of the route.
      deadline_s: Time to the deadline.
      is_nested: Whether running requests make them.
    """

    priority: int
    rate_per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    is_nested: bool = False


CALLS_AT_COLLECT = Kind(0, 28.0, 0.0378, 0.23, 0.569, True)  # ledger-read
PAYMENTS = Kind(1, 7.3, 0.2, 0.741, 1.67)  # instalment-pay
CALLS_AT_DOCS = Kind(0, 45.7, 0.0378, 0.23, 0.569, True)  # customer-read
DOWNLOADS = Kind(2, 12.25, 0.122, 1.242, 1.792)  # statement-pdf


@attrs.define(eq=False)
class Instance:
    """An instance and its scheduler; counts what becomes of the requests of each kind.

    Attributes:
      scheduler: The scheduler.
      rng: Source of service times.
      finished: Counts of each kind by result.
      slot_s: Slot time of each kind.
    """

    scheduler: Scheduler
    rng: Random
    finished: dict[Kind, Counter] = attrs.field(factory=lambda: defaultdict(Counter))
    slot_s: Counter = attrs.field(factory=Counter)
    _kinds: dict[int, Kind] = attrs.field(factory=dict)
    _ends: list = attrs.field(factory=list)

    def run(self, kinds: tuple[Kind, ...], factor: float) -> None:
        """Steps through arrivals of all kinds at a multiple of their rates."""
        numbers = itertools.count()
        for kind, at_s in _arrivals(kinds, factor, self.rng):
            while self._ends and self._ends[0][0] <= at_s:
                self._end_next()
            number = next(numbers)
            self._kinds[number] = kind
            ticket = Ticket(
                str(number),
                number,
                rank_name(kind.priority),
                at_s,
                at_s + kind.deadline_s,
                at_s + kind.target_s,
                kind.target_s,
                kind.is_nested,
            )
            self._apply([*self.scheduler.expire(at_s), self.scheduler.submit(ticket, at_s)], at_s)

    def served(self, kind: Kind, result: str = "in time") -> float:
        """Returns the share of a kind's requests that had a result."""
        return self.finished[kind][result] / self.finished[kind].total()

    def _end_next(self) -> None:
        at_s, _, ticket = heapq.heappop(self._ends)
        is_in_time = at_s <= ticket.target_at_s
        self.finished[self._kinds[ticket.number]]["in time" if is_in_time else "late"] += 1
        self._apply(self.scheduler.finish(ticket, at_s), at_s)

    def _apply(self, decisions: list[Decision], now_s: float) -> None:
        for decision in decisions:
            kind = self._kinds[decision.ticket.number]
            if isinstance(decision, Admitted):
                work_s = self.rng.expovariate(1 / kind.work_s)
                self.slot_s[kind] += work_s
                end = (now_s + work_s, decision.ticket.number, decision.ticket)
                heapq.heappush(self._ends, end)
            elif isinstance(decision, Refused):
                self.finished[kind][str(decision.reason)] += 1


def _arrivals(kinds: tuple[Kind, ...], factor: float, rng: Random) -> list[tuple[Kind, float]]:
    arrivals = []
    for kind in kinds:
        at_s = 0.0
        while (at_s := at_s + rng.expovariate(kind.rate_per_s * factor)) < RUN_TIME_S:
            arrivals.append((kind, at_s))
    return sorted(arrivals, key=lambda arrival: arrival[1])


def instance_after(kinds: tuple[Kind, ...], factor: float, seed: int = 1) -> Instance:
    """Returns an instance after its run."""
    scheduler = Scheduler(SLOTS, InTimeFirst(MAX_RESERVED_SHARE), EarliestTarget())
    priorities = sorted({kind.priority for kind in kinds})
    scheduler.configure(SLOTS, rank_rules("docs", priorities), 0.0)
    instance = Instance(scheduler, Random(seed))
    instance.run(kinds, factor)
    return instance


def test_short_calls_get_slots_before_long_new_requests():
    """Guards against refused calls, each of which wastes the run that made it."""
    for calls, new in ((CALLS_AT_COLLECT, PAYMENTS), (CALLS_AT_DOCS, DOWNLOADS)):
        for factor in (1.5, 2.0):
            instance = instance_after((calls, new), factor)
            assert instance.served(calls) > 0.95, (calls, instance.finished[calls])


def test_new_requests_keep_their_floor_beside_calls():
    """Guards against calls that take every slot in an overload of calls alone."""
    for calls, new in ((CALLS_AT_COLLECT, PAYMENTS), (CALLS_AT_DOCS, DOWNLOADS)):
        instance = instance_after((calls, new), 4.0)
        floor_s = SLOTS * LOWER_RANK_SHARE_PERCENT / 100 * RUN_TIME_S
        assert instance.slot_s[new] > 0.9 * floor_s


def test_calls_are_not_refused_for_new_requests_of_the_same_priority():
    """Guards against new requests with long targets that wait long and then go before calls."""
    for calls, new in ((CALLS_AT_COLLECT, PAYMENTS), (CALLS_AT_DOCS, DOWNLOADS)):
        equal = attrs.evolve(new, priority=calls.priority)
        for factor in (1.5, 2.0):
            instance = instance_after((calls, equal), factor)
            assert instance.served(calls) > 0.93, (calls, instance.finished[calls])


def test_new_requests_that_calls_would_overtake_are_refused_at_once():
    """Guards against new requests that wait, are overtaken, and are refused when it is too late."""
    equal = attrs.evolve(DOWNLOADS, priority=CALLS_AT_DOCS.priority)
    instance = instance_after((CALLS_AT_DOCS, equal), 2.0)
    assert instance.served(equal, "deadline") < 0.1
    assert instance.served(equal, "too-busy") > 0.25


load_tests = function_tests(__name__)
