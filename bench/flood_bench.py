"""Service by rank in floods of real processes: the first service of each deployment.

The admission bench measures the scheduler alone in virtual time; here calls cross two nodes and
several instances share the load, whose nodes do not know of each other's queues.
"""

import asyncio
import time

import attrs
from hdrh.histogram import HdrHistogram

from bench.deployments import CHAPA_MAYA, PILBARA, Deployment, ServicePlan
from bench.fleet import Fleet, started_fleet
from bench.measures import Measure
from bench.traffic import Workload, send_traffic
from ibisrack.rules.model import RankRule, RouteRule
from ibisrack.rules.ruleset import RuleSet, parse_rule_set
from ibisrack.standins.caller import MAX_LATENCY_US, ToldOutcome

MEASURES = (
    "urgent_p99_ratio_live",
    "share_kept_ratio_live",
    "slots_busy_ratio_live",
    "urgent_goodput_live",
)
P99_RATIO_BOUND = 1.5
SHARE_BOUND = 0.95
BUSY_BOUND = 0.95
GOODPUT_BOUND = 0.99
FLOOD_FACTOR = 5.0
WORK_MS = 250.0  # Long enough that the callers of this bench can offer five times the capacity.
PHASE_S = 10.0
SETTLED_S = 3.0  # Start of a phase, while queues fill, that is left out.
SAMPLE_INTERVAL_S = 0.1
CALM_LOAD = 0.2  # Share of the slots that each rank asks for outside of floods.
ABOVE_SHARE = 2.0  # What the other ranks ask for in the urgent flood, as a multiple of their share.
CALLERS = 3


@attrs.define
class Flooded:
    """The flooded service of one deployment.

    Attributes:
      fleet: The processes.
      plan: The service.
      rules: The rules in force.
    """

    fleet: Fleet
    plan: ServicePlan
    rules: RuleSet

    @property
    def ranks(self) -> tuple[RankRule, ...]:
        """Ranks of the service, the most urgent one first."""
        return self.rules.services[self.plan.service].ranks

    @property
    def slots(self) -> int:
        """Slots of all instances."""
        return self.plan.instances * self.plan.slots

    @property
    def capacity_calls_s(self) -> float:
        """Calls that the service can run in a second."""
        return self.slots * 1000 / WORK_MS

    def workload(self, rank: RankRule, load: float) -> Workload:
        """Returns the work of a rank that asks for a multiple of the capacity."""
        route = self._route(rank)
        return Workload(
            name=rank.rank,
            method=route.method,
            host=route.host,
            path=route.path_prefix,
            calls_per_s=load * self.capacity_calls_s,
            work_ms=WORK_MS,
        )

    def _route(self, rank: RankRule) -> RouteRule:
        routes = self.rules.routes[self.plan.service]
        return next(route for route in routes if route.rank == rank.rank)

    async def phase(self, name: str, loads: dict[str, float]) -> "Phase":
        """Sends work for one phase and samples the busy slots."""
        workloads = tuple(self.workload(rank, loads[rank.rank]) for rank in self.ranks)
        samples: list[float] = []
        sampling = asyncio.create_task(self._sample(samples))
        told = await send_traffic(self.fleet, workloads, PHASE_S, name, CALLERS)
        sampling.cancel()
        await asyncio.gather(sampling, return_exceptions=True)
        # Callers take a second or so to start, so the phase begins with their first call.
        start_wall_s = min(t.ended_wall_s - t.latency_ms / 1000 for t in told)
        return Phase(told, start_wall_s, tuple(samples))

    async def _sample(self, samples: list[float]) -> None:
        """Samples the share of slots in use, from the nodes' own reports."""
        nodes = [node for node in self.fleet.nodes if node.service == self.plan.service]
        begin_s = time.monotonic()
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            statuses = await asyncio.gather(*(self.fleet.status(node) for node in nodes))
            if SETTLED_S < time.monotonic() - begin_s < PHASE_S:
                busy = sum(status["load"]["busy"] for status in statuses if status)
                samples.append(busy / self.slots)


@attrs.frozen
class Phase:
    """What one phase showed.

    Attributes:
      told: What callers were told.
      start_wall_s: Start since the epoch.
      busy_samples: Shares of the slots in use.
    """

    told: list[ToldOutcome]
    start_wall_s: float
    busy_samples: tuple[float, ...]

    def done(self, rank: RankRule) -> list[ToldOutcome]:
        """Returns the calls of a rank that were done while the phase was settled."""
        first_s, last_s = self.start_wall_s + SETTLED_S, self.start_wall_s + PHASE_S
        return [
            t
            for t in self.told
            if t.rank == rank.rank and t.outcome == "done" and first_s <= t.ended_wall_s < last_s
        ]

    def p99_ms(self, rank: RankRule) -> float:
        """Returns the 99th percentile of the latencies of a rank."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for told in self.done(rank):
            histogram.record_value(max(1, int(told.latency_ms * 1000)))
        return histogram.get_value_at_percentile(99) / 1000

    def goodput(self, rank: RankRule) -> float:
        """Returns the share of a rank's calls that were done."""
        told = [t for t in self.told if t.rank == rank.rank]
        return sum(t.outcome == "done" for t in told) / max(1, len(told))

    def share_kept(self, rank: RankRule, ranks: tuple[RankRule, ...]) -> float:
        """Returns the part of its configured share of the slot time that a rank got.

        The share is one of the work that was done; whether slots were in use is measured apart.
        """
        total_s = sum(self._work_s(other) for other in ranks)
        return self._work_s(rank) / max(WORK_MS / 1000, total_s) / (rank.share_percent / 100)

    def work_ratio(self, ranks: tuple[RankRule, ...], slots: int) -> float:
        """Returns the work done for all ranks, as a part of all slot time."""
        return sum(self._work_s(rank) for rank in ranks) / (slots * (PHASE_S - SETTLED_S))

    def _work_s(self, rank: RankRule) -> float:
        """Returns the work done for a rank while the phase was settled.

        Calls run in step, so counting whole calls at the edges would err by a call for each slot.
        """
        first_s, last_s = self.start_wall_s + SETTLED_S, self.start_wall_s + PHASE_S
        ends_s = (t.ended_wall_s for t in self.told if t.rank == rank.rank and t.outcome == "done")
        overlaps_s = (min(e, last_s) - max(e - WORK_MS / 1000, first_s) for e in ends_s)
        return sum(max(0.0, overlap_s) for overlap_s in overlaps_s)

    @property
    def busy(self) -> float:
        """Mean share of the slots in use."""
        return sum(self.busy_samples) / max(1, len(self.busy_samples))


@attrs.frozen
class Result:
    """Figures of one deployment."""

    p99_ratio: float
    share_kept: float
    busy: float
    goodput: float


async def _run_deployment(deployment: Deployment) -> Result:
    async with started_fleet(deployment) as fleet:
        service = Flooded(fleet, deployment.services[0], parse_rule_set(deployment.rules))
        urgent, *others = service.ranks
        calm_loads = {rank.rank: CALM_LOAD for rank in service.ranks}
        above = {rank.rank: ABOVE_SHARE * rank.share_percent / 100 for rank in others}
        calm = await service.phase("calm", calm_loads)
        bulk = await service.phase("bulk", {**calm_loads, others[-1].rank: FLOOD_FACTOR})
        flood = await service.phase("urgent", {**above, urgent.rank: FLOOD_FACTOR})
    shares = {rank.rank: flood.share_kept(rank, service.ranks) for rank in others}
    work = flood.work_ratio(service.ranks, service.slots)
    print(f"# {deployment.name}: shares kept {shares}, work in all slot time {work:.3f}")
    return Result(
        p99_ratio=bulk.p99_ms(urgent) / calm.p99_ms(urgent),
        share_kept=min(shares.values()),
        busy=min(bulk.busy, flood.busy),
        goodput=bulk.goodput(urgent),
    )


def run() -> list[Measure]:
    """Measures both deployments; the worse figure counts."""
    results = [asyncio.run(_run_deployment(d)) for d in (PILBARA, CHAPA_MAYA)]
    worst_p99 = max(r.p99_ratio for r in results)
    share = min(r.share_kept for r in results)
    busy = min(r.busy for r in results)
    goodput = min(r.goodput for r in results)
    return [
        Measure("urgent_p99_ratio_live", worst_p99, "ratio", at_most=P99_RATIO_BOUND),
        Measure("share_kept_ratio_live", share, "ratio", at_least=SHARE_BOUND),
        Measure("slots_busy_ratio_live", busy, "ratio", at_least=BUSY_BOUND),
        Measure("urgent_goodput_live", goodput, "ratio", at_least=GOODPUT_BOUND),
    ]
