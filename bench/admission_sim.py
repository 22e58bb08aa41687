"""Discrete-event simulation of the admission scheduler in virtual time.

One instance runs through three phases: normal load, overload by the least urgent rank, and
overload by the most urgent rank.  Every rank draws from its own seeded random stream, so all
policies get the same calls.
"""

import heapq
import itertools
from collections.abc import Callable
from random import Random

import attrs

from ibisrack.calls.admission import Decision, Queued, Refused, Scheduler
from ibisrack.calls.ranks import Ticket
from ibisrack.rules.model import RankRule
from ibisrack.rules.ruleset import Service

NORMAL_LOAD, BULK_FLOOD, URGENT_FLOOD = "normal-load", "bulk-flood", "urgent-flood"
PHASES = ((NORMAL_LOAD, 60.0), (BULK_FLOOD, 60.0), (URGENT_FLOOD, 40.0))
FLOOD_DEMAND = 5.0  # Demand of the flooding rank, relative to the instance's capacity.

# Demand of the other ranks, relative to their guaranteed shares.
NORMAL_DEMAND = 0.8  # Before the most urgent rank floods.
# While the most urgent rank floods.  It is well above the share, because a share is guaranteed only
# while calls wait: at 1.2, a lull of heavy-tailed demand counted as lost share (0.93 in one of 16
# runs).
SATURATING_DEMAND = 2.0
NORMAL_BULK_DEMAND = 0.5  # Of the least urgent rank under normal load.

LOGNORMAL_SIGMA = 1.0

ServiceTimeDistribution = Callable[[Random, float], float]


def exponential(rng: Random, mean_s: float) -> float:
    """Draws an exponential service time."""
    return rng.expovariate(1 / mean_s)


def heavy_tailed(rng: Random, mean_s: float) -> float:
    """Draws a lognormal service time; 1% of the calls take 6 times the mean or more."""
    return mean_s * rng.lognormvariate(-(LOGNORMAL_SIGMA**2) / 2, LOGNORMAL_SIGMA)


@attrs.frozen
class RankWorkload:
    """Mean service time and deadline of the calls of one rank."""

    mean_s: float
    deadline_s: float


@attrs.define
class RankStats:
    """Statistics of one rank in one phase.

    Attributes:
      offered: Calls that arrived in the phase.
      completed: Those that were answered before their deadline.
      refused: Those that were refused.
      offered_s: Service time that the offered calls need.
      useful_s: Slot time used in the phase by calls that meet their deadline.
      wasted_s: Slot time used in the phase by calls that miss their deadline.
      sojourns_s: Time from arrival to answer of each completed call.
    """

    offered: int = 0
    completed: int = 0
    refused: int = 0
    offered_s: float = 0.0
    useful_s: float = 0.0
    wasted_s: float = 0.0
    sojourns_s: list[float] = attrs.field(factory=list)

    def p99_s(self) -> float:
        """Returns the 99th percentile of the time from arrival to answer."""
        ordered = sorted(self.sojourns_s)
        return ordered[int(len(ordered) * 0.99)] if ordered else float("inf")


@attrs.frozen
class _Arrival:
    """A call, the service time that it needs and the phase of its arrival."""

    ticket: Ticket
    service_s: float
    phase: str


@attrs.define
class AdmissionSimulation:
    """Simulates one instance under one admission policy.

    Attributes:
      service: The service; the demand depends on its shares.
      ranks: The ranks that the scheduler is configured with.
      workloads: Service times and deadlines by rank.
      scheduler: The scheduler.
      draw_service_s: Draws a service time with a given mean.
      seed: Seed of all random streams.
      urgent_demand: Demand of the most urgent rank relative to the capacity while it does not
        flood, 0 for NORMAL_DEMAND.
      stats: Results by phase and rank.
    """

    service: Service
    ranks: tuple[RankRule, ...]
    workloads: dict[str, RankWorkload]
    scheduler: Scheduler
    draw_service_s: ServiceTimeDistribution
    seed: int
    urgent_demand: float = 0.0
    stats: dict[tuple[str, str], RankStats] = attrs.field(factory=dict)
    _events: list[tuple[float, int, Callable[[float], None]]] = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)
    _pending: dict[int, _Arrival] = attrs.field(factory=dict)

    def run(self) -> None:
        """Runs all phases."""
        self.scheduler.configure(self.service.rule.slots, self.ranks, 0.0)
        for rule in self.service.ranks:
            self._schedule_rank(rule.rank)
        end_s = sum(length_s for _, length_s in PHASES)
        while self._events and self._events[0][0] <= end_s:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)

    def rank_stats(self, phase: str, rank: str) -> RankStats:
        """Returns the statistics of a rank in a phase."""
        stats = self.stats.get((phase, rank))
        if stats is None:
            stats = self.stats[(phase, rank)] = RankStats()
        return stats

    def demand(self, phase: str, rank: str) -> float:
        """Returns the offered slot time of a rank, relative to the instance's capacity."""
        ranks = [rule.rank for rule in self.service.ranks]
        share = self.service.ranks[ranks.index(rank)].share_percent / 100
        is_urgent, is_bulk = rank == ranks[0], rank == ranks[-1]
        if (is_bulk and phase == BULK_FLOOD) or (is_urgent and phase == URGENT_FLOOD):
            return FLOOD_DEMAND
        if phase == URGENT_FLOOD:
            return SATURATING_DEMAND * share
        if is_urgent and self.urgent_demand:
            return self.urgent_demand
        return (NORMAL_BULK_DEMAND if is_bulk else NORMAL_DEMAND) * share

    def _schedule_rank(self, rank: str) -> None:
        rng = Random(f"{self.seed}-{self.service.rule.service}-{rank}")
        start_s = 0.0
        for phase, length_s in PHASES:
            calls_per_s = self.demand(phase, rank) * self.service.rule.slots
            calls_per_s /= self.workloads[rank].mean_s
            end_s = start_s + length_s
            self._schedule_next_arrival(rank, phase, start_s, end_s, calls_per_s, rng)
            start_s = end_s

    def _schedule_next_arrival(
        self, rank: str, phase: str, now_s: float, end_s: float, calls_per_s: float, rng: Random
    ) -> None:
        at_s = now_s + rng.expovariate(calls_per_s)
        if at_s >= end_s:
            return
        workload = self.workloads[rank]
        number = next(self._sequence)
        ticket = Ticket(str(number), number, rank, at_s, at_s + workload.deadline_s)
        arrival = _Arrival(ticket, self.draw_service_s(rng, workload.mean_s), phase)

        def arrive(now_s: float) -> None:
            self._submit(arrival, now_s)
            self._schedule_next_arrival(rank, phase, now_s, end_s, calls_per_s, rng)

        self._schedule(at_s, arrive)

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _submit(self, arrival: _Arrival, now_s: float) -> None:
        stats = self.rank_stats(arrival.phase, arrival.ticket.rank)
        stats.offered += 1
        stats.offered_s += arrival.service_s
        self._pending[arrival.ticket.number] = arrival
        self._apply(self.scheduler.submit(arrival.ticket, now_s), now_s)

    def _apply(self, decision: Decision, now_s: float) -> None:
        if isinstance(decision, Queued):
            return
        arrival = self._pending.pop(decision.ticket.number)
        stats = self.rank_stats(arrival.phase, decision.ticket.rank)
        if isinstance(decision, Refused):
            stats.refused += 1
            return
        self._start(arrival, now_s)

    def _start(self, arrival: _Arrival, now_s: float) -> None:
        """Runs a call until it completes or is cancelled at its deadline."""
        ticket = arrival.ticket
        end_s = min(now_s + arrival.service_s, ticket.deadline_at_s)
        in_time = now_s + arrival.service_s <= ticket.deadline_at_s
        for phase, used_s in _split_by_phase(now_s, end_s):
            stats = self.rank_stats(phase, ticket.rank)
            stats.useful_s += used_s if in_time else 0.0
            stats.wasted_s += 0.0 if in_time else used_s
        if in_time:
            stats = self.rank_stats(arrival.phase, ticket.rank)
            stats.completed += 1
            stats.sojourns_s.append(end_s - ticket.arrived_at_s)
        self._schedule(end_s, lambda end_s: self._finish(ticket, end_s))

    def _finish(self, ticket: Ticket, now_s: float) -> None:
        for decision in self.scheduler.finish(ticket, now_s):
            self._apply(decision, now_s)


def _split_by_phase(start_s: float, end_s: float) -> list[tuple[str, float]]:
    """Returns the length of an interval's overlap with each phase that it overlaps."""
    parts = []
    phase_start_s = 0.0
    for phase, length_s in PHASES:
        phase_end_s = phase_start_s + length_s
        used_s = min(end_s, phase_end_s) - max(start_s, phase_start_s)
        if used_s > 0:
            parts.append((phase, used_s))
        phase_start_s = phase_end_s
    return parts
