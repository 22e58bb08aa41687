"""Cost and speed of configuration distribution with real processes on loopback.

The nodes run without upstreams, so all that they use is spent on the control plane.  Figures for
the target rate of 780 changes a day are the idle cost plus the cost of one change times that rate.
"""

import asyncio
import signal
import statistics
import subprocess
import sys
import time

import attrs
import psutil

from bench.deployments import wide_deployment
from bench.fleet import Fleet, started_fleet
from bench.measures import Measure
from bench.processes import Node
from bench.sockets import SocketCounter
from ibisrack.testing.fixtures import many_services_rules

SERVICES = 250
TARGET_CHANGES_PER_S = 780 / 86_400
CHANGE_COUNT = 6
CHANGE_INTERVAL_S = 2.0
IDLE_WINDOW_S = 12.0
POLL_INTERVAL_S = 0.25
MAX_CONVERGENCE_S = 12.0
MAX_BYTES_PER_S = 3000.0
MAX_CPU_PERCENT = 3.5
MAX_MEMORY_MB = 64.0

# Zones and nodes per zone; the bounds hold for every size.
FLEET_SIZES = ((12, 3), (12, 6), (12, 12))

_MEASURES_BY_SIZE = (
    "convergence_time_s",
    "convergence_median_s",
    "convergence_time_one_in_ten_killed_s",
    "control_bytes_per_node_s",
    "control_cpu_percent",
    "control_memory_mb",
)
MEASURES = (
    *(
        f"{name}_{zones * nodes}_nodes"
        for name in _MEASURES_BY_SIZE
        for zones, nodes in FLEET_SIZES
    ),
    *_MEASURES_BY_SIZE,
    "control_memory_bare_libraries_mb",
)


@attrs.frozen
class ResourceUse:
    """Resources used by a node in a window.

    Attributes:
      bytes: Bytes sent and received over its sockets.
      cpu_s: Processor time.
    """

    bytes: float
    cpu_s: float


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


async def _measure_max_use(fleet: Fleet, coroutine) -> ResourceUse:
    """Runs a coroutine and returns the largest use of each resource among the nodes."""
    processes = [psutil.Process(node.handle.pid) for node in fleet.nodes]
    admin_ports = frozenset(node.settings["listen"]["admin_port"] for node in fleet.nodes)
    counter = SocketCounter(frozenset(process.pid for process in processes), admin_ports)
    await asyncio.to_thread(counter.poll)
    bytes_before = counter.totals()
    cpu_before = {process.pid: _cpu_s(process) for process in processes}
    task = asyncio.ensure_future(coroutine)
    while not task.done():
        await asyncio.wait([task], timeout=POLL_INTERVAL_S)
        await asyncio.to_thread(counter.poll)
    task.result()
    totals = counter.totals()
    return ResourceUse(
        max(totals[pid] - bytes_before[pid] for pid in totals),
        max(_cpu_s(process) - cpu_before[process.pid] for process in processes),
    )


async def _activation_times(fleet: Fleet, revision: int, nodes: list[Node]) -> list[float]:
    """Returns the wall times in seconds at which nodes put a revision or a later one in force."""
    await fleet.wait_for_revision(revision, nodes)
    times = []
    for node in nodes:
        events = [e for e in await fleet.events(node) if e["kind"] == "VersionActivated"]
        event = next(e for e in events if e["event"]["revision"] >= revision)
        times.append(event["stamp"]["wall_ms"] / 1000)
    return times


async def _publish(fleet: Fleet, note: str, nodes: list[Node] | None = None) -> list[float]:
    """Publishes a change and returns the seconds until each node had it in force."""
    start_s = time.time()
    revision = await fleet.publish("rules", many_services_rules(SERVICES, note))
    times = await _activation_times(fleet, revision, nodes or fleet.nodes)
    return [max(0.0, activated_at_s - start_s) for activated_at_s in times]


async def _publish_many(fleet: Fleet, results: list[list[float]]) -> None:
    for number in range(CHANGE_COUNT):
        publish = _publish(fleet, f"change {number}")
        times, _ = await asyncio.gather(publish, asyncio.sleep(CHANGE_INTERVAL_S))
        results.append(times)


async def _publish_while_killing(fleet: Fleet) -> list[float]:
    """Kills one node in ten while a change spreads; returns the times of the other nodes."""
    killed = fleet.nodes[::10]
    alive = [node for node in fleet.nodes if node not in killed]
    task = asyncio.ensure_future(_publish(fleet, "while nodes die", alive))
    for node in killed:
        node.signal(signal.SIGKILL)
    return await task


def _bare_libraries_mb() -> float:
    code = (
        "import aiohttp.web, attrs, cattrs, msgspec, transitions, aioprometheus\n"
        "import absl.app, pythonjsonlogger.json, psutil\n"
        "print(psutil.Process().memory_info().rss)"
    )
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    return int(output.stdout) / 1e6


async def _measure_fleet(zones: int, nodes_per_zone: int) -> dict[str, float]:
    rules = many_services_rules(SERVICES, "start")
    async with started_fleet(
        wide_deployment(zones, nodes_per_zone, rules), upstreams=False
    ) as fleet:
        await asyncio.sleep(3.0)
        idle = await _measure_max_use(fleet, asyncio.sleep(IDLE_WINDOW_S))
        results: list[list[float]] = []
        changes = await _measure_max_use(
            fleet,
            _run_for_at_least(_publish_many(fleet, results), CHANGE_COUNT * CHANGE_INTERVAL_S),
        )
        memory = max(psutil.Process(n.handle.pid).memory_info().rss for n in fleet.nodes)
        slowest_s = max(max(times) for times in results)
        median_s = statistics.median(t for times in results for t in times)
        killed = await _publish_while_killing(fleet)
    per_change = ResourceUse(
        max(0.0, changes.bytes - idle.bytes * CHANGE_COUNT * CHANGE_INTERVAL_S / IDLE_WINDOW_S)
        / CHANGE_COUNT,
        max(0.0, changes.cpu_s - idle.cpu_s * CHANGE_COUNT * CHANGE_INTERVAL_S / IDLE_WINDOW_S)
        / CHANGE_COUNT,
    )
    return {
        "convergence_time_s": slowest_s,
        "convergence_median_s": median_s,
        "convergence_time_one_in_ten_killed_s": max(killed),
        "control_bytes_per_node_s": idle.bytes / IDLE_WINDOW_S
        + per_change.bytes * TARGET_CHANGES_PER_S,
        "control_cpu_percent": 100
        * (idle.cpu_s / IDLE_WINDOW_S + per_change.cpu_s * TARGET_CHANGES_PER_S),
        "control_memory_mb": memory / 1e6,
    }


async def _run_for_at_least(coroutine, min_duration_s: float) -> None:
    """Runs a coroutine and waits until a minimum time has passed."""
    await asyncio.gather(coroutine, asyncio.sleep(min_duration_s))


_UNITS_AND_BOUNDS = {
    "convergence_time_s": ("s", MAX_CONVERGENCE_S),
    "convergence_median_s": ("s", None),
    "convergence_time_one_in_ten_killed_s": ("s", MAX_CONVERGENCE_S),
    "control_bytes_per_node_s": ("B/s", MAX_BYTES_PER_S),
    "control_cpu_percent": ("%", MAX_CPU_PERCENT),
    "control_memory_mb": ("MB", MAX_MEMORY_MB),
}


def run() -> list[Measure]:
    """Measures each fleet size; a measure without a size is the worst over all sizes."""
    measures = []
    worst: dict[str, float] = {}
    for zones, nodes_per_zone in FLEET_SIZES:
        values = asyncio.run(_measure_fleet(zones, nodes_per_zone))
        for name, value in values.items():
            unit, bound = _UNITS_AND_BOUNDS[name]
            worst[name] = max(worst.get(name, 0.0), value)
            sized = f"{name}_{zones * nodes_per_zone}_nodes"
            measures.append(Measure(sized, value, unit, at_most=bound))
    for name, value in worst.items():
        unit, bound = _UNITS_AND_BOUNDS[name]
        measures.append(Measure(name, value, unit, at_most=bound))
    bare = _bare_libraries_mb()
    measures.append(Measure("control_memory_bare_libraries_mb", bare, "MB"))
    return measures
