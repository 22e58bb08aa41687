"""Reads of the platform, spreading of leaving marks, and wrong verdicts about members.

Reads and spreading are measured with real processes on loopback.  Rounds and wrong verdicts come
from stepping the decisions of many nodes in one process with fixed seeds.
"""

import asyncio
import json
import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import attrs

from bench.deployments import wide
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
SIZES = (1, 3)  # Nodes in each zone.
STEADY_S = 20.0
PEAK_BOUND = 200
# A small part of the 2,000 reads a second that the platform bears for the whole fleet.
STEADY_BOUND = 50
SPREAD_BOUND_S = 3.0

FLEET_SIZE = 1300
SEEDS = (11, 12, 13, 14, 15)
STEPPED_SIZE = 48
LOSS = 0.05
QUIET_S = 120.0
UNREST_ROUNDS = 12

_SIZED = ("platform_reads_steady_s", "platform_reads_peak_s", "leaving_spread_s")
MEASURES = (
    *(f"{name}_{ZONES * size}_nodes" for name in _SIZED for size in SIZES),
    *_SIZED,
    "leaving_rounds_1300",
    "false_dead",
    "revived_leaving",
)


async def _steady_reads_s(fleet: Fleet) -> float:
    """Returns the reads a second of a fleet in which nothing changes."""
    before = (await fleet.platform_stats())["calls"]
    await asyncio.sleep(STEADY_S)
    return ((await fleet.platform_stats())["calls"] - before) / STEADY_S


async def _leaving_spread_s(fleet: Fleet) -> float:
    """Marks a host as leaving; returns the time until the last node knew."""
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
    """Kills every node and starts all of them together."""
    await asyncio.gather(*(node.kill() for node in fleet.nodes))
    await asyncio.gather(*(node.start(fleet.folder) for node in fleet.nodes))
    await fleet.wait_for_revision(1)


async def _measure_processes(nodes_per_zone: int) -> dict[str, float]:
    rules = many_services_rules(ZONES)
    async with started_fleet(wide(ZONES, nodes_per_zone, rules), upstreams=False) as fleet:
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


_BOUNDS = {
    "platform_reads_steady_s": ("reads/s", STEADY_BOUND),
    "platform_reads_peak_s": ("reads/s", PEAK_BOUND),
    "leaving_spread_s": ("s", SPREAD_BOUND_S),
}


def _process_measures() -> list[Measure]:
    """Measures each size; the measures without a size are the worst of all sizes."""
    measures = []
    worst: dict[str, float] = {}
    for size in SIZES:
        for name, value in asyncio.run(_measure_processes(size)).items():
            unit, bound = _BOUNDS[name]
            worst[name] = max(worst.get(name, 0.0), value)
            measures.append(Measure(f"{name}_{ZONES * size}_nodes", value, unit, at_most=bound))
    for name, value in worst.items():
        unit, bound = _BOUNDS[name]
        measures.append(Measure(name, value, unit, at_most=bound))
    return measures


def _mark_leaving(fleet: MembershipFleet, node_id: str, by: str) -> bool:
    node = fleet.nodes[by]
    known = node.members.get(node_id)
    return known is not None and node.learn(attrs.evolve(known, leaving=True), fleet.now)


def _leaving_rounds() -> int:
    """Returns the rounds of news after which all nodes of the target size know a leaving mark."""
    fleet = create_converged_fleet(FLEET_SIZE, ZONES, SEEDS[0])
    victim, *_, reader = fleet.nodes
    _mark_leaving(fleet, victim, by=reader)
    rounds = 0
    while not all(node.members.get(victim).leaving for node in fleet.nodes.values()):
        fleet.send_updates()
        rounds += 1
        if rounds > FLEET_SIZE:
            break
    return rounds


def _false_dead(seed: int) -> int:
    """Returns the deaths recorded in a run without failures, with exchanges lost at random."""
    fleet = create_converged_fleet(STEPPED_SIZE, ZONES, seed, LOSS)
    fleet.run(QUIET_S)
    events = [entry.event for node in fleet.nodes.values() for entry in node.log.entries()]
    return sum(getattr(event, "state", "") == "DEAD" for event in events)


@attrs.define
class _Unrest:
    """A run with partitions, pauses, leaving hosts and late news; counts revived hosts."""

    fleet: MembershipFleet
    rng: Random
    left: set[str] = attrs.field(factory=set)
    revived: int = 0
    _known: set[tuple[str, str]] = attrs.field(factory=set)
    _old: list[MemberRecord] = attrs.field(factory=list)

    def run(self) -> int:
        """Runs all rounds and returns the count of revived hosts."""
        self._old = [node.members.own() for node in self.fleet.nodes.values()]
        for _ in range(UNREST_ROUNDS):
            self._disturb()
            for _ in range(40):
                self._late_news()
                self.fleet.step()
                self._look()
        return self.revived

    def _disturb(self) -> None:
        """Changes who runs, who reaches whom and who leaves."""
        fleet = self.fleet
        fleet.stopped = set(self.rng.sample(sorted(fleet.nodes), 3))
        zone = f"zone-{self.rng.randrange(ZONES):02d}"
        fleet.partition = set(node_ids_of_zone(fleet, zone)) if self.rng.random() < 0.5 else set()
        marking = self.rng.choice(fleet.running()).members.own_id
        leaving = self.rng.choice(sorted(fleet.nodes))
        if _mark_leaving(fleet, leaving, by=marking):
            self.left.add(leaving)

    def _late_news(self) -> None:
        """Delivers a record as it was at the start, or with a few refutations since."""
        record = attrs.evolve(self.rng.choice(self._old), incarnation=self.rng.randrange(9))
        sender, receiver = self.rng.sample(self.fleet.running(), 2)
        if record.node_id != receiver.members.own_id:
            receiver.learn(record, self.fleet.now, sender.members.own_id)

    def _look(self) -> None:
        """Counts the pairs of a node and a host whose leaving mark is gone."""
        for node in self.fleet.nodes.values():
            for node_id in self.left:
                pair = (node.members.own_id, node_id)
                record = node.members.get(node_id)
                if record is not None and record.leaving:
                    self._known.add(pair)
                elif record is not None and pair in self._known:
                    self.revived += 1


def _revived(seed: int) -> int:
    """Returns the revived hosts of one run with failures."""
    return _Unrest(create_converged_fleet(STEPPED_SIZE, ZONES, seed, LOSS), Random(seed)).run()


@contextmanager
def _without_logs() -> Iterator[None]:
    """Keeps the event logs of thousands of stepped nodes out of the output."""
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
    """Measures the processes, then the stepped fleets."""
    return [*_process_measures(), *_stepped_measures()]
