"""Latency that nodes add to a call: with one and with two nodes on the path, less direct calls.

The three paths take turns in short rounds, so that a burst of other work on the machine reaches all
of them.  Calls do no work at the upstream, so that its timers do not hide what a node adds.
"""

import asyncio

import attrs
import cattrs
from aiohttp import ClientSession, TCPConnector
from hdrh.histogram import HdrHistogram

from bench.deployments import PILBARA, Deployment, ServicePlan
from bench.fleet import HOST, Fleet, Node, started_fleet
from bench.measures import Measure
from ibisrack.settings.standins import CallerSettings
from ibisrack.standins.caller import MAX_LATENCY_US, Caller

MEASURES = (
    "added_latency_p99_ms_one_node",
    "added_latency_p99_ms_two_nodes",
    "added_latency_p50_ms_one_node",
    "added_latency_p50_ms_two_nodes",
    "direct_latency_p99_ms",
)
ADDED_BOUND_MS = 0.9
CALLS_PER_S = 140.0
ROUND_S = 2.0
ROUNDS = 8
WARM_UP_S = 1.5
DEPLOYMENT = Deployment(
    name="latency",
    regions={"karratha": "wa-north"},
    services=(ServicePlan("notice-desk", 1, 6), ServicePlan("route-docs", 1, 6)),
    rules=PILBARA.rules,
)


@attrs.define
class Path:
    """One way from the caller to the upstream of notice-desk.

    Attributes:
      name: Name in the measures.
      target: Address that the caller uses.
      latencies_us: Latencies of all rounds.
    """

    name: str
    target: str
    latencies_us: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile over all rounds."""
        return self.latencies_us.get_value_at_percentile(percent) / 1000


def _settings(path: Path, duration_s: float, seed: int) -> CallerSettings:
    traffic = {
        "rank": "approval",
        "method": "GET",
        "host": "notice-desk",
        "path": "/approvals/12",
        "calls_per_s": CALLS_PER_S,
        "work_ms": 0,
    }
    values = {"targets": [path.target], "traffic": [traffic], "duration_s": duration_s}
    return cattrs.structure({**values, "seed": seed}, CallerSettings)


async def _send(session: ClientSession, path: Path, duration_s: float, seed: int) -> Caller:
    caller = Caller(_settings(path, duration_s, seed), session)
    await caller.run()
    failed = [told for told in caller.told if told.status != 200]
    if failed:
        raise RuntimeError(f"{len(failed)} calls on path {path.name} failed, first: {failed[0]}")
    return caller


def _call_address(node: Node) -> str:
    return f"{HOST}:{node.settings['listen']['call_port']}"


def _paths(fleet: Fleet) -> tuple[Path, Path, Path]:
    owner = next(node for node in fleet.nodes if node.service == "notice-desk")
    other = next(node for node in fleet.nodes if node.service == "route-docs")
    return (
        Path("direct", f"{HOST}:{owner.upstream.settings['port']}"),
        Path("one_node", _call_address(owner)),
        Path("two_nodes", _call_address(other)),
    )


async def _measure() -> tuple[Path, Path, Path]:
    async with (
        started_fleet(DEPLOYMENT) as fleet,
        ClientSession(connector=TCPConnector(limit=0)) as session,
    ):
        paths = _paths(fleet)
        for path in paths:
            await _send(session, path, WARM_UP_S, seed=0)
        for seed in range(1, ROUNDS + 1):
            for path in paths:
                caller = await _send(session, path, ROUND_S, seed)
                for told in caller.told:
                    path.latencies_us.record_value(max(1, int(told.latency_ms * 1000)))
    return paths


def run() -> list[Measure]:
    """Measures the three paths."""
    direct, one, two = asyncio.run(_measure())
    measures = []
    for path in (one, two):
        added_p99_ms = path.percentile_ms(99) - direct.percentile_ms(99)
        added_p50_ms = path.percentile_ms(50) - direct.percentile_ms(50)
        measures += [
            Measure(
                f"added_latency_p99_ms_{path.name}", added_p99_ms, "ms", at_most=ADDED_BOUND_MS
            ),
            Measure(f"added_latency_p50_ms_{path.name}", added_p50_ms, "ms"),
        ]
    return [*measures, Measure("direct_latency_p99_ms", direct.percentile_ms(99), "ms")]
