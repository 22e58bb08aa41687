"""Service by rank under overload with real processes, for the first service of each deployment.

The admission bench measures only the scheduler, in virtual time.  Here calls cross two nodes and
the load is spread over several instances, whose nodes do not know each other's queues.
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
from ibisrack.standins.caller import MAX_LATENCY_US, CallResult

MEASURES = (
    "urgent_p99_ratio_live",
    "share_kept_ratio_live",
    "slots_busy_ratio_live",
    "urgent_goodput_live",
)
MAX_URGENT_P99_RATIO = 1.5
MIN_SHARE_KEPT_RATIO = 0.95
MIN_SLOTS_BUSY_RATIO = 0.95
MIN_URGENT_GOODPUT = 0.99
FLOOD_DEMAND = 5.0  # Demand of the flooding rank, relative to the capacity.
WORK_MS = 250.0  # Long enough that the caller processes can offer five times the capacity.
PHASE_S = 10.0
RAMP_UP_S = 3.0  # Start of a phase, excluded from the figures because queues are still filling.
SAMPLE_INTERVAL_S = 0.1
# Demand of a rank under normal load, and of the other ranks in the bulk flood, relative to the
# capacity.
NORMAL_DEMAND = 0.2
# Demand of the other ranks in the urgent flood, relative to their shares.
SATURATING_DEMAND = 2.0
CALLER_PROCESSES = 3


@attrs.define
class FloodedService:
    """The service of one deployment that is overloaded.

    Attributes:
      fleet: The running processes.
      plan: Size of the service.
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
        """Total slots of all instances."""
        return self.plan.instances * self.plan.slots

    @property
    def capacity_calls_s(self) -> float:
        """Calls that the service can run per second."""
        return self.slots * 1000 / WORK_MS

    def workload(self, rank: RankRule, demand: float) -> Workload:
        """Returns the workload of a rank.

        Args:
          rank: The rank.
          demand: Demand relative to the capacity.
        """
        route = self._route(rank)
        return Workload(
            name=rank.rank,
            method=route.method,
            host=route.host,
            path=route.path_prefix,
            calls_per_s=demand * self.capacity_calls_s,
            work_ms=WORK_MS,
        )

    def _route(self, rank: RankRule) -> RouteRule:
        routes = self.rules.routes[self.plan.service]
        return next(route for route in routes if route.rank == rank.rank)

    async def run_phase(self, name: str, demands: dict[str, float]) -> "Phase":
        """Sends the traffic of one phase and samples the busy slots.

        Args:
          name: Name of the phase.
          demands: Demand by name of the rank, relative to the capacity.
        """
        workloads = tuple(self.workload(rank, demands[rank.rank]) for rank in self.ranks)
        samples: list[float] = []
        sampling_task = asyncio.create_task(self._sample_busy_slots(samples))
        calls = await send_traffic(self.fleet, workloads, PHASE_S, name, CALLER_PROCESSES)
        sampling_task.cancel()
        await asyncio.gather(sampling_task, return_exceptions=True)
        # Callers take about a second to start, so the phase begins with their first call.
        start_wall_s = min(call.ended_wall_s - call.latency_ms / 1000 for call in calls)
        return Phase(calls, start_wall_s, tuple(samples))

    async def _sample_busy_slots(self, samples: list[float]) -> None:
        """Appends the fraction of slots in use, from the status of the nodes, until cancelled."""
        nodes = [node for node in self.fleet.nodes if node.service == self.plan.service]
        start_s = time.monotonic()
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            statuses = await asyncio.gather(*(self.fleet.status(node) for node in nodes))
            if RAMP_UP_S < time.monotonic() - start_s < PHASE_S:
                busy = sum(status["load"]["busy"] for status in statuses if status)
                samples.append(busy / self.slots)


@attrs.frozen
class Phase:
    """Results of the calls and samples of one phase.

    Attributes:
      calls: Result of each call as its caller observed it.
      start_wall_s: Start in seconds since the epoch.
      busy_samples: Fractions of the slots in use.
    """

    calls: list[CallResult]
    start_wall_s: float
    busy_samples: tuple[float, ...]

    def completed_calls(self, rank: RankRule) -> list[CallResult]:
        """Returns the calls of a rank that completed after the ramp-up of the phase."""
        first_s, last_s = self.start_wall_s + RAMP_UP_S, self.start_wall_s + PHASE_S
        return [
            call
            for call in self.calls
            if call.rank == rank.rank
            and call.outcome == "done"
            and first_s <= call.ended_wall_s < last_s
        ]

    def p99_ms(self, rank: RankRule) -> float:
        """Returns the 99th percentile of the latencies of a rank after the ramp-up."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for call in self.completed_calls(rank):
            histogram.record_value(max(1, int(call.latency_ms * 1000)))
        return histogram.get_value_at_percentile(99) / 1000

    def goodput(self, rank: RankRule) -> float:
        """Returns the fraction of a rank's calls that completed."""
        calls = [call for call in self.calls if call.rank == rank.rank]
        return sum(call.outcome == "done" for call in calls) / max(1, len(calls))

    def share_kept(self, rank: RankRule, ranks: tuple[RankRule, ...]) -> float:
        """Returns a rank's share of the completed work, relative to its configured share.

        Idle slots do not lower it; ``busy`` measures them separately.
        """
        total_s = sum(self._work_s(other) for other in ranks)
        return self._work_s(rank) / max(WORK_MS / 1000, total_s) / (rank.share_percent / 100)

    def work_ratio(self, ranks: tuple[RankRule, ...], slots: int) -> float:
        """Returns the completed work of all ranks as a fraction of the total slot time."""
        return sum(self._work_s(rank) for rank in ranks) / (slots * (PHASE_S - RAMP_UP_S))

    def _work_s(self, rank: RankRule) -> float:
        """Returns the work in seconds that was done for a rank after the ramp-up.

        Calls start and end in step, so counting whole calls at the edges of the interval would be
        wrong by up to one call for each slot.
        """
        first_s, last_s = self.start_wall_s + RAMP_UP_S, self.start_wall_s + PHASE_S
        ends_s = (
            call.ended_wall_s
            for call in self.calls
            if call.rank == rank.rank and call.outcome == "done"
        )
        overlaps_s = (min(end_s, last_s) - max(end_s - WORK_MS / 1000, first_s) for end_s in ends_s)
        return sum(max(0.0, overlap_s) for overlap_s in overlaps_s)

    @property
    def busy(self) -> float:
        """Mean fraction of the slots in use."""
        return sum(self.busy_samples) / max(1, len(self.busy_samples))


@attrs.frozen
class DeploymentResult:
    """Figures of one deployment.

    Attributes:
      p99_ratio: 99th percentile of the urgent rank in the bulk flood, relative to normal load.
      share_kept: Lowest share kept by another rank in the urgent flood.
      busy: Lower mean fraction of busy slots of both floods.
      goodput: Fraction of the urgent calls that completed in the bulk flood.
    """

    p99_ratio: float
    share_kept: float
    busy: float
    goodput: float


async def _run_deployment(deployment: Deployment) -> DeploymentResult:
    async with started_fleet(deployment) as fleet:
        service = FloodedService(fleet, deployment.services[0], parse_rule_set(deployment.rules))
        urgent, *others = service.ranks
        normal_demands = {rank.rank: NORMAL_DEMAND for rank in service.ranks}
        saturating_demands = {
            rank.rank: SATURATING_DEMAND * rank.share_percent / 100 for rank in others
        }
        normal = await service.run_phase("normal-load", normal_demands)
        bulk_flood = await service.run_phase(
            "bulk", {**normal_demands, others[-1].rank: FLOOD_DEMAND}
        )
        urgent_flood = await service.run_phase(
            "urgent", {**saturating_demands, urgent.rank: FLOOD_DEMAND}
        )
    shares = {rank.rank: urgent_flood.share_kept(rank, service.ranks) for rank in others}
    work = urgent_flood.work_ratio(service.ranks, service.slots)
    print(f"# {deployment.name}: shares kept {shares}, work in all slot time {work:.3f}")
    return DeploymentResult(
        p99_ratio=bulk_flood.p99_ms(urgent) / normal.p99_ms(urgent),
        share_kept=min(shares.values()),
        busy=min(bulk_flood.busy, urgent_flood.busy),
        goodput=bulk_flood.goodput(urgent),
    )


def run() -> list[Measure]:
    """Measures both deployments and returns the worse figure of each measure."""
    results = [asyncio.run(_run_deployment(d)) for d in (PILBARA, CHAPA_MAYA)]
    worst_p99 = max(r.p99_ratio for r in results)
    share = min(r.share_kept for r in results)
    busy = min(r.busy for r in results)
    goodput = min(r.goodput for r in results)
    return [
        Measure("urgent_p99_ratio_live", worst_p99, "ratio", at_most=MAX_URGENT_P99_RATIO),
        Measure("share_kept_ratio_live", share, "ratio", at_least=MIN_SHARE_KEPT_RATIO),
        Measure("slots_busy_ratio_live", busy, "ratio", at_least=MIN_SLOTS_BUSY_RATIO),
        Measure("urgent_goodput_live", goodput, "ratio", at_least=MIN_URGENT_GOODPUT),
    ]
