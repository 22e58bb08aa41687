"""Reads from the platform, propagation of leaving flags, and wrong member states.

Reads and propagation times are measured with real processes on loopback.  Rounds and wrong states
are counted while the decisions of many nodes are stepped in one process with fixed seeds.
"""

import asyncio
import json
import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import attrs

from bench.deployments import wide_deployment
from bench.fleet import Fleet, started_fleet
from bench.measures import Measure
from ibisrack.membership.gossip import transmit_limit
from ibisrack.membership.records import MemberRecord
from ibisrack.testing.fixtures import many_services_rules
from ibisrack.testing.membership_fleet import (
    MembershipFleet,
    create_converged_fleet,
    node_ids_of_zone,
)

ZONES = 12
NODES_PER_ZONE = (1, 3)
STEADY_S = 20.0
MAX_PEAK_READS_PER_S = 200
# A small part of the 2,000 reads a second that the platform supports for the whole fleet.
MAX_STEADY_READS_PER_S = 50
MAX_LEAVING_SPREAD_S = 3.0

FLEET_SIZE = 1300
SEEDS = (11, 12, 13, 14, 15)
STEPPED_FLEET_SIZE = 48
LOSS_RATE = 0.05  # Share of the exchanges that get no answer.
HEALTHY_RUN_S = 120.0
FAULT_ROUNDS = 12

_MEASURES_BY_SIZE = ("platform_reads_steady_s", "platform_reads_peak_s", "leaving_spread_s")
MEASURES = (
    *(f"{name}_{ZONES * size}_nodes" for name in _MEASURES_BY_SIZE for size in NODES_PER_ZONE),
    *_MEASURES_BY_SIZE,
    "leaving_rounds_1300",
    "false_dead",
    "revived_leaving",
)


async def _steady_reads_s(fleet: Fleet) -> float:
    """Returns the platform reads per second of a fleet in which nothing changes."""
    before = (await fleet.platform_stats())["calls"]
    await asyncio.sleep(STEADY_S)
    return ((await fleet.platform_stats())["calls"] - before) / STEADY_S


async def _leaving_spread_s(fleet: Fleet) -> float:
    """Marks a host as leaving; returns the time until the last node knows it."""
    leaving_id = fleet.nodes[-1].node_id
    hosts = [{"node_id": n.node_id, "leaving": n.node_id == leaving_id} for n in fleet.nodes]
    start_s = time.time()
    await fleet.publish("hosts", json.dumps(hosts).encode())
    known_at_s = [await _leaving_known_at_s(fleet, node, leaving_id) for node in fleet.nodes]
    return max(known_at_s) - start_s


async def _leaving_known_at_s(fleet: Fleet, node, leaving_id: str) -> float:
    """Returns the wall time at which a node learned that a host is leaving."""
    async with asyncio.timeout(30.0):
        while True:
            for entry in await fleet.events(node):
                event = entry["event"]
                if entry["kind"] == "MemberChanged" and event["node_id"] == leaving_id:
                    if event["leaving"]:
                        return entry["stamp"]["wall_ms"] / 1000
            await asyncio.sleep(0.2)


async def _restart_all(fleet: Fleet) -> None:
    """Kills all nodes and starts them again at the same time."""
    await asyncio.gather(*(node.kill() for node in fleet.nodes))
    await asyncio.gather(*(node.start(fleet.folder) for node in fleet.nodes))
    await fleet.wait_for_revision(1)


async def _measure_processes(nodes_per_zone: int) -> dict[str, float]:
    rules = many_services_rules(ZONES)
    async with started_fleet(
        wide_deployment(ZONES, nodes_per_zone, rules), upstreams=False
    ) as fleet:
        await asyncio.sleep(5.0)
        steady = await _steady_reads_s(fleet)
        spread_s = await _leaving_spread_s(fleet)
        await _restart_all(fleet)
        peak = (await fleet.platform_stats())["peak_calls_s"]
    return {
        "platform_reads_steady_s": steady,
        "platform_reads_peak_s": peak,
        "leaving_spread_s": spread_s,
    }


_UNITS_AND_BOUNDS = {
    "platform_reads_steady_s": ("reads/s", MAX_STEADY_READS_PER_S),
    "platform_reads_peak_s": ("reads/s", MAX_PEAK_READS_PER_S),
    "leaving_spread_s": ("s", MAX_LEAVING_SPREAD_S),
}


def _process_measures() -> list[Measure]:
    """Measures each fleet size; a measure without a size is the worst over all sizes."""
    measures = []
    worst: dict[str, float] = {}
    for nodes_per_zone in NODES_PER_ZONE:
        for name, value in asyncio.run(_measure_processes(nodes_per_zone)).items():
            unit, bound = _UNITS_AND_BOUNDS[name]
            worst[name] = max(worst.get(name, 0.0), value)
            measures.append(
                Measure(f"{name}_{ZONES * nodes_per_zone}_nodes", value, unit, at_most=bound)
            )
    for name, value in worst.items():
        unit, bound = _UNITS_AND_BOUNDS[name]
        measures.append(Measure(name, value, unit, at_most=bound))
    return measures


def _mark_leaving(fleet: MembershipFleet, node_id: str, marking_id: str) -> bool:
    """Lets a node learn that another one is leaving; returns whether it changed the record."""
    node = fleet.nodes[marking_id]
    known = node.members.get(node_id)
    return known is not None and node.apply_record(attrs.evolve(known, leaving=True), fleet.now)


def _leaving_rounds() -> int:
    """Returns the gossip rounds until all nodes of the target fleet know a leaving flag."""
    fleet = create_converged_fleet(FLEET_SIZE, ZONES, SEEDS[0])
    leaving_id, *_, marking_id = fleet.nodes
    _mark_leaving(fleet, leaving_id, marking_id=marking_id)
    rounds = 0
    while not all(node.members.get(leaving_id).leaving for node in fleet.nodes.values()):
        fleet.send_updates()
        rounds += 1
        if rounds > FLEET_SIZE:
            break
    return rounds


def _false_dead(seed: int) -> int:
    """Returns how often nodes are recorded as dead in a run with lost exchanges but no failures."""
    fleet = create_converged_fleet(STEPPED_FLEET_SIZE, ZONES, seed, LOSS_RATE)
    fleet.run(HEALTHY_RUN_S)
    events = [entry.event for node in fleet.nodes.values() for entry in node.log.entries()]
    return sum(getattr(event, "state", "") == "DEAD" for event in events)


@attrs.define
class _FaultRun:
    """A run with partitions, pauses, leaving hosts and stale records.

    Attributes:
      fleet: The nodes.
      rng: Source of all random draws.
      marked: Hosts that were marked as leaving.
      revived: Number of lost leaving flags, counted at each node and step.
    """

    fleet: MembershipFleet
    rng: Random
    marked: set[str] = attrs.field(factory=set)
    revived: int = 0
    _seen_leaving: set[tuple[str, str]] = attrs.field(factory=set)
    _initial_records: list[MemberRecord] = attrs.field(factory=list)

    def run(self) -> int:
        """Runs all rounds and returns the number of lost leaving flags."""
        self._initial_records = [node.members.own() for node in self.fleet.nodes.values()]
        for _ in range(FAULT_ROUNDS):
            self._inject_faults()
            for _ in range(40):
                self._deliver_stale_record()
                self.fleet.step()
                self._count_revived()
        return self.revived

    def _inject_faults(self) -> None:
        """Stops three other nodes, changes the partition and marks a host as leaving.

        The nodes that were stopped before run again.
        """
        fleet = self.fleet
        fleet.stopped = set(self.rng.sample(sorted(fleet.nodes), 3))
        zone = f"zone-{self.rng.randrange(ZONES):02d}"
        fleet.partition = set(node_ids_of_zone(fleet, zone)) if self.rng.random() < 0.5 else set()
        marking_id = self.rng.choice(fleet.running()).members.own_id
        leaving_id = self.rng.choice(sorted(fleet.nodes))
        if _mark_leaving(fleet, leaving_id, marking_id=marking_id):
            self.marked.add(leaving_id)

    def _deliver_stale_record(self) -> None:
        """Delivers an initial record with a random incarnation, as after some refutations."""
        record = attrs.evolve(
            self.rng.choice(self._initial_records), incarnation=self.rng.randrange(9)
        )
        sender, receiver = self.rng.sample(self.fleet.running(), 2)
        if record.node_id != receiver.members.own_id:
            receiver.apply_record(record, self.fleet.now, sender.members.own_id)

    def _count_revived(self) -> None:
        """Counts the nodes that lost the leaving flag of a host."""
        for node in self.fleet.nodes.values():
            for node_id in self.marked:
                pair = (node.members.own_id, node_id)
                record = node.members.get(node_id)
                if record is not None and record.leaving:
                    self._seen_leaving.add(pair)
                elif record is not None and pair in self._seen_leaving:
                    self.revived += 1


def _revived(seed: int) -> int:
    """Returns the lost leaving flags of one run with faults."""
    return _FaultRun(
        create_converged_fleet(STEPPED_FLEET_SIZE, ZONES, seed, LOSS_RATE), Random(seed)
    ).run()


@contextmanager
def _without_logs() -> Iterator[None]:
    """Disables logging, because the stepped nodes log thousands of events."""
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)


def _stepped_measures() -> list[Measure]:
    with _without_logs():
        rounds = _leaving_rounds()
        false_dead = sum(_false_dead(seed) for seed in SEEDS)
        revived = sum(_revived(seed) for seed in SEEDS)
    return [
        Measure("leaving_rounds_1300", rounds, "rounds", at_most=transmit_limit(FLEET_SIZE)),
        Measure("false_dead", false_dead, "members", at_most=0),
        Measure("revived_leaving", revived, "members", at_most=0),
    ]


def run() -> list[Measure]:
    """Measures the process fleets, then the stepped fleets."""
    return [*_process_measures(), *_stepped_measures()]
