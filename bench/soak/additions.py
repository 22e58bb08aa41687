"""Faults that a run has beyond those of its seed, if its settings name them."""

from collections.abc import Collection
from enum import StrEnum, auto
from random import Random

from bench.soak.faults import (
    BlockPaths,
    ChangeConfiguration,
    CutWatches,
    EvacuateZone,
    GrowConfiguration,
    KillProcess,
    LeaveOddEntry,
    RemoveInstance,
    ReplaceInstance,
    SendDeadlyRequest,
    SendLongRequests,
    StopProcess,
    kind_of,
)
from bench.soak.fleet import SERVICES, ZONES
from bench.soak.history import Kind
from bench.soak.plan import TimedFault, make_plan
from ibisrack.standins.odd_entries import OddEntry
from ibisrack.testing.tcp_proxy import STORE

LARGE_ROUTES = 5000  # About 1.3 MB of configuration.
SERIES_INTERVAL_S = 0.5  # Between the stops of a series.


class Addition(StrEnum):
    """Kinds of added faults."""

    LARGE_CONFIGURATION = auto()
    ODD_ENTRIES = auto()
    DEADLY_REQUESTS = auto()
    EVACUATIONS = auto()
    CUT_READS = auto()


def make_extended_plan(
    seed: int, duration_s: float, sidecars: int, additions: Collection[Addition]
) -> list[TimedFault]:
    """Returns the faults of a run and those that are added, in the order of their starts.

    Half of the seeds keep only their planned faults beside additions, because other faults excuse
    part of what the additions may break.
    """
    plan, nodes = make_plan(seed, duration_s, sidecars), range(1, sidecars + 1)
    if additions and Random(f"{seed} additions").random() < 0.5:
        plan = [timed for timed in plan if kind_of(timed.fault) is Kind.PLANNED]
    for addition in additions:
        plan += _MAKERS[addition](Random(f"{seed} {addition}"), nodes, duration_s)
    return sorted(plan, key=lambda timed: timed.at_s)


def _large_configuration(rng: Random, nodes: range, duration_s: float) -> list[TimedFault]:
    """Grows the configuration in steps, while processes end in series and start again."""
    at_s, steps = rng.uniform(1.0, duration_s / 3), rng.randint(3, 6)
    grow = GrowConfiguration(steps, LARGE_ROUTES // steps, rng.uniform(0.4, 1.5))
    large_from_s = at_s + grow.steps * grow.interval_s
    # A lost link with a pending request is opened again at once, as most are in a large fleet.
    plan = [TimedFault(at_s, grow), TimedFault(at_s, SendLongRequests(0.4, duration_s - at_s))]
    stops_from_s = large_from_s + rng.uniform(-1.0, 4.0)
    for number, node in enumerate(rng.sample(nodes, len(nodes) // 2)):
        stop = StopProcess(node, 1, 0.0, rng.uniform(0.0, 3.0))
        plan.append(TimedFault(stops_from_s + number * SERIES_INTERVAL_S, stop))
    for _ in range(2):
        killed_at_s = large_from_s + rng.uniform(0.0, duration_s / 3)
        plan.append(TimedFault(killed_at_s, KillProcess(rng.choice(nodes), rng.uniform(0.0, 3.0))))
        change = ChangeConfiguration(rng.randint(1, 2), rng.uniform(0.3, 1.5))
        plan.append(TimedFault(rng.uniform(stops_from_s, duration_s), change))
    return plan


def _odd_entries(rng: Random, nodes: range, duration_s: float) -> list[TimedFault]:
    """Leaves each kind of odd entry; while it is there, other entries change and a node starts."""
    plan = []
    for kind in OddEntry:
        at_s, odd_s = rng.uniform(2.0, duration_s - 4.0), rng.uniform(6.0, 10.0)
        entry = LeaveOddEntry(kind, rng.choice(SERVICES), rng.choice(ZONES), odd_s)
        plan += (
            TimedFault(at_s, entry),
            TimedFault(at_s + rng.uniform(-2.0, 1.0), ReplaceInstance(rng.choice(nodes), 0.5)),
            TimedFault(at_s + rng.uniform(-1.0, 1.0), StopProcess(rng.choice(nodes), 1, 0.0, 0.2)),
        )
    return plan


def _deadly_requests(rng: Random, nodes: range, duration_s: float) -> list[TimedFault]:
    """Sends one or two deadly requests, each through all sidecars with instances of a service."""
    plan = []
    for number in range(rng.randint(1, 2)):
        first = rng.choice(nodes)
        same_service = [n for n in nodes if (n - first) % len(SERVICES) == 0]
        deadly = SendDeadlyRequest(
            number=number,
            nodes=tuple(rng.sample(same_service, len(same_service))),
            repeatable=rng.random() < 0.6,
            interval_s=rng.uniform(0.1, 0.4),
            duration_s=rng.uniform(12.0, 20.0),
            down_s=rng.uniform(0.5, 3.0),
        )
        plan.append(TimedFault(rng.uniform(1.0, duration_s / 2), deadly))
    return plan


def _evacuations(rng: Random, nodes: range, duration_s: float) -> list[TimedFault]:
    """Evacuates one or two zones while versions come and a node starts anew."""
    plan = []
    for zone in rng.sample(ZONES, rng.randint(1, 2)):
        at_s, evacuated_s = rng.uniform(1.0, duration_s / 2), rng.uniform(8.0, 14.0)
        restart_at_s = at_s + rng.uniform(0.0, evacuated_s)
        plan += (
            TimedFault(at_s, EvacuateZone(zone, evacuated_s)),
            TimedFault(at_s + rng.uniform(-0.2, 0.2), ChangeConfiguration(2, 0.3)),
            TimedFault(restart_at_s, StopProcess(rng.choice(nodes), 1, 0.0, 0.2)),
        )
    return plan


def _cut_reads(rng: Random, nodes: range, duration_s: float) -> list[TimedFault]:
    """Cuts each node from the store in turn, and watches now and then, while instances leave."""
    plan, interval_s = [], duration_s / len(nodes)
    for number, node in enumerate(rng.sample(nodes, len(nodes))):
        at_s = 1.0 + number * interval_s
        ends = ((node, STORE), (STORE, node))
        plan.append(TimedFault(at_s, BlockPaths(ends, rng.uniform(2.0, 5.5))))
        leaving = rng.choice((RemoveInstance, ReplaceInstance))(rng.choice(nodes), 0.5)
        plan.append(TimedFault(at_s + rng.uniform(0.0, 0.5), leaving))
        plan.append(TimedFault(at_s + rng.uniform(0.0, 0.5), ChangeConfiguration(1, 0.0)))
    for _ in range(rng.randint(2, 3)):
        at_s, cut_s = rng.uniform(1.0, duration_s - 3.0), rng.uniform(0.5, 6.0)
        plan.append(TimedFault(at_s, CutWatches(rng.uniform(0.03, 0.97), cut_s)))
        leaving = RemoveInstance(rng.choice(nodes), 0.5)
        plan.append(TimedFault(at_s + rng.uniform(0.3, 1.0) * cut_s, leaving))
    return plan


_MAKERS = {
    Addition.LARGE_CONFIGURATION: _large_configuration,
    Addition.ODD_ENTRIES: _odd_entries,
    Addition.DEADLY_REQUESTS: _deadly_requests,
    Addition.EVACUATIONS: _evacuations,
    Addition.CUT_READS: _cut_reads,
}
