"""Faults of the platform, the zones and the processes of a simulated fleet."""

from functools import singledispatch

import attrs

from ibisrack.testing.fault_run import ZONES, FaultRun

PAUSE_STEPS = 16  # 4 s: nodes treat a gap of 2 s between two ticks as a pause.


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
