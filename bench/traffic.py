"""The work that callers send to today's deployments, and callers as processes of their own."""

import asyncio
import json
import sys
from pathlib import Path

import attrs
import msgspec

from bench.fleet import HOST, Fleet
from ibisrack.standins.caller import CallResult

CALLER_TIMEOUT_S = 90.0


@attrs.frozen
class Kind:
    """One kind of work.

    Attributes:
      name: Name in reports; unlike the rank it tells keyed calls from others.
      method: HTTP method.
      host: Host header.
      path: Path.
      calls_per_s: Offered rate.
      idempotent: Whether a call may run more than once.
      urgent: Whether it is of the first rank of its service.
      work_ms: Time of a call at the upstream.
      answer_bytes: Least size of the answer.
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


KEYED = "keyed"  # Name of the kind whose calls carry idempotency keys.
_LARGE_BYTES = 600_000  # More than a node holds, so that the answer is streamed.

KINDS: dict[str, tuple[Kind, ...]] = {
    "pilbara": (
        Kind("lodgement", "POST", "notice-desk", "/notices", 220, idempotent=False),
        Kind(KEYED, "POST", "notice-desk", "/notices/k", 60, idempotent=False, keyed=True),
        Kind("approval", "GET", "notice-desk", "/approvals/12", 220, answer_bytes=40_000),
        Kind("curfew", "GET", "route-docs", "/curfews/9", 200),
        Kind("plan", "GET", "route-docs", "/plans/3", 150, answer_bytes=5_000),
        Kind("bulk", "GET", "route-docs", "/exports", 10, answer_bytes=_LARGE_BYTES),
    ),
    "chapa-maya": (
        Kind("order", "POST", "tienda", "/orders", 220, idempotent=False),
        Kind(KEYED, "POST", "tienda", "/reservations", 60, idempotent=False, keyed=True),
        Kind("lookup", "GET", "tienda", "/stock/4", 220, answer_bytes=5_000),
        Kind("photo", "GET", "archivo", "/photos/7", 200, answer_bytes=40_000),
        Kind("pricing", "GET", "tienda", "/pricing", 150),
        Kind("scan", "GET", "archivo", "/scans/2", 10, answer_bytes=_LARGE_BYTES),
    ),
}


def _traffic(kind: Kind, share: float) -> dict:
    return {
        "rank": kind.name,
        "method": kind.method,
        "host": kind.host,
        "path": kind.path,
        "calls_per_s": kind.calls_per_s * share,
        "work_ms": kind.work_ms,
        "answer_bytes": kind.answer_bytes,
        "keyed": kind.keyed,
    }


async def _run_caller(folder: Path, settings: dict) -> list[CallResult]:
    path = folder / f"{settings['name']}.json"
    told_file = folder / f"{settings['name']}-told.json"
    path.write_text(json.dumps({**settings, "told_file": str(told_file)}))
    command = [sys.executable, "-m", "ibisrack.bin.ibis_caller", f"--settings={path}"]
    process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.DEVNULL)
    try:
        async with asyncio.timeout(settings["duration_s"] + CALLER_TIMEOUT_S):
            status = await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if status != 0:
        raise RuntimeError(f"caller {settings['name']} ended with status {status}")
    return msgspec.json.decode(told_file.read_bytes(), type=list[CallResult])


async def send_traffic(
    fleet: Fleet, kinds: tuple[Kind, ...], duration_s: float, name: str, callers: int = 2
) -> list[CallResult]:
    """Sends the work from several caller processes to all nodes and returns what they were told.

    Args:
      fleet: The fleet to call.
      kinds: Kinds of work.
      duration_s: Time during which calls are started.
      name: Name of the phase, part of the call ids.
      callers: Number of processes, which share the rates.
    """
    targets = [f"{HOST}:{node.settings['listen']['call_port']}" for node in fleet.nodes]
    runs = []
    for number in range(callers):
        settings = {
            "targets": targets,
            "traffic": [_traffic(kind, 1 / callers) for kind in kinds],
            "duration_s": duration_s,
            "seed": number,
            "name": f"{name}-{number}",
        }
        runs.append(_run_caller(fleet.folder, settings))
    told = await asyncio.gather(*runs)
    return [item for items in told for item in items]
