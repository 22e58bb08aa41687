"""Latency that one or two nodes on the path add to a call, compared with direct calls.

The three paths are measured in turn in short rounds, so that a burst of other load on the machine
affects all of them.  Calls do no work at the upstream, whose timers would hide the added latency.
"""

import asyncio

import attrs
import cattrs
from aiohttp import ClientSession, TCPConnector
from hdrh.histogram import HdrHistogram

from bench.deployments import PILBARA, Deployment, ServicePlan
from bench.fleet import Fleet, started_fleet
from bench.measures import Measure
from bench.processes import HOST, Node
from ibisrack.settings.standins import CallerSettings
from ibisrack.standins.caller import MAX_LATENCY_US, Caller

MEASURES = (
    "added_latency_p99_ms_one_node",
    "added_latency_p99_ms_two_nodes",
    "added_latency_p50_ms_one_node",
    "added_latency_p50_ms_two_nodes",
    "direct_latency_p99_ms",
)
MAX_ADDED_P99_MS = 0.9
CALLS_PER_S = 140.0
ROUND_S = 2.0
ROUNDS = 8
WARM_UP_S = 1.5
TWO_NODE_DEPLOYMENT = Deployment(
    name="latency",
    regions={"karratha": "wa-north"},
    services=(ServicePlan("notice-desk", 1, 6), ServicePlan("route-docs", 1, 6)),
    rules=PILBARA.rules,
)


@attrs.define
class CallPath:
    """A path from the caller to the upstream of notice-desk.

    Attributes:
      name: Name in the measures.
      target: Address that the caller sends calls to.
      latencies_us: Latencies of all rounds.
    """

    name: str
    target: str
    latencies_us: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the latencies of all rounds."""
        return self.latencies_us.get_value_at_percentile(percent) / 1000


def _caller_settings(path: CallPath, duration_s: float, seed: int) -> CallerSettings:
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


async def _send_calls(
    session: ClientSession, path: CallPath, duration_s: float, seed: int
) -> Caller:
    caller = Caller(_caller_settings(path, duration_s, seed), session)
    await caller.run()
    failed_calls = [call for call in caller.results if call.status != 200]
    if failed_calls:
        raise RuntimeError(
            f"{len(failed_calls)} calls on path {path.name} failed, first: {failed_calls[0]}"
        )
    return caller


def _call_address(node: Node) -> str:
    return f"{HOST}:{node.settings['listen']['call_port']}"


def _paths(fleet: Fleet) -> tuple[CallPath, CallPath, CallPath]:
    owner = next(node for node in fleet.nodes if node.service == "notice-desk")
    other = next(node for node in fleet.nodes if node.service == "route-docs")
    return (
        CallPath("direct", f"{HOST}:{owner.upstream.settings['port']}"),
        CallPath("one_node", _call_address(owner)),
        CallPath("two_nodes", _call_address(other)),
    )


async def _measure_paths() -> tuple[CallPath, CallPath, CallPath]:
    async with (
        started_fleet(TWO_NODE_DEPLOYMENT) as fleet,
        ClientSession(connector=TCPConnector(limit=0)) as session,
    ):
        paths = _paths(fleet)
        for path in paths:
            await _send_calls(session, path, WARM_UP_S, seed=0)
        for seed in range(1, ROUNDS + 1):
            for path in paths:
                caller = await _send_calls(session, path, ROUND_S, seed)
                for call in caller.results:
                    path.latencies_us.record_value(max(1, int(call.latency_ms * 1000)))
    return paths


def run() -> list[Measure]:
    """Measures the three paths."""
    direct, one_node, two_nodes = asyncio.run(_measure_paths())
    measures = []
    for path in (one_node, two_nodes):
        added_p99_ms = path.percentile_ms(99) - direct.percentile_ms(99)
        added_p50_ms = path.percentile_ms(50) - direct.percentile_ms(50)
        measures += [
            Measure(
                f"added_latency_p99_ms_{path.name}", added_p99_ms, "ms", at_most=MAX_ADDED_P99_MS
            ),
            Measure(f"added_latency_p50_ms_{path.name}", added_p50_ms, "ms"),
        ]
    return [*measures, Measure("direct_latency_p99_ms", direct.percentile_ms(99), "ms")]
