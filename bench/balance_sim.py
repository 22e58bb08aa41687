"""Discrete-event simulation of load balancing: several nodes send calls to five instances.

One instance is five times slower than the others and reports that it is idle.
"""

import heapq
import itertools
from functools import singledispatch
from random import Random

import attrs

from ibisrack.calls.admission import Decision, Queued, Refused, Scheduler
from ibisrack.calls.balance import LoadView, choose_instance, eligible_instances
from ibisrack.calls.messages import LoadReport
from ibisrack.calls.ranks import Ticket
from ibisrack.testing.fixtures import member, rank_rule

INSTANCES = tuple(member(f"desk-{number}") for number in range(5))
SLOW_INSTANCE = "desk-0"
SLOW_FACTOR = 5.0
SLOTS = 6
MEAN_SERVICE_S = 0.02
DEADLINE_S = 1.0
UTILIZATION = 0.6  # Demand relative to the capacity of all instances, the slow one included.
NODE_COUNT = 5
DURATION_S = 30.0
SERVICE_AND_RANK = ("notice-desk", "lookup")


@attrs.frozen
class PowerOfTwo:
    """The strategy of the nodes: the better of two random candidates, by the node's load view."""


@attrs.frozen
class RandomChoice:
    """A uniformly random instance."""


@attrs.define
class RoundRobin:
    """All instances in turn."""

    cycle: itertools.cycle = attrs.field(factory=lambda: itertools.cycle(INSTANCES))


@attrs.frozen
class LeastInFlight:
    """The instance with the fewest calls of this node in flight."""


@singledispatch
def select_instance(strategy: object, view: LoadView, rng: Random, now_s: float) -> str:
    """Returns the node id of the instance for a call."""
    raise TypeError(f"unknown strategy {type(strategy).__name__}")


@select_instance.register
def _(strategy: PowerOfTwo, view: LoadView, rng: Random, now_s: float) -> str:
    candidates = eligible_instances(INSTANCES, view, frozenset(), now_s)
    return choose_instance(candidates, "z", view, rng, now_s).node_id


@select_instance.register
def _(strategy: RandomChoice, view: LoadView, rng: Random, now_s: float) -> str:
    return rng.choice(INSTANCES).node_id


@select_instance.register
def _(strategy: RoundRobin, view: LoadView, rng: Random, now_s: float) -> str:
    return next(strategy.cycle).node_id


@select_instance.register
def _(strategy: LeastInFlight, view: LoadView, rng: Random, now_s: float) -> str:
    shuffled = rng.sample(INSTANCES, len(INSTANCES))
    return min(shuffled, key=lambda m: view.instance(m.node_id).in_flight).node_id


@attrs.define
class BalanceSimulation:
    """Simulates all nodes and instances under one load balancing strategy.

    Attributes:
      strategy: The strategy; see ``select_instance``.
      rng: Source of all random draws.
      sojourns_s: Time from arrival to answer of each call that met its deadline.
      offered: Number of calls.
      views: Load view of each node.
      schedulers: Scheduler of each instance by node id.
    """

    strategy: object
    rng: Random
    sojourns_s: list[float] = attrs.field(factory=list)
    offered: int = 0
    views: list[LoadView] = attrs.field(factory=lambda: [LoadView() for _ in range(NODE_COUNT)])
    schedulers: dict[str, Scheduler] = attrs.field(factory=dict)
    _events: list = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)
    _unfinished: dict[int, tuple[LoadView, str]] = attrs.field(factory=dict)

    def run(self) -> None:
        """Runs the simulation."""
        for instance in INSTANCES:
            scheduler = Scheduler(1)
            scheduler.configure(SLOTS, (rank_rule("lookup"),), 0.0)
            self.schedulers[instance.node_id] = scheduler
        capacity_per_s = SLOTS / MEAN_SERVICE_S * (len(INSTANCES) - 1 + 1 / SLOW_FACTOR)
        now_s = 0.0
        while now_s < DURATION_S:
            now_s += self.rng.expovariate(UTILIZATION * capacity_per_s)
            self._finish_until(now_s)
            self._arrive(now_s)

    def p99_s(self) -> float:
        """Returns the 99th percentile of the time from arrival to answer.

        Calls without an answer before their deadline count as DEADLINE_S.
        """
        missed = [DEADLINE_S] * (self.offered - len(self.sojourns_s))
        ordered = sorted(self.sojourns_s + missed)
        return ordered[int(len(ordered) * 0.99)]

    def _arrive(self, now_s: float) -> None:
        self.offered += 1
        view = self.views[self.offered % NODE_COUNT]
        node_id = select_instance(self.strategy, view, self.rng, now_s)
        view.record_sent(node_id)
        number = next(self._sequence)
        ticket = Ticket("c", number, "lookup", now_s, now_s + DEADLINE_S)
        self._unfinished[number] = (view, node_id)
        self._apply(self.schedulers[node_id].submit(ticket, now_s), now_s)

    def _apply(self, decision: Decision, now_s: float) -> None:
        if isinstance(decision, Queued):
            return
        ticket = decision.ticket
        view, node_id = self._unfinished[ticket.number]
        if isinstance(decision, Refused):
            view.record_end(node_id)
            view.record_refusal(node_id, decision.reason, now_s)
            return
        factor = SLOW_FACTOR if node_id == SLOW_INSTANCE else 1.0
        end_s = now_s + self.rng.expovariate(1 / (MEAN_SERVICE_S * factor))
        heapq.heappush(self._events, (end_s, next(self._sequence), ticket))

    def _finish_until(self, now_s: float) -> None:
        while self._events and self._events[0][0] <= now_s:
            end_s, _, ticket = heapq.heappop(self._events)
            view, node_id = self._unfinished.pop(ticket.number)
            scheduler = self.schedulers[node_id]
            for decision in scheduler.finish(ticket, end_s):
                self._apply(decision, end_s)
            busy = 0 if node_id == SLOW_INSTANCE else scheduler.busy
            queued = 0 if node_id == SLOW_INSTANCE else scheduler.queued
            view.record_load(node_id, LoadReport(busy, queued, SLOTS), end_s)
            view.record_end(node_id)
            sojourn_s = end_s - ticket.arrived_at_s
            view.record_answer(node_id, SERVICE_AND_RANK, sojourn_s, end_s)
            if end_s <= ticket.deadline_at_s:
                self.sojourns_s.append(sojourn_s)
