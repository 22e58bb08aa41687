"""Workloads for the customers' present deployments, sent by separate caller processes."""

import asyncio
import json
import sys
from pathlib import Path

import attrs
import msgspec

from bench.fleet import Fleet
from bench.processes import HOST
from ibisrack.standins.caller import CallResult

CALLER_EXIT_TIMEOUT_S = 90.0  # Time for a caller to exit after the end of its traffic.


@attrs.frozen
class Workload:
    """Calls of one route, sent at random intervals.

    Attributes:
      name: Name in reports; unlike the rank, it distinguishes keyed calls from others.
      method: HTTP method.
      host: Host header.
      path: Path.
      calls_per_s: Mean rate at which calls are sent.
      idempotent: Whether a call may run more than once.
      urgent: Whether the route has the first rank of its service.
      work_ms: Duration of a call at the upstream.
      answer_bytes: Minimum size of the response body.
      keyed: Whether each call carries an idempotency key.
    """

    name: str
    method: str
    host: str
    path: str
    calls_per_s: float
    idempotent: bool = True
    urgent: bool = False
    work_ms: float = 3.0
    answer_bytes: int = 0
    keyed: bool = False


KEYED_WORKLOAD = "keyed"  # Name of the workloads whose calls carry idempotency keys.
_STREAMED_ANSWER_BYTES = 600_000  # More than a node buffers, so the response is streamed.

WORKLOADS: dict[str, tuple[Workload, ...]] = {
    "pilbara": (
        Workload("lodgement", "POST", "notice-desk", "/notices", 220, idempotent=False),
        Workload(
            KEYED_WORKLOAD, "POST", "notice-desk", "/notices/k", 60, idempotent=False, keyed=True
        ),
        Workload("approval", "GET", "notice-desk", "/approvals/12", 220, answer_bytes=40_000),
        Workload("curfew", "GET", "route-docs", "/curfews/9", 200),
        Workload("plan", "GET", "route-docs", "/plans/3", 150, answer_bytes=5_000),
        Workload("bulk", "GET", "route-docs", "/exports", 10, answer_bytes=_STREAMED_ANSWER_BYTES),
    ),
    "chapa-maya": (
        Workload("order", "POST", "tienda", "/orders", 220, idempotent=False),
        Workload(
            KEYED_WORKLOAD, "POST", "tienda", "/reservations", 60, idempotent=False, keyed=True
        ),
        Workload("lookup", "GET", "tienda", "/stock/4", 220, answer_bytes=5_000),
        Workload("photo", "GET", "archivo", "/photos/7", 200, answer_bytes=40_000),
        Workload("pricing", "GET", "tienda", "/pricing", 150),
        Workload("scan", "GET", "archivo", "/scans/2", 10, answer_bytes=_STREAMED_ANSWER_BYTES),
    ),
}


def _traffic_settings(workload: Workload, share: float) -> dict:
    return {
        "rank": workload.name,
        "method": workload.method,
        "host": workload.host,
        "path": workload.path,
        "calls_per_s": workload.calls_per_s * share,
        "work_ms": workload.work_ms,
        "answer_bytes": workload.answer_bytes,
        "keyed": workload.keyed,
    }


async def _run_caller(folder: Path, settings: dict) -> list[CallResult]:
    path = folder / f"{settings['name']}.json"
    results_path = folder / f"{settings['name']}-told.json"
    path.write_text(json.dumps({**settings, "told_file": str(results_path)}))
    command = [sys.executable, "-m", "ibisrack.bin.ibis_caller", f"--settings={path}"]
    process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.DEVNULL)
    try:
        async with asyncio.timeout(settings["duration_s"] + CALLER_EXIT_TIMEOUT_S):
            status = await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if status != 0:
        raise RuntimeError(f"caller {settings['name']} ended with status {status}")
    return msgspec.json.decode(results_path.read_bytes(), type=list[CallResult])


async def send_traffic(
    fleet: Fleet, workloads: tuple[Workload, ...], duration_s: float, name: str, callers: int = 2
) -> list[CallResult]:
    """Sends workloads to all nodes and returns the result of each call as its caller observed it.

    Args:
      fleet: The fleet to call.
      workloads: Workloads to send.
      duration_s: Time during which calls are started.
      name: Name of the phase, the prefix of the call ids.
      callers: Number of caller processes; each sends an equal part of every rate.
    """
    targets = [f"{HOST}:{node.settings['listen']['call_port']}" for node in fleet.nodes]
    runs = []
    for number in range(callers):
        settings = {
            "targets": targets,
            "traffic": [_traffic_settings(workload, 1 / callers) for workload in workloads],
            "duration_s": duration_s,
            "seed": number,
            "name": f"{name}-{number}",
        }
        runs.append(_run_caller(fleet.folder, settings))
    results_by_caller = await asyncio.gather(*runs)
    return [result for results in results_by_caller for result in results]
