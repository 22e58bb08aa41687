"""Promises to callers under faults, checked against what the upstream stand-ins recorded."""

import asyncio
import tempfile
import time
from collections.abc import Sequence
from itertools import cycle
from pathlib import Path
from random import Random

import attrs

from bench.deployments import CHAPA_MAYA, PILBARA, Deployment
from bench.faults import CRASHES, PLANNED_STOPS, Fault, lose_zone, mark_leaving
from bench.fleet import Fleet, started_fleet
from bench.measures import Measure
from bench.outcomes import OutcomeSummary, read_records, summarize_outcomes
from bench.traffic import KEYED_WORKLOAD, WORKLOADS, Workload, send_traffic
from ibisrack.calls.outcomes import Reason
from ibisrack.standins.caller import ToldOutcome

MEASURES = (
    "executions_twice",
    "false_not_run",
    "wrong_answers",
    "truncated_as_whole",
    "cut_in_planned_stop",
    "keys_unknown_in_planned_stop",
    "leaving_new_work_s",
    "wasted_work_ratio_live",
    "calls_tried",
    "faults_tried",
    "unknown_in_crashes",
)
LEAVING_NEW_WORK_BOUND_S = 3.0
WASTED_BOUND = 0.01
CRASH_PHASE_S = 26.0
PLANNED_PHASE_S = 12.0
LEAVING_AT_S = 6.0
FLOOD_PHASE_S = 8.0
ZONE_LOST_AT_S = 2.0
BETWEEN_FAULTS_S = 0.3
BETWEEN_STOPS_S = 1.0
FLOOD_WORK_MS = 60.0
FLOOD_FACTOR = 5.0


@attrs.define
class Run:
    """One deployment under all faults.

    Attributes:
      fleet: The processes.
      rng: Chooses faults and their places.
      faults: Faults that were carried out.
      ended: Whether the traffic of the phase has ended.
    """

    fleet: Fleet
    rng: Random
    faults: int = 0
    ended: bool = False

    @property
    def workloads(self) -> tuple[Workload, ...]:
        """Kinds of work of the deployment."""
        return WORKLOADS[self.fleet.deployment.name]

    async def repeat(self, faults: Sequence[Fault], pause_s: float) -> None:
        """Carries out faults in turn until the traffic has ended."""
        for fault in cycle(faults):
            await asyncio.sleep(pause_s)
            if self.ended:
                return
            self.faults += 1
            await fault(self.fleet, self.rng)

    async def crashes(self) -> list[ToldOutcome]:
        """Sends work while processes die, freeze and misbehave."""
        return await self._during(self.repeat(CRASHES, BETWEEN_FAULTS_S), CRASH_PHASE_S, "crash")

    async def planned_stops(self) -> tuple[list[ToldOutcome], str, float]:
        """Sends work while nodes are stopped and one is marked as leaving.

        Returns:
          What callers were told, the leaving instance and the time of the mark.
        """
        leaving = self.fleet.nodes[-1]
        stops = self.repeat(PLANNED_STOPS, BETWEEN_STOPS_S)
        marked: list[float] = []

        async def mark() -> None:
            await asyncio.sleep(LEAVING_AT_S)
            marked.append(time.time())
            await mark_leaving(self.fleet, leaving)

        marking = asyncio.create_task(mark())
        told = await self._during(stops, PLANNED_PHASE_S, "planned")
        await marking
        self.faults += 1
        return told, leaving.node_id, marked[0]

    async def flood_without_zone(self) -> list[ToldOutcome]:
        """Sends several times the capacity in bulk work and loses a zone."""

        async def lose() -> None:
            await asyncio.sleep(ZONE_LOST_AT_S)
            self.faults += 1
            await lose_zone(self.fleet, self.rng)

        return await self._during(lose(), FLOOD_PHASE_S, "flood", self._flood())

    def _flood(self) -> tuple[Workload, ...]:
        """Returns the usual work with bulk at several times the capacity of its service."""
        bulk = self.workloads[-1]
        plan = next(p for p in self.fleet.deployment.services if p.service == bulk.host)
        capacity_calls_s = plan.instances * plan.slots * 1000 / FLOOD_WORK_MS
        flood = attrs.evolve(
            bulk,
            calls_per_s=FLOOD_FACTOR * capacity_calls_s,
            work_ms=FLOOD_WORK_MS,
            answer_bytes=0,
        )
        others = (attrs.evolve(k, calls_per_s=k.calls_per_s / 4) for k in self.workloads[:-1])
        return (*others, flood)

    async def _during(
        self, disturbance, duration_s: float, name: str, workloads: tuple[Workload, ...] = ()
    ) -> list[ToldOutcome]:
        """Sends work and disturbs it; the processes are whole again afterwards."""
        task = asyncio.create_task(disturbance)
        told = await send_traffic(self.fleet, workloads or self.workloads, duration_s, name)
        self.ended = True
        await task
        self.ended = False
        await self.fleet.wait_for_revision(1)
        return told


@attrs.frozen
class Result:
    """Figures of one deployment."""

    summary: OutcomeSummary
    cut_in_planned_stop: int
    keys_unknown_in_planned_stop: int
    leaving_new_work_s: float
    wasted_ratio: float
    unknown_in_crashes: int
    faults: int


def _non_idempotent(deployment: Deployment) -> frozenset[str]:
    return frozenset(
        workload.name for workload in WORKLOADS[deployment.name] if not workload.idempotent
    )


async def run_deployment(deployment: Deployment, seed: int) -> Result:
    """Runs one deployment through all phases."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "executions"
        extra_settings = {"record_file": str(path)}
        async with started_fleet(deployment, upstream_settings=extra_settings) as fleet:
            run = Run(fleet, Random(seed))
            crash = await run.crashes()
            planned, leaving, marked_wall_s = await run.planned_stops()
            flood = await run.flood_without_zone()
        records = read_records(path)
    ranks = _non_idempotent(deployment)
    unknown = [t for t in planned if t.outcome in ("unknown", "truncated")]
    executed = frozenset(record.call_id for record in records)
    cut = [t for t in unknown if not _is_refused_key(t, executed)]
    for told in cut[:5]:
        print(f"# cut in a planned stop: {told}", flush=True)
    last_s = max((r.started_wall_s for r in records if r.instance == leaving), default=0.0)
    in_flood = [r for r in records if r.call_id.startswith("flood-")]
    return Result(
        summary=summarize_outcomes([*crash, *planned, *flood], records, ranks),
        cut_in_planned_stop=len(cut),
        keys_unknown_in_planned_stop=len(unknown) - len(cut),
        leaving_new_work_s=max(0.0, last_s - marked_wall_s),
        wasted_ratio=summarize_outcomes(flood, in_flood, ranks).wasted_ratio,
        unknown_in_crashes=sum(t.outcome == "unknown" for t in crash),
        faults=run.faults,
    )


def _is_refused_key(told: ToldOutcome, executed: frozenset[str]) -> bool:
    """Tells whether a node refused a keyed call that never ran, so that nothing was cut.

    The outcome is unknown all the same, because an earlier call with the key may have run.
    """
    if told.rank != KEYED_WORKLOAD or told.call_id in executed:
        return False
    by_home = told.status == 503 or told.reason.startswith("key-")
    return by_home or told.reason in (Reason.DRAINING, Reason.NOT_SERVING)


def _print_evidence(summary: OutcomeSummary) -> None:
    """Prints call ids of broken promises, as comments before the measures."""
    for name in ("executions_twice", "false_not_run", "wrong_answers", "truncated_as_whole"):
        ids = getattr(summary, name)
        if ids:
            print(f"# {name}: {', '.join(ids[:5])}", flush=True)


def run() -> list[Measure]:
    """Measures both deployments."""
    results = [
        asyncio.run(run_deployment(deployment, seed))
        for seed, deployment in enumerate((PILBARA, CHAPA_MAYA), start=1)
    ]
    summaries = [result.summary for result in results]
    for summary in summaries:
        _print_evidence(summary)
    promises = ("executions_twice", "false_not_run", "wrong_answers", "truncated_as_whole")
    measures = [
        Measure(name, sum(len(getattr(v, name)) for v in summaries), "calls", at_most=0)
        for name in promises
    ]
    cut = sum(r.cut_in_planned_stop for r in results)
    keys = sum(r.keys_unknown_in_planned_stop for r in results)
    leaving_s = max(r.leaving_new_work_s for r in results)
    wasted = max(r.wasted_ratio for r in results)
    return [
        *measures,
        Measure("cut_in_planned_stop", cut, "calls", at_most=0),
        Measure("keys_unknown_in_planned_stop", keys, "calls"),
        Measure("leaving_new_work_s", leaving_s, "s", at_most=LEAVING_NEW_WORK_BOUND_S),
        Measure("wasted_work_ratio_live", wasted, "ratio", at_most=WASTED_BOUND),
        Measure("calls_tried", sum(v.calls for v in summaries), "calls"),
        Measure("faults_tried", sum(r.faults for r in results), "faults"),
        Measure("unknown_in_crashes", sum(r.unknown_in_crashes for r in results), "calls"),
    ]
