"""Carries out faults on a fleet; each is recorded with its time and the sidecars it affects."""

import asyncio
import signal
import time
from contextlib import suppress
from functools import singledispatch

from bench.sidecars import GRACE_S
from bench.soak.checks import DRAIN_MARGIN_S, DRAIN_S
from bench.soak.faults import (
    BlockLink,
    BlockStore,
    ChangeConfiguration,
    DelayLink,
    DelayStore,
    FailStore,
    Fault,
    ForgetHistory,
    HangUp,
    KillProcess,
    PauseProcess,
    ReplaceInstance,
    ResetLink,
    StopProcess,
    TimedFault,
)
from bench.soak.fleet import Member, SoakFleet
from bench.soak.history import Drain, Kind
from bench.soak.proxy import STORE, Path
from ibisrack.instances.model import InstanceState

RESTART_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 3.0  # Longer than any request lasts.
IDLE_POLL_S = 0.02


async def inject_all(fleet: SoakFleet, plan: list[TimedFault]) -> None:
    """Injects all faults of a plan and waits until they have ended."""
    async with asyncio.TaskGroup() as group:
        for timed in plan:
            group.create_task(_inject_at(timed, fleet))


async def _inject_at(timed: TimedFault, fleet: SoakFleet) -> None:
    await asyncio.sleep(timed.at_s)
    kind, nodes = disturbed(timed.fault, fleet)
    with fleet.history.disturbance(kind, repr(timed.fault), *nodes):
        await inject(timed.fault, fleet)


@singledispatch
def disturbed(fault: Fault, fleet: SoakFleet) -> tuple[Kind, tuple[int, ...]]:
    """Returns the kind of disturbance that a fault is, and the sidecars that it affects."""
    raise TypeError(f"unknown fault {type(fault).__name__}")


@disturbed.register(DelayLink)
@disturbed.register(BlockLink)
@disturbed.register(ResetLink)
def _(fault, fleet: SoakFleet) -> tuple[Kind, tuple[int, ...]]:
    return Kind.UNPLANNED, (fault.source, fault.target)


@disturbed.register(PauseProcess)
@disturbed.register(KillProcess)
def _(fault, fleet: SoakFleet) -> tuple[Kind, tuple[int, ...]]:
    return Kind.UNPLANNED, (fault.node,)


@disturbed.register(StopProcess)
@disturbed.register(HangUp)
@disturbed.register(ReplaceInstance)
def _(fault, fleet: SoakFleet) -> tuple[Kind, tuple[int, ...]]:
    return Kind.PLANNED, (fault.node,)


@disturbed.register
def _(fault: ChangeConfiguration, fleet: SoakFleet) -> tuple[Kind, tuple[int, ...]]:
    return Kind.PLANNED, tuple(fleet.members)


@disturbed.register(DelayStore)
@disturbed.register(BlockStore)
def _(fault, fleet: SoakFleet) -> tuple[Kind, tuple[int, ...]]:
    return Kind.STORE, fault.nodes


@disturbed.register(FailStore)
@disturbed.register(ForgetHistory)
def _(fault, fleet: SoakFleet) -> tuple[Kind, tuple[int, ...]]:
    return Kind.STORE, tuple(fleet.members)


@singledispatch
async def inject(fault: Fault, fleet: SoakFleet) -> None:
    """Carries out a fault and waits until it has ended."""
    raise TypeError(f"unknown fault {type(fault).__name__}")


@inject.register
async def _(fault: DelayLink, fleet: SoakFleet) -> None:
    await _delay(_both_ways(fleet, fault.source, fault.target), fault.delay_s, fault.duration_s)


@inject.register
async def _(fault: BlockLink, fleet: SoakFleet) -> None:
    paths = _both_ways(fleet, fault.source, fault.target)
    await _block(paths if fault.both_ways else paths[:1], fault.duration_s)


@inject.register
async def _(fault: ResetLink, fleet: SoakFleet) -> None:
    for _ in range(fault.count):
        fleet.network.reset(fault.source, fault.target)
        await asyncio.sleep(fault.interval_s)


@inject.register
async def _(fault: StopProcess, fleet: SoakFleet) -> None:
    member = fleet.members[fault.node]
    process = member.sidecar.process
    ending = asyncio.create_task(process.wait())
    kill_at_s = time.monotonic() + GRACE_S
    for _ in range(fault.signals):
        if process is member.sidecar.process:
            member.end(signal.SIGTERM)
        await asyncio.wait((ending,), timeout=fault.interval_s)
    await asyncio.wait((ending,), timeout=kill_at_s - time.monotonic())
    if not ending.done() and process is member.sidecar.process:
        member.end(signal.SIGKILL)
    await ending
    await _restart(fleet, member, fault.restart_after_s)


@inject.register
async def _(fault: KillProcess, fleet: SoakFleet) -> None:
    member = fleet.members[fault.node]
    member.end(signal.SIGKILL)
    await member.sidecar.process.wait()
    await _restart(fleet, member, fault.restart_after_s)


@inject.register
async def _(fault: PauseProcess, fleet: SoakFleet) -> None:
    sidecar = fleet.members[fault.node].sidecar
    sidecar.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_s)
    sidecar.signal(signal.SIGCONT)


@inject.register
async def _(fault: FailStore, fleet: SoakFleet) -> None:
    store = fleet.store
    store.error_status, store.silent = fault.status, fault.status == 0
    await asyncio.sleep(fault.duration_s)
    store.error_status, store.silent = 0, False


@inject.register
async def _(fault: DelayStore, fleet: SoakFleet) -> None:
    paths = tuple(fleet.network.path(node, STORE) for node in fault.nodes)
    await _delay(paths, fault.delay_s, fault.duration_s)


@inject.register
async def _(fault: BlockStore, fleet: SoakFleet) -> None:
    paths = tuple(path for node in fault.nodes for path in _both_ways(fleet, node, STORE))
    await _block(paths, fault.duration_s)


@inject.register
async def _(fault: ForgetHistory, fleet: SoakFleet) -> None:
    fleet.store.drop_history()


@inject.register
async def _(fault: ChangeConfiguration, fleet: SoakFleet) -> None:
    for _ in range(fault.count):
        fleet.publish()
        await asyncio.sleep(fault.interval_s)


@inject.register
async def _(fault: HangUp, fleet: SoakFleet) -> None:
    member = fleet.members[fault.node]
    for number in range(fault.count):
        settings = member.sidecar.placement.settings(retry_slack=60 + number)
        member.sidecar.write_settings(settings)
        # SIGHUP ends a process that has not yet set its handler.
        if member.responded:
            member.sidecar.signal(signal.SIGHUP)
        await asyncio.sleep(fault.interval_s)


@inject.register
async def _(fault: ReplaceInstance, fleet: SoakFleet) -> None:
    member = fleet.members[fault.node]
    stand_in, history = member.instance.stand_in, fleet.history
    old_id = stand_in.instance_id
    fleet.register(member, InstanceState.DRAINING)
    acknowledged_at_s = time.monotonic()
    await asyncio.sleep(DRAIN_S + DRAIN_MARGIN_S + fault.extra_life_s)
    with suppress(TimeoutError):
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            while member.instance.busy:
                await asyncio.sleep(IDLE_POLL_S)
    if stand_in.instance_id != old_id:
        return  # A replacement that began earlier has ended it.
    stand_in.instance_id = f"{old_id.partition('+')[0]}+{len(history.drains)}"
    history.drains.append(Drain(old_id, member.number, acknowledged_at_s, time.monotonic()))
    fleet.store.delete(f"servers/{old_id}")
    fleet.register(member)


async def _restart(fleet: SoakFleet, member: Member, after_s: float) -> None:
    await asyncio.sleep(after_s)
    await member.start()
    with suppress(TimeoutError):
        async with asyncio.timeout(RESTART_TIMEOUT_S):
            while member.sidecar.running and not await member.sidecar.is_ready(fleet.session):
                await asyncio.sleep(IDLE_POLL_S)


def _both_ways(fleet: SoakFleet, source: int, target: int) -> tuple[Path, Path]:
    return fleet.network.path(source, target), fleet.network.path(target, source)


async def _delay(paths: tuple[Path, ...], delay_s: float, duration_s: float) -> None:
    for path in paths:
        path.delay_s += delay_s
    await asyncio.sleep(duration_s)
    for path in paths:
        path.delay_s -= delay_s


async def _block(paths: tuple[Path, ...], duration_s: float) -> None:
    for path in paths:
        path.block(1)
    await asyncio.sleep(duration_s)
    for path in paths:
        path.block(-1)
