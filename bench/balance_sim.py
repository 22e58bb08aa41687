"""Virtual-time runs of the choice of instances: several nodes send calls to five instances.

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
SLOW = "desk-0"
SLOW_FACTOR = 5.0
SLOTS = 6
MEAN_S = 0.02
DEADLINE_S = 1.0
DEMAND = 0.6  # Of the capacity of the four good instances and the slow one.
NODES = 5
DURATION_S = 30.0
KIND = ("notice-desk", "lookup")


@attrs.frozen
class PowerOfTwo:
    """The chosen way: two random candidates and what the node saw."""


@attrs.frozen
class RandomChoice:
    """Any instance."""


@attrs.define
class RoundRobin:
    """One instance after the other."""

    turns: itertools.cycle = attrs.field(factory=lambda: itertools.cycle(INSTANCES))


@attrs.frozen
class LeastInFlight:
    """The instance with the fewest calls of this node."""


@singledispatch
def pick_instance(way: object, view: LoadView, rng: Random, now_s: float) -> str:
    """Returns the node id of the instance for a call."""
    raise TypeError(f"unknown way {type(way).__name__}")


@pick_instance.register
def _(way: PowerOfTwo, view: LoadView, rng: Random, now_s: float) -> str:
    candidates = eligible_instances(INSTANCES, view, frozenset(), now_s)
    return choose_instance(candidates, "z", view, rng, now_s).node_id


@pick_instance.register
def _(way: RandomChoice, view: LoadView, rng: Random, now_s: float) -> str:
    return rng.choice(INSTANCES).node_id


@pick_instance.register
def _(way: RoundRobin, view: LoadView, rng: Random, now_s: float) -> str:
    return next(way.turns).node_id


@pick_instance.register
def _(way: LeastInFlight, view: LoadView, rng: Random, now_s: float) -> str:
    shuffled = rng.sample(INSTANCES, len(INSTANCES))
    return min(shuffled, key=lambda m: view.instance(m.node_id).in_flight).node_id


@attrs.define
class BalanceSimulation:
    """All nodes and instances under one way of choosing."""

    way: object
    rng: Random
    sojourns_s: list[float] = attrs.field(factory=list)
    offered: int = 0
    views: list[LoadView] = attrs.field(factory=lambda: [LoadView() for _ in range(NODES)])
    schedulers: dict[str, Scheduler] = attrs.field(factory=dict)
    _events: list = attrs.field(factory=list)
    _order: itertools.count = attrs.field(factory=itertools.count)
    _open: dict[int, tuple[LoadView, str]] = attrs.field(factory=dict)

    def run(self) -> None:
        """Runs to the end."""
        for instance in INSTANCES:
            scheduler = Scheduler(1)
            scheduler.configure(SLOTS, (rank_rule("lookup"),), 0.0)
            self.schedulers[instance.node_id] = scheduler
        capacity_per_s = SLOTS / MEAN_S * (len(INSTANCES) - 1 + 1 / SLOW_FACTOR)
        now_s = 0.0
        while now_s < DURATION_S:
            now_s += self.rng.expovariate(DEMAND * capacity_per_s)
            self._finish_until(now_s)
            self._arrive(now_s)

    def p99_s(self) -> float:
        """Returns the 99th percentile over all calls; a refused call takes its whole deadline."""
        missing = [DEADLINE_S] * (self.offered - len(self.sojourns_s))
        ordered = sorted(self.sojourns_s + missing)
        return ordered[int(len(ordered) * 0.99)]

    def _arrive(self, now_s: float) -> None:
        self.offered += 1
        view = self.views[self.offered % NODES]
        node_id = pick_instance(self.way, view, self.rng, now_s)
        view.record_sent(node_id)
        number = next(self._order)
        ticket = Ticket("c", number, "lookup", now_s, now_s + DEADLINE_S)
        self._open[number] = (view, node_id)
        self._follow(self.schedulers[node_id].submit(ticket, now_s), now_s)

    def _follow(self, decision: Decision, now_s: float) -> None:
        if isinstance(decision, Queued):
            return
        ticket = decision.ticket
        view, node_id = self._open[ticket.number]
        if isinstance(decision, Refused):
            view.record_end(node_id)
            view.record_refusal(node_id, decision.reason, now_s)
            return
        factor = SLOW_FACTOR if node_id == SLOW else 1.0
        end_s = now_s + self.rng.expovariate(1 / (MEAN_S * factor))
        heapq.heappush(self._events, (end_s, next(self._order), ticket))

    def _finish_until(self, now_s: float) -> None:
        while self._events and self._events[0][0] <= now_s:
            end_s, _, ticket = heapq.heappop(self._events)
            view, node_id = self._open.pop(ticket.number)
            scheduler = self.schedulers[node_id]
            for decision in scheduler.finish(ticket, end_s):
                self._follow(decision, end_s)
            busy = 0 if node_id == SLOW else scheduler.busy
            queued = 0 if node_id == SLOW else scheduler.queued
            view.record_load(node_id, LoadReport(busy, queued, SLOTS), end_s)
            view.record_end(node_id)
            took_s = end_s - ticket.arrived_at_s
            view.record_answer(node_id, KIND, took_s, end_s)
            if end_s <= ticket.deadline_at_s:
                self.sojourns_s.append(took_s)
