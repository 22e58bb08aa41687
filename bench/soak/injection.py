"""Carries out faults on a fleet; each is recorded with its time and the sidecars it affects."""

import asyncio
import signal
import time
from contextlib import suppress
from functools import singledispatch

from bench.sidecars import GRACE_S
from bench.soak.bounds import DRAIN_MARGIN_S, DRAIN_S
from bench.soak.callers import DEADLY_NOT_REPEATABLE, DEADLY_REPEATABLE, LONG_REQUESTS, send_once
from bench.soak.faults import (
    BlockPaths,
    ChangeConfiguration,
    CutWatches,
    DelayPaths,
    EvacuateZone,
    FailStore,
    Fault,
    ForgetHistory,
    GrowConfiguration,
    HangUp,
    KillProcess,
    LeaveOddEntry,
    LimitInstance,
    PauseProcess,
    RemoveInstance,
    ReplaceInstance,
    ResetLink,
    RestoreStore,
    SendDeadlyRequest,
    SendLongRequests,
    StopProcess,
    affected_ends,
    kind_of,
)
from bench.soak.fleet import Member, SoakFleet
from bench.soak.history import Drain, Evacuation, Limit
from bench.soak.instances import Work
from bench.soak.plan import TimedFault
from ibisrack.instances.model import InstanceState
from ibisrack.standins.instance import RequestContent, digest
from ibisrack.standins.odd_entries import odd_instance_entry

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
    nodes = affected_ends(timed.fault) or fleet.members
    kind, stops_process = kind_of(timed.fault), isinstance(timed.fault, StopProcess)
    with fleet.history.disturbance(kind, repr(timed.fault), *nodes, stops_process=stops_process):
        await inject(timed.fault, fleet)


@singledispatch
async def inject(fault: Fault, fleet: SoakFleet) -> None:
    """Carries out a fault and waits until it has ended."""
    raise TypeError(f"unknown fault {type(fault).__name__}")


@inject.register
async def _(fault: DelayPaths, fleet: SoakFleet) -> None:
    paths = [fleet.network.path(*e) for ends in fault.ends for e in (ends, ends[::-1])]
    for path in paths:
        path.delay_s += fault.delay_s
    await asyncio.sleep(fault.duration_s)
    for path in paths:
        path.delay_s -= fault.delay_s


@inject.register
async def _(fault: BlockPaths, fleet: SoakFleet) -> None:
    paths = [fleet.network.path(*ends) for ends in fault.ends]
    for path in paths:
        path.block(1)
    await asyncio.sleep(fault.duration_s)
    for path in paths:
        path.block(-1)


@inject.register
async def _(fault: ResetLink, fleet: SoakFleet) -> None:
    for _ in range(fault.count):
        fleet.network.reset(fault.ends)
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
async def _(fault: CutWatches, fleet: SoakFleet) -> None:
    fleet.store.cut_after_s = fault.after_s
    await asyncio.sleep(fault.duration_s)
    fleet.store.cut_after_s = None


@inject.register
async def _(fault: ForgetHistory, fleet: SoakFleet) -> None:
    fleet.store.drop_history()


@inject.register
async def _(fault: ChangeConfiguration, fleet: SoakFleet) -> None:
    for _ in range(fault.count):
        fleet.publish()
        await asyncio.sleep(fault.interval_s)


@inject.register
async def _(fault: GrowConfiguration, fleet: SoakFleet) -> None:
    for _ in range(fault.steps):
        fleet.filler_routes += fault.routes
        fleet.publish()
        await asyncio.sleep(fault.interval_s)


@inject.register
async def _(fault: SendLongRequests, fleet: SoakFleet) -> None:
    async with asyncio.TaskGroup() as group:
        for number in range(int(fault.duration_s / fault.interval_s)):
            traffic = LONG_REQUESTS[number % len(LONG_REQUESTS)]
            for member in fleet.members.values():
                path = traffic.prefix + Work(traffic.work_ms[1], 100, 200).encode()
                group.create_task(send_once(fleet, member, traffic, path, b""))
            await asyncio.sleep(fault.interval_s)


@inject.register
async def _(fault: HangUp, fleet: SoakFleet) -> None:
    member = fleet.members[fault.node]
    for number in range(fault.count):
        member.sidecar.write_settings(member.sidecar.placement.settings(60 + number))
        # SIGHUP ends a process that has not yet set its handler.
        if member.responded:
            member.sidecar.signal(signal.SIGHUP)
        await asyncio.sleep(fault.interval_s)


@inject.register
async def _(fault: ReplaceInstance, fleet: SoakFleet) -> None:
    member = fleet.members[fault.node]
    fleet.register(member, InstanceState.DRAINING)
    await _replace_instance(fleet, member, fault.extra_life_s)


@inject.register
async def _(fault: RemoveInstance, fleet: SoakFleet) -> None:
    member = fleet.members[fault.node]
    fleet.store.delete(f"servers/{member.instance.stand_in.instance_id}")
    await _replace_instance(fleet, member, fault.extra_life_s)


async def _replace_instance(fleet: SoakFleet, member: Member, extra_life_s: float) -> None:
    """Replaces an instance that leaves by another one, after its time to drain."""
    history, stand_in = fleet.history, member.instance.stand_in
    old_id, acknowledged_at_s = stand_in.instance_id, time.monotonic()
    stand_in.leaving = True
    await asyncio.sleep(DRAIN_S + DRAIN_MARGIN_S + extra_life_s)
    with suppress(TimeoutError):
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            while member.instance.busy:
                await asyncio.sleep(IDLE_POLL_S)
    if stand_in.instance_id != old_id:
        return  # A replacement that began earlier has ended it.
    stand_in.begin_incarnation()
    history.drains.append(Drain(old_id, member.number, acknowledged_at_s, time.monotonic()))
    fleet.replace_entry(member, old_id)


@inject.register
async def _(fault: LimitInstance, fleet: SoakFleet) -> None:
    stand_in = fleet.members[fault.node].instance.stand_in
    if stand_in.limit_per_s is not None:
        return  # Another limit is in force.
    instance_id, started_at_s = stand_in.instance_id, time.monotonic()
    stand_in.limit_per_s = fault.limit_per_s
    await asyncio.sleep(fault.duration_s)
    if stand_in.instance_id != instance_id:
        return  # A replacement has ended the limit.
    stand_in.limit_per_s = None
    fleet.history.limits.append(
        Limit(instance_id, fault.node, fault.limit_per_s, started_at_s, time.monotonic())
    )


@inject.register
async def _(fault: RestoreStore, fleet: SoakFleet) -> None:
    store, copy = fleet.store, fleet.store.copy()
    await asyncio.sleep(fault.age_s)
    store.error_status = 503
    await asyncio.sleep(fault.down_s)
    store.restore(copy)
    store.error_status = 0
    await asyncio.sleep(fault.rewrite_after_s)
    fleet.rewrite()


@inject.register
async def _(fault: LeaveOddEntry, fleet: SoakFleet) -> None:
    key = f"servers/a-{fault.kind}"  # Listings have it before the sound entries.
    fleet.store.put(key, odd_instance_entry(fault.kind, fault.service, fault.zone))
    fleet.publish()  # One answer of the store has the odd entry and, after it, the new version.
    await asyncio.sleep(fault.duration_s)
    fleet.store.delete(key)


@inject.register
async def _(fault: SendDeadlyRequest, fleet: SoakFleet) -> None:
    first = fleet.members[fault.nodes[0]]
    traffic = DEADLY_REPEATABLE if fault.repeatable else DEADLY_NOT_REPEATABLE
    path = f"{traffic.prefix}{fault.number}/{Work(5, 100, 200).encode()}"
    body = b"" if fault.repeatable else b"deadly"
    content = RequestContent(traffic.method, path, first.sidecar.placement.service, digest(body))
    for member in fleet.members.values():
        member.instance.stand_in.down_s = fault.down_s
    fleet.deadly.add(content)
    async with asyncio.TaskGroup() as group:
        for number in range(int(fault.duration_s / fault.interval_s)):
            member = fleet.members[fault.nodes[number % len(fault.nodes)]]
            for sent_body in (body, body + b" of another request"):
                group.create_task(send_once(fleet, member, traffic, path, sent_body))
            await asyncio.sleep(fault.interval_s)
    fleet.deadly.discard(content)
    instances = [member.instance.stand_in for member in fleet.members.values()]
    while any(stand_in.is_down for stand_in in instances):
        await asyncio.sleep(IDLE_POLL_S)


@inject.register
async def _(fault: EvacuateZone, fleet: SoakFleet) -> None:
    placements = {n: m.sidecar.placement for n, m in fleet.members.items()}
    nodes = frozenset(n for n, placement in placements.items() if placement.zone == fault.zone)
    fleet.evacuate(fault.zone)
    acknowledged_at_s = time.monotonic()
    await asyncio.sleep(fault.duration_s)
    ended_at_s = time.monotonic()
    fleet.take_back(fault.zone)
    fleet.history.evacuations.append(Evacuation(fault.zone, nodes, acknowledged_at_s, ended_at_s))


async def _restart(fleet: SoakFleet, member: Member, after_s: float) -> None:
    await asyncio.sleep(after_s)
    await member.start()
    with suppress(TimeoutError):
        async with asyncio.timeout(RESTART_TIMEOUT_S):
            while member.sidecar.running and not await member.sidecar.is_ready(fleet.session):
                await asyncio.sleep(IDLE_POLL_S)
