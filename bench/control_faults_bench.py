"""Configuration distribution under faults, with real processes on loopback.

Each scenario publishes versions during a fault.  The checker reads the time line of every node
process: revisions never fall, every version in force has the whole content of a valid published
version, and a node that restarts while others run does not apply a revision below its last one.
"""

import asyncio
import signal

import attrs

from bench.deployments import PILBARA
from bench.fleet import Fleet, started_fleet
from bench.measures import Measure
from bench.processes import Node
from ibisrack.errors import RulesError
from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.versions.chunks import digest_of

MEASURES = (
    "regressions_applied_live",
    "partial_versions_live",
    "nodes_behind_live",
    "version_steps_live",
    "fault_scenarios_live",
)
NODE_FREEZE_S = 4.0
MAX_CONVERGENCE_S = 12.0  # The target: an accepted change is in force everywhere within 12 s.


@attrs.define
class VersionChecker:
    """Checks the versions that nodes put in force against those that were published.

    Attributes:
      valid_digests: Digests of valid published versions by revision; a revision may have several.
      regressions: Activations of a lower revision than the one before or than min_revisions allows.
      partial_versions: Activations of content other than that of a valid published version.
      nodes_behind: Nodes that did not reach the expected revision in time.
      activations: Activations that were checked.
      scenarios: Scenarios that were run.
      min_revisions: Lowest revision that the running process of a node may put in force, by node
        id: the one in force in its previous process, or 0 if no peer kept running.
    """

    valid_digests: dict[int, set[str]] = attrs.field(factory=dict)
    regressions: int = 0
    partial_versions: int = 0
    nodes_behind: int = 0
    activations: int = 0
    scenarios: int = 0
    min_revisions: dict[str, int] = attrs.field(factory=dict)

    def check_timeline(self, node_id: str, events: list[dict]) -> None:
        """Checks the time line of one node process."""
        min_revision = self.min_revisions.get(node_id, 0)
        for event in (e["event"] for e in events if e["kind"] == "VersionActivated"):
            self.activations += 1
            if event["revision"] < min_revision:
                self.regressions += 1
            if event["digest"] not in self.valid_digests.get(event["revision"], set()):
                self.partial_versions += 1
            min_revision = event["revision"]


def _rules(note: str) -> bytes:
    return PILBARA.rules + f"# {note}\n".encode()


async def _publish(
    fleet: Fleet, checker: VersionChecker, content: bytes, revision: int | None = None
) -> int:
    revision = await fleet.publish("rules", content, revision)
    try:
        parse_rule_set(content)
    except RulesError:
        return revision
    checker.valid_digests.setdefault(revision, set()).add(digest_of(content).hex())
    return revision


async def _wait_until_converged(fleet: Fleet, checker: VersionChecker, revision: int) -> None:
    """Waits until every node serves with a revision; counts the nodes that do not in time."""
    try:
        async with asyncio.timeout(MAX_CONVERGENCE_S):
            await fleet.wait_for_revision(revision)
    except TimeoutError:
        statuses = await fleet.statuses()
        checker.nodes_behind += sum(1 for s in statuses if not s or s["revision"] < revision)


async def _check_and_kill(
    fleet: Fleet, checker: VersionChecker, node: Node, peers_keep_running: bool
) -> None:
    """Checks the time line of a node and kills the node.

    Its next process must not put a lower revision in force if peers keep running.
    """
    events = await fleet.events(node)
    status = await fleet.status(node)
    checker.check_timeline(node.node_id, events)
    checker.min_revisions[node.node_id] = status["revision"] if peers_keep_running else 0
    await node.kill()


async def _restart(fleet: Fleet, nodes: list[Node]) -> None:
    for node in nodes:
        await node.start(fleet.folder)


async def _platform_outage(fleet: Fleet, checker: VersionChecker) -> None:
    await fleet.set_faults(unavailable=True)
    revision = await _publish(fleet, checker, _rules("published during an outage"))
    await asyncio.sleep(3.0)
    await fleet.set_faults()
    await _wait_until_converged(fleet, checker, revision)


async def _platform_slow(fleet: Fleet, checker: VersionChecker) -> None:
    await fleet.set_faults(delay_ms=1000)
    revision = await _publish(fleet, checker, _rules("published while reads take a second"))
    await _wait_until_converged(fleet, checker, revision)
    await fleet.set_faults()


async def _platform_rolls_back(fleet: Fleet, checker: VersionChecker) -> None:
    """The platform returns to an older revision and a third of the nodes restart."""
    revision = await _publish(fleet, checker, _rules("before the platform went back"))
    await _wait_until_converged(fleet, checker, revision)
    await _publish(fleet, checker, _rules("older content"), revision - 2)
    restarted = fleet.nodes[::3]
    for node in restarted:
        await _check_and_kill(fleet, checker, node, peers_keep_running=True)
    await _restart(fleet, restarted)
    await _wait_until_converged(fleet, checker, revision)
    await _publish(fleet, checker, _rules("after it came back"), revision + 1)
    await _wait_until_converged(fleet, checker, revision + 1)


async def _two_operators(fleet: Fleet, checker: VersionChecker) -> None:
    contents = [_rules("first operator"), _rules("second operator")]
    revisions = await asyncio.gather(*(_publish(fleet, checker, c) for c in contents))
    await _wait_until_converged(fleet, checker, max(revisions))


async def _invalid_then_valid(fleet: Fleet, checker: VersionChecker) -> None:
    await _publish(fleet, checker, PILBARA.rules + b"route GET a/ to=none rank=x  # Ana: broken\n")
    revision = await _publish(fleet, checker, _rules("good again"))
    await _wait_until_converged(fleet, checker, revision)


async def _frozen_nodes(fleet: Fleet, checker: VersionChecker) -> None:
    frozen = fleet.nodes[1::3]
    for node in frozen:
        node.signal(signal.SIGSTOP)
    revision = await _publish(fleet, checker, _rules("while a third of the nodes sleep"))
    await asyncio.sleep(NODE_FREEZE_S)
    for node in frozen:
        node.signal(signal.SIGCONT)
    await _wait_until_converged(fleet, checker, revision)


async def _outage_and_restarts(fleet: Fleet, checker: VersionChecker) -> None:
    """Two faults at once: the platform is unavailable and half of the nodes restart."""
    revision = max(status["revision"] for status in await fleet.statuses() if status)
    await fleet.set_faults(unavailable=True)
    restarted = fleet.nodes[::2]
    for node in restarted:
        await _check_and_kill(fleet, checker, node, peers_keep_running=True)
    await _restart(fleet, restarted)
    await _wait_until_converged(fleet, checker, revision)
    await fleet.set_faults()


async def _all_nodes_restart(fleet: Fleet, checker: VersionChecker) -> None:
    """All nodes restart; no version is left in memory, so the platform's version is applied."""
    for node in fleet.nodes:
        await _check_and_kill(fleet, checker, node, peers_keep_running=False)
    await _restart(fleet, fleet.nodes)
    revision = await _publish(fleet, checker, _rules("while all nodes start"))
    await _wait_until_converged(fleet, checker, revision)


_SCENARIOS = (
    _platform_outage,
    _platform_slow,
    _platform_rolls_back,
    _two_operators,
    _invalid_then_valid,
    _frozen_nodes,
    _outage_and_restarts,
    _all_nodes_restart,
)


async def _run_scenarios() -> VersionChecker:
    checker = VersionChecker()
    checker.valid_digests[1] = {digest_of(PILBARA.rules).hex()}
    async with started_fleet(PILBARA, upstreams=False) as fleet:
        for scenario in _SCENARIOS:
            await scenario(fleet, checker)
            checker.scenarios += 1
        for node in fleet.nodes:
            checker.check_timeline(node.node_id, await fleet.events(node))
    return checker


def run() -> list[Measure]:
    """Runs every scenario once."""
    checker = asyncio.run(_run_scenarios())
    return [
        Measure("regressions_applied_live", checker.regressions, "count", at_most=0),
        Measure("partial_versions_live", checker.partial_versions, "count", at_most=0),
        Measure("nodes_behind_live", checker.nodes_behind, "count", at_most=0),
        Measure("version_steps_live", checker.activations, "count"),
        Measure("fault_scenarios_live", checker.scenarios, "count"),
    ]
