"""Demo: a fleet in three zones serves calls, applies a valid change and refuses an invalid one."""

import asyncio
import json
import sys
import time

from bench.deployments import PILBARA
from bench.fleet import Fleet, started_fleet
from bench.processes import HOST, Node

MAX_CONVERGENCE_S = 12.0
MAX_LEAVING_NEW_WORK_S = 3.0  # Afterwards a leaving instance must get no new calls.
INVALID_RULE_LINE = (
    b"route GET notice-desk/escorts to=escort-desk rank=approval deadline_ms=500 idempotent=yes"
    b"  # J. Okafor: escorts ask at the gate\n"
)


class DemoError(Exception):
    """A check of the demo failed."""


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise DemoError(message)


async def _check_call_across_zones(fleet: Fleet) -> None:
    """Marks the only notice-desk instance of a zone as leaving and calls notice-desk there.

    The node that receives the call must send it to an instance in another zone.
    """
    zone = "newman"
    zone_nodes = [node for node in fleet.nodes if node.zone == zone]
    ingress = next(n for n in zone_nodes if n.service == "route-docs")
    leaving = [n.node_id for n in zone_nodes if n.service == "notice-desk"]
    hosts = [{"node_id": n.node_id, "leaving": n.node_id in leaving} for n in fleet.nodes]
    await fleet.publish("hosts", json.dumps(hosts).encode())
    await asyncio.sleep(MAX_LEAVING_NEW_WORK_S)
    headers = {"Host": "notice-desk", "Ibis-Call-Id": "demo-lodgement-1"}
    url = ingress.url("call_port") + "/notices"
    async with fleet.session.post(url, headers=headers, data=b"load 7, 62 m") as response:
        body = json.loads(await response.read())
    _require(response.status == 200, f"the lodgement got status {response.status}")
    _require(body["call_id"] == "demo-lodgement-1", "the answer belongs to another call")
    served_by = next(n for n in fleet.nodes if n.node_id == response.headers["Ibis-Served-By"])
    _require(served_by.zone != zone, f"{served_by.node_id} is leaving and got new work")
    print(f"{', '.join(leaving)} is leaving; lodgement through {ingress.node_id} in {zone}")
    print(f"  was served by {served_by.node_id} in {served_by.zone}")


def _caller_settings(nodes: list[Node]) -> dict:
    def traffic(rank: str, method: str, host: str, path: str, rate: float) -> dict:
        return {
            "rank": rank,
            "method": method,
            "host": host,
            "path": path,
            "calls_per_s": rate,
        }

    return {
        "targets": [f"{HOST}:{node.settings['listen']['call_port']}" for node in nodes],
        "duration_s": 4.0,
        "traffic": [
            traffic("lodgement", "POST", "notice-desk", "/notices", 40),
            traffic("approval", "GET", "notice-desk", "/approvals/12", 60),
            traffic("curfew", "GET", "route-docs", "/curfews/9", 60),
            traffic("plan", "GET", "route-docs", "/plans/3", 40),
            traffic("bulk", "GET", "route-docs", "/exports", 40),
        ],
    }


async def _check_calls_of_every_rank(fleet: Fleet) -> None:
    path = fleet.folder / "caller.json"
    path.write_text(json.dumps(_caller_settings(fleet.nodes)))
    command = [sys.executable, "-m", "ibisrack.bin.ibis_caller", f"--settings={path}"]
    process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
    output, _ = await process.communicate()
    _require(process.returncode == 0, "the caller failed")
    print(f"{'rank':<12}{'offered':>8}{'done':>8}{'not run':>8}{'unknown':>8}{'p99 ms':>9}")
    for rank, row in json.loads(output).items():
        print(
            f"{rank:<12}{row['offered']:>8}{row['done']:>8}{row['not_run']:>8}"
            f"{row['unknown']:>8}{row['p99_ms']:>9.1f}"
        )
        _require(row["done"] == row["offered"], f"calls of rank {rank} were not served")
        _require(row["wrong_answers"] == 0, f"wrong answers for rank {rank}")


async def _check_valid_change(fleet: Fleet) -> int:
    rules = fleet.deployment.rules.replace(b"share_percent=40", b"share_percent=35")
    start_s = time.monotonic()
    revision = await fleet.publish("rules", rules)
    await fleet.wait_for_revision(revision)
    elapsed_s = time.monotonic() - start_s
    count = len(fleet.nodes)
    print(f"good change: revision {revision} in force on {count} of {count} in {elapsed_s:.2f} s")
    _require(elapsed_s <= MAX_CONVERGENCE_S, "the change took too long")
    return revision


async def _check_invalid_change(fleet: Fleet, valid_revision: int) -> None:
    rules = fleet.deployment.rules + INVALID_RULE_LINE
    revision = await fleet.publish("rules", rules)
    refusal: dict = {}
    async with asyncio.timeout(MAX_CONVERGENCE_S):
        while not refusal:
            await asyncio.sleep(0.2)
            statuses = [status for status in await fleet.statuses() if status]
            refusal = next((s for s in statuses if s["refused_revision"] == revision), {})
    statuses = [status for status in await fleet.statuses() if status]
    _require(len(statuses) == len(fleet.nodes), "a node does not answer")
    _require(all(s["revision"] == valid_revision for s in statuses), "the bad change is in force")
    print(f"bad change: revision {revision} in force on 0 of {len(statuses)}; refused because")
    for fault in refusal["refused_faults"]:
        print(f"  {fault}")
    _require("escort-desk" in refusal["refused_faults"][0], "the reason is missing")


async def _demo() -> None:
    start_s = time.monotonic()
    async with started_fleet(PILBARA) as fleet:
        zones = len({node.zone for node in fleet.nodes})
        print(
            f"{len(fleet.nodes)} nodes in {zones} zones serve after "
            f"{time.monotonic() - start_s:.1f} s"
        )
        await _check_call_across_zones(fleet)
        await _check_calls_of_every_rank(fleet)
        revision = await _check_valid_change(fleet)
        await _check_invalid_change(fleet, revision)
        stats = await fleet.platform_stats()
        print(f"platform: {stats['calls']} reads, at most {stats['peak_calls_s']} in one second")


def main() -> int:
    """Runs the demo; returns 0 if every check passes, 1 otherwise."""
    try:
        asyncio.run(_demo())
    except (DemoError, TimeoutError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        return 1
    print("demo passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
