"""Runs of a simulated fleet with faults of the platform, the zones and the processes."""

from collections.abc import Callable, Iterable
from functools import singledispatch
from random import Random

import attrs

from ibisrack.node.state import NodeState
from ibisrack.platform.messages import PlatformValue
from ibisrack.testing.fixtures import PILBARA_RULES, bare_node
from ibisrack.testing.stepped_fleet import Delivery, Envelope, SteppedFleet, all_serving
from ibisrack.testing.version_checks import VersionChecks

ZONES = ("wa-1", "wa-2", "gt-1", "gt-2")
NODES_PER_ZONE = 3
MAX_START_STEPS = 100
FAULT_STEPS = 60
SETTLE_STEPS = 80
PAUSE_STEPS = 16  # 4 s: nodes treat a gap of 2 s between two ticks as a pause.
INVALID_LINE = (
    b"route GET notice-desk/escorts to=gone rank=x deadline_ms=9 idempotent=yes  # Ana: bad\n"
)


@attrs.define
class SimulatedPlatform:
    """The simulated platform.

    Attributes:
      rng: Source of every random choice.
      values: Published values, the current one last.
      answered_share: Share of the reads that are answered.
      visible_count: Number of values that readers see, from the oldest on; None for all.
      conflicting: Whether each read returns one of the last two visible values at random.
      published_count: Number of values published so far.
    """

    rng: Random
    values: list[PlatformValue] = attrs.field(factory=list)
    answered_share: float = 1.0
    visible_count: int | None = None
    conflicting: bool = False
    published_count: int = 0

    def publish(self, revision: int, content: bytes) -> None:
        """Publishes a value."""
        self.values.append(PlatformValue("rules", revision, content))
        self.published_count += 1

    def read(self) -> PlatformValue | None:
        """Returns the value that a read sees, None for no answer."""
        if not self.values or self.rng.random() >= self.answered_share:
            return None
        visible = self.values[: self.visible_count]
        return self.rng.choice(visible[-2:]) if self.conflicting else visible[-1]


@attrs.define
class FaultRun:
    """A simulated fleet, its platform and the network faults in effect.

    Attributes:
      rng: Source of every random choice.
      platform: The platform that the nodes read.
      checks: Invariants that are checked after each tick and each received frame of a node.
      fleet: The nodes.
      partitioned_pairs: Pairs of zones that don't reach each other; "platform" stands for the
        platform.
      dropped_share: Share of the frames that are dropped.
      delayed_share: Share of the frames that are delayed.
    """

    rng: Random
    platform: SimulatedPlatform
    checks: VersionChecks
    fleet: SteppedFleet
    partitioned_pairs: set[frozenset[str]] = attrs.field(factory=set)
    dropped_share: float = 0.0
    delayed_share: float = 0.0

    def zone(self, node_id: str) -> str:
        """Returns the zone of a node."""
        return node_id.rpartition("-")[0]

    def read(self, node_id: str) -> PlatformValue | None:
        """Answers a node's read unless its zone does not reach the platform."""
        if frozenset((self.zone(node_id), "platform")) in self.partitioned_pairs:
            return None
        return self.platform.read()

    def decide_delivery(self, envelope: Envelope) -> Delivery:
        """Decides how a frame is treated."""
        zones = frozenset((self.zone(envelope.source), self.zone(envelope.target)))
        draw = self.rng.random()
        if zones in self.partitioned_pairs or draw < self.dropped_share:
            return Delivery.DROP
        return (
            Delivery.DELAY if draw < self.dropped_share + self.delayed_share else Delivery.DELIVER
        )

    def publish(self, valid: bool = True, same_revision: bool = False) -> None:
        """Publishes a version whose content differs from all others.

        Args:
          valid: Whether the content is a valid rules file.
          same_revision: Whether the revision of the current value is used again.
        """
        revision = self.platform.values[-1].revision if self.platform.values else 0
        note = f"# version {self.platform.published_count}\n".encode()
        content = note + PILBARA_RULES + (b"" if valid else INVALID_LINE)
        revision += not same_revision
        self.checks.record_published(revision, content)
        self.platform.publish(revision, content)

    def run_steps(self, count: int) -> None:
        """Advances the fleet by a number of steps."""
        for _ in range(count):
            self.fleet.step()


@attrs.frozen
class PlatformDown:
    """The platform answers no read."""


@attrs.frozen
class PlatformSlow:
    """The platform answers one read in ten."""


@attrs.frozen
class PlatformStale:
    """Reads return old values while new ones are published."""


@attrs.frozen
class PlatformRolledBack:
    """The platform loses its latest values and issues their revisions again."""


@attrs.frozen
class ConflictingPublishers:
    """Two operators publish at the same time, sometimes with the same revision."""


@attrs.frozen
class ReorderedUpdates:
    """Frames are lost, delayed and reordered while versions are published in quick succession."""


@attrs.frozen
class AllNodesRestart:
    """All nodes restart at the same moment."""


@attrs.frozen
class NodesCrash:
    """Nodes crash and restart one at a time."""


@attrs.frozen
class ZonePartition:
    """The first zone is partitioned from others.

    Attributes:
      unreachable: Zones that it does not reach; "platform" stands for the platform.
    """

    unreachable: tuple[str, ...]


@attrs.frozen
class NodesPaused:
    """Some processes are suspended and later continue with outdated state."""


FAULTS = (
    PlatformDown(),
    PlatformSlow(),
    PlatformStale(),
    PlatformRolledBack(),
    ConflictingPublishers(),
    ReorderedUpdates(),
    AllNodesRestart(),
    NodesCrash(),
    ZonePartition(("platform",)),
    ZonePartition((ZONES[1],)),
    ZonePartition((*ZONES[1:], "platform")),
    NodesPaused(),
)


@singledispatch
def start_fault(fault: object, run: FaultRun) -> None:
    """Starts a fault."""
    raise TypeError(f"unknown fault {type(fault).__name__}")


@singledispatch
def step_fault(fault: object, run: FaultRun, step: int) -> None:
    """Advances a fault in each step of a run; most faults need no action."""


@start_fault.register
def _(fault: PlatformDown, run: FaultRun) -> None:
    run.platform.answered_share = 0.0


@start_fault.register
def _(fault: PlatformSlow, run: FaultRun) -> None:
    run.platform.answered_share = 0.1


@start_fault.register
def _(fault: PlatformStale, run: FaultRun) -> None:
    run.platform.visible_count = max(1, len(run.platform.values) - 2)


@start_fault.register
def _(fault: PlatformRolledBack, run: FaultRun) -> None:
    del run.platform.values[len(run.platform.values) // 2 + 1 :]


@start_fault.register
def _(fault: ConflictingPublishers, run: FaultRun) -> None:
    run.platform.conflicting = True


@step_fault.register
def _(fault: ConflictingPublishers, run: FaultRun, step: int) -> None:
    if step % 12 == 0:
        run.publish()
        run.publish(valid=run.rng.random() < 0.7, same_revision=run.rng.random() < 0.5)


@start_fault.register
def _(fault: ReorderedUpdates, run: FaultRun) -> None:
    run.dropped_share, run.delayed_share = 0.1, 0.3


@step_fault.register
def _(fault: ReorderedUpdates, run: FaultRun, step: int) -> None:
    if step % 3 == 0:
        run.publish(valid=run.rng.random() < 0.7)


@start_fault.register
def _(fault: AllNodesRestart, run: FaultRun) -> None:
    for node_id in list(run.fleet.nodes):
        run.fleet.start(node_id)


@start_fault.register
def _(fault: NodesCrash, run: FaultRun) -> None:
    """Does nothing; step_fault crashes the nodes."""


@step_fault.register
def _(fault: NodesCrash, run: FaultRun, step: int) -> None:
    for node_id, stepped in run.fleet.nodes.items():
        if not stepped.up:
            run.fleet.start(node_id)
    if step % 4 == 0:
        run.fleet.crash(run.rng.choice(list(run.fleet.nodes)))


@start_fault.register
def _(fault: ZonePartition, run: FaultRun) -> None:
    run.partitioned_pairs |= {frozenset((ZONES[0], zone)) for zone in fault.unreachable}


@start_fault.register
def _(fault: NodesPaused, run: FaultRun) -> None:
    """Does nothing; step_fault pauses the nodes."""


@step_fault.register
def _(fault: NodesPaused, run: FaultRun, step: int) -> None:
    if step % PAUSE_STEPS:
        return
    for stepped in run.fleet.nodes.values():
        stepped.paused = run.rng.random() < 0.3


def clear_faults(run: FaultRun) -> None:
    """Ends every fault and starts or resumes every node."""
    run.partitioned_pairs.clear()
    run.dropped_share = run.delayed_share = 0.0
    run.platform.answered_share, run.platform.visible_count, run.platform.conflicting = (
        1.0,
        None,
        False,
    )
    for node_id, stepped in list(run.fleet.nodes.items()):
        stepped.paused = False
        if not stepped.up:
            run.fleet.start(node_id)


def create_unstarted_run(
    seed: int, create: Callable[[str, str, str], NodeState] = bare_node
) -> FaultRun:
    """Returns a run whose nodes have not started yet.

    Args:
      seed: Seed of every random choice.
      create: Creates the state of a node from its id, zone and region.
    """
    rng = Random(seed)
    region = {zone: zone[:2] for zone in ZONES}

    def create_node_state(node_id: str) -> NodeState:
        zone = node_id.rpartition("-")[0]
        return create(node_id, zone, region[zone])

    checks = VersionChecks()
    fleet = SteppedFleet(create_node_state, rng, observe=checks.observe)
    run = FaultRun(rng, SimulatedPlatform(rng), checks, fleet)
    fleet.read, fleet.decide_delivery = run.read, run.decide_delivery
    fleet.seeds = tuple(f"{zone}-0" for zone in ZONES)
    return run


def create_serving_run(seed: int) -> FaultRun:
    """Returns a run whose nodes all take calls with the first version in force."""
    run = create_unstarted_run(seed)
    run.publish()
    for zone in ZONES:
        for number in range(NODES_PER_ZONE):
            run.fleet.start(f"{zone}-{number}")
    for _ in range(MAX_START_STEPS):
        if all_serving(run.fleet):
            return run
        run.fleet.step()
    raise AssertionError("some nodes do not take calls after the start")


def run_with_faults(seed: int, faults: Iterable[object]) -> FaultRun:
    """Runs a fleet with several faults at the same time, then clears the faults.

    Args:
      seed: Seed of every random choice.
      faults: The faults.
    """
    run = create_serving_run(seed)
    faults = tuple(faults)
    for _ in range(4):
        run.publish()
        run.run_steps(4)
    for fault in faults:
        start_fault(fault, run)
    for step in range(FAULT_STEPS):
        for fault in faults:
            step_fault(fault, run, step)
        if step % 10 == 5:
            run.publish(valid=run.rng.random() < 0.7)
        run.fleet.step()
    clear_faults(run)
    run.publish()
    run.run_steps(SETTLE_STEPS)
    return run
