"""Guarantees to callers under faults, checked against the executions that upstreams recorded."""

import asyncio
import tempfile
import time
from collections.abc import Sequence
from itertools import cycle
from pathlib import Path
from random import Random

import attrs

from bench.deployments import CHAPA_MAYA, PILBARA, Deployment
from bench.faults import PLANNED_STOPS, UNPLANNED_FAULTS, Fault, kill_zone, mark_leaving
from bench.fleet import Fleet, started_fleet
from bench.measures import Measure
from bench.outcomes import OutcomeSummary, read_records, summarize_outcomes
from bench.traffic import KEYED_WORKLOAD, WORKLOADS, Workload, send_traffic
from ibisrack.calls.outcomes import Reason
from ibisrack.standins.caller import CallResult

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
MAX_LEAVING_NEW_WORK_S = 3.0
MAX_WASTED_WORK_RATIO = 0.01
CRASH_PHASE_S = 26.0
PLANNED_PHASE_S = 12.0
MARK_LEAVING_AFTER_S = 6.0
FLOOD_PHASE_S = 8.0
KILL_ZONE_AFTER_S = 2.0
PAUSE_BETWEEN_FAULTS_S = 0.3
PAUSE_BETWEEN_STOPS_S = 1.0
FLOOD_WORK_MS = 60.0
FLOOD_DEMAND = 5.0


@attrs.define
class FaultRun:
    """Run of one deployment through all phases of faults.

    Attributes:
      fleet: The processes.
      rng: Chooses the process or zone of each fault.
      fault_count: Number of injected faults.
      traffic_ended: Whether the traffic of the phase has ended.
    """

    fleet: Fleet
    rng: Random
    fault_count: int = 0
    traffic_ended: bool = False

    @property
    def workloads(self) -> tuple[Workload, ...]:
        """Workloads of the deployment."""
        return WORKLOADS[self.fleet.deployment.name]

    async def inject_faults(self, faults: Sequence[Fault], pause_s: float) -> None:
        """Injects faults in turn until the traffic has ended.

        Args:
          faults: Faults, repeated from the first one after the last.
          pause_s: Pause before each fault.
        """
        for fault in cycle(faults):
            await asyncio.sleep(pause_s)
            if self.traffic_ended:
                return
            self.fault_count += 1
            await fault(self.fleet, self.rng)

    async def send_during_unplanned_faults(self) -> list[CallResult]:
        """Sends traffic while processes crash, freeze and misbehave."""
        return await self._send_during(
            self.inject_faults(UNPLANNED_FAULTS, PAUSE_BETWEEN_FAULTS_S), CRASH_PHASE_S, "crash"
        )

    async def send_during_planned_stops(self) -> tuple[list[CallResult], str, float]:
        """Sends traffic while nodes are stopped and one is marked as leaving.

        Returns:
          The results, the id of the leaving node and the time of the mark since the epoch.
        """
        leaving = self.fleet.nodes[-1]
        stops = self.inject_faults(PLANNED_STOPS, PAUSE_BETWEEN_STOPS_S)
        mark_times_s: list[float] = []

        async def mark_after_delay() -> None:
            await asyncio.sleep(MARK_LEAVING_AFTER_S)
            mark_times_s.append(time.time())
            await mark_leaving(self.fleet, leaving)

        marking_task = asyncio.create_task(mark_after_delay())
        results = await self._send_during(stops, PLANNED_PHASE_S, "planned")
        await marking_task
        self.fault_count += 1
        return results, leaving.node_id, mark_times_s[0]

    async def send_flood_during_zone_loss(self) -> list[CallResult]:
        """Sends bulk calls at several times the capacity while a zone is killed."""

        async def kill_one_zone() -> None:
            await asyncio.sleep(KILL_ZONE_AFTER_S)
            self.fault_count += 1
            await kill_zone(self.fleet, self.rng)

        return await self._send_during(
            kill_one_zone(), FLOOD_PHASE_S, "flood", self._flood_workloads()
        )

    def _flood_workloads(self) -> tuple[Workload, ...]:
        """Returns the usual workloads, with bulk at several times the capacity of its service."""
        bulk = self.workloads[-1]
        plan = next(p for p in self.fleet.deployment.services if p.service == bulk.host)
        capacity_calls_s = plan.instances * plan.slots * 1000 / FLOOD_WORK_MS
        flood = attrs.evolve(
            bulk,
            calls_per_s=FLOOD_DEMAND * capacity_calls_s,
            work_ms=FLOOD_WORK_MS,
            answer_bytes=0,
        )
        others = (attrs.evolve(w, calls_per_s=w.calls_per_s / 4) for w in self.workloads[:-1])
        return (*others, flood)

    async def _send_during(
        self, disruption, duration_s: float, name: str, workloads: tuple[Workload, ...] = ()
    ) -> list[CallResult]:
        """Sends traffic during a disruption and waits until all nodes serve again.

        Args:
          disruption: Coroutine that injects faults during the traffic.
          duration_s: Time during which calls are started.
          name: Name of the phase, the prefix of the call ids.
          workloads: Workloads to send, empty for those of the deployment.
        """
        task = asyncio.create_task(disruption)
        results = await send_traffic(self.fleet, workloads or self.workloads, duration_s, name)
        self.traffic_ended = True
        await task
        self.traffic_ended = False
        await self.fleet.wait_for_revision(1)
        return results


@attrs.frozen
class DeploymentResult:
    """Figures of one deployment.

    Attributes:
      summary: Violated guarantees over all phases.
      cut_in_planned_stop: Calls that planned stops left unknown or truncated, except those of
        keys_unknown_in_planned_stop.
      keys_unknown_in_planned_stop: Keyed calls with an unknown outcome that a node refused during
        planned stops and that never ran.
      leaving_new_work_s: Time from the leaving mark to the last start of a call on that instance.
      wasted_ratio: Fraction of wasted executions in the flood.
      unknown_in_crashes: Calls of unknown outcome during unplanned faults.
      fault_count: Number of injected faults.
    """

    summary: OutcomeSummary
    cut_in_planned_stop: int
    keys_unknown_in_planned_stop: int
    leaving_new_work_s: float
    wasted_ratio: float
    unknown_in_crashes: int
    fault_count: int


def _non_idempotent_ranks(deployment: Deployment) -> frozenset[str]:
    return frozenset(
        workload.name for workload in WORKLOADS[deployment.name] if not workload.idempotent
    )


async def run_deployment(deployment: Deployment, seed: int) -> DeploymentResult:
    """Runs one deployment through all phases."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "executions"
        extra_settings = {"record_file": str(path)}
        async with started_fleet(deployment, upstream_settings=extra_settings) as fleet:
            run = FaultRun(fleet, Random(seed))
            crash = await run.send_during_unplanned_faults()
            planned, leaving_id, marked_at_wall_s = await run.send_during_planned_stops()
            flood = await run.send_flood_during_zone_loss()
        records = read_records(path)
    ranks = _non_idempotent_ranks(deployment)
    incomplete = [call for call in planned if call.outcome in ("unknown", "truncated")]
    executed = frozenset(record.call_id for record in records)
    cut = [call for call in incomplete if not _is_refused_keyed_call(call, executed)]
    for call in cut[:5]:
        print(f"# cut in a planned stop: {call}", flush=True)
    last_start_s = max((r.started_wall_s for r in records if r.instance == leaving_id), default=0.0)
    flood_records = [r for r in records if r.call_id.startswith("flood-")]
    return DeploymentResult(
        summary=summarize_outcomes([*crash, *planned, *flood], records, ranks),
        cut_in_planned_stop=len(cut),
        keys_unknown_in_planned_stop=len(incomplete) - len(cut),
        leaving_new_work_s=max(0.0, last_start_s - marked_at_wall_s),
        wasted_ratio=summarize_outcomes(flood, flood_records, ranks).wasted_ratio,
        unknown_in_crashes=sum(call.outcome == "unknown" for call in crash),
        fault_count=run.fault_count,
    )


def _is_refused_keyed_call(call: CallResult, executed: frozenset[str]) -> bool:
    """Returns whether a node refused a keyed call that never ran.

    The stop interrupted no such call.  Its outcome is still unknown, because an earlier call with
    the same key may have run.
    """
    if call.rank != KEYED_WORKLOAD or call.call_id in executed:
        return False
    refused_by_key_home = call.status == 503 or call.reason.startswith("key-")
    return refused_by_key_home or call.reason in (Reason.DRAINING, Reason.NOT_SERVING)


def _print_violations(summary: OutcomeSummary) -> None:
    """Prints ids of calls that violate a guarantee, as comments before the measures."""
    for name in ("executions_twice", "false_not_run", "wrong_answers", "truncated_as_whole"):
        ids = getattr(summary, name)
        if ids:
            print(f"# {name}: {', '.join(ids[:5])}", flush=True)


def run() -> list[Measure]:
    """Runs both deployments and returns their measures."""
    results = [
        asyncio.run(run_deployment(deployment, seed))
        for seed, deployment in enumerate((PILBARA, CHAPA_MAYA), start=1)
    ]
    summaries = [result.summary for result in results]
    for summary in summaries:
        _print_violations(summary)
    guarantees = ("executions_twice", "false_not_run", "wrong_answers", "truncated_as_whole")
    measures = [
        Measure(name, sum(len(getattr(s, name)) for s in summaries), "calls", at_most=0)
        for name in guarantees
    ]
    cut = sum(r.cut_in_planned_stop for r in results)
    keys = sum(r.keys_unknown_in_planned_stop for r in results)
    leaving_s = max(r.leaving_new_work_s for r in results)
    wasted = max(r.wasted_ratio for r in results)
    return [
        *measures,
        Measure("cut_in_planned_stop", cut, "calls", at_most=0),
        Measure("keys_unknown_in_planned_stop", keys, "calls"),
        Measure("leaving_new_work_s", leaving_s, "s", at_most=MAX_LEAVING_NEW_WORK_S),
        Measure("wasted_work_ratio_live", wasted, "ratio", at_most=MAX_WASTED_WORK_RATIO),
        Measure("calls_tried", sum(s.calls for s in summaries), "calls"),
        Measure("faults_tried", sum(r.fault_count for r in results), "faults"),
        Measure("unknown_in_crashes", sum(r.unknown_in_crashes for r in results), "calls"),
    ]
