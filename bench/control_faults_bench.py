"""Configuration distribution under faults, with real processes on loopback.

Each scenario publishes versions while something fails.  The checker reads the time line of every
process life: revisions only rise, every version in force is one that was published whole and good,
and a node that returns while others live is not below what they enforced.
"""

import asyncio
import signal

import attrs

from bench.deployments import PILBARA
from bench.fleet import Fleet, Node, started_fleet
from bench.measures import Measure
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
FREEZE_S = 4.0
SETTLE_S = 12.0  # The target: an accepted change is in force everywhere within 12 s.


@attrs.define
class Record:
    """What was published and what the checker found.

    Attributes:
      good: Digests of good versions by revision; a revision may have several.
      regressions: Times a node put a version in force that was not above its former one.
      partial: Times a version in force was not one that was published good.
      behind: Nodes that were not on the expected revision in time.
      steps: Activations checked.
      floors: Revision that each node had in force in its former life.
    """

    good: dict[int, set[str]] = attrs.field(factory=dict)
    regressions: int = 0
    partial: int = 0
    behind: int = 0
    steps: int = 0
    scenarios: int = 0
    floors: dict[str, int] = attrs.field(factory=dict)

    def check_life(self, node_id: str, events: list[dict]) -> None:
        """Checks the time line of one process life."""
        floor = self.floors.get(node_id, 0)
        for event in (e["event"] for e in events if e["kind"] == "VersionActivated"):
            self.steps += 1
            if event["revision"] < floor:
                self.regressions += 1
            if event["digest"] not in self.good.get(event["revision"], set()):
                self.partial += 1
            floor = event["revision"]


def _rules(note: str) -> bytes:
    return PILBARA.rules + f"# {note}\n".encode()


async def _publish(
    fleet: Fleet, record: Record, content: bytes, revision: int | None = None
) -> int:
    revision = await fleet.publish("rules", content, revision)
    try:
        parse_rule_set(content)
    except RulesError:
        return revision
    record.good.setdefault(revision, set()).add(digest_of(content).hex())
    return revision


async def _settled(fleet: Fleet, record: Record, revision: int) -> None:
    """Waits until every node serves with a revision; counts those that do not get there."""
    try:
        async with asyncio.timeout(SETTLE_S):
            await fleet.wait_for_revision(revision)
    except TimeoutError:
        statuses = await fleet.statuses()
        record.behind += sum(1 for s in statuses if not s or s["revision"] < revision)


async def _end_life(fleet: Fleet, record: Record, node: Node, returns_to_peers: bool) -> None:
    """Checks and kills a node; its next life must not be below this one if peers live on."""
    events = await fleet.events(node)
    status = await fleet.status(node)
    record.check_life(node.node_id, events)
    record.floors[node.node_id] = status["revision"] if returns_to_peers else 0
    await node.kill()


async def _restart(fleet: Fleet, nodes: list[Node]) -> None:
    for node in nodes:
        await node.start(fleet.folder)


async def _platform_outage(fleet: Fleet, record: Record) -> None:
    await fleet.set_faults(unavailable=True)
    revision = await _publish(fleet, record, _rules("published during an outage"))
    await asyncio.sleep(3.0)
    await fleet.set_faults()
    await _settled(fleet, record, revision)


async def _platform_slow(fleet: Fleet, record: Record) -> None:
    await fleet.set_faults(delay_ms=1000)
    revision = await _publish(fleet, record, _rules("published while reads take a second"))
    await _settled(fleet, record, revision)
    await fleet.set_faults()


async def _platform_goes_back(fleet: Fleet, record: Record) -> None:
    """The platform returns to an older revision while a third of the nodes restart."""
    revision = await _publish(fleet, record, _rules("before the platform went back"))
    await _settled(fleet, record, revision)
    await _publish(fleet, record, _rules("older content"), revision - 2)
    restarted = fleet.nodes[::3]
    for node in restarted:
        await _end_life(fleet, record, node, returns_to_peers=True)
    await _restart(fleet, restarted)
    await _settled(fleet, record, revision)
    await _publish(fleet, record, _rules("after it came back"), revision + 1)
    await _settled(fleet, record, revision + 1)


async def _two_operators(fleet: Fleet, record: Record) -> None:
    contents = [_rules("first operator"), _rules("second operator")]
    revisions = await asyncio.gather(*(_publish(fleet, record, c) for c in contents))
    await _settled(fleet, record, max(revisions))


async def _bad_then_good(fleet: Fleet, record: Record) -> None:
    await _publish(fleet, record, PILBARA.rules + b"route GET a/ to=none rank=x  # Ana: broken\n")
    revision = await _publish(fleet, record, _rules("good again"))
    await _settled(fleet, record, revision)


async def _frozen_nodes(fleet: Fleet, record: Record) -> None:
    frozen = fleet.nodes[1::3]
    for node in frozen:
        node.signal(signal.SIGSTOP)
    revision = await _publish(fleet, record, _rules("while a third of the nodes sleep"))
    await asyncio.sleep(FREEZE_S)
    for node in frozen:
        node.signal(signal.SIGCONT)
    await _settled(fleet, record, revision)


async def _outage_and_restarts(fleet: Fleet, record: Record) -> None:
    """Two at once: the platform is away and half of the nodes restart."""
    revision = max(status["revision"] for status in await fleet.statuses() if status)
    await fleet.set_faults(unavailable=True)
    restarted = fleet.nodes[::2]
    for node in restarted:
        await _end_life(fleet, record, node, returns_to_peers=True)
    await _restart(fleet, restarted)
    await _settled(fleet, record, revision)
    await fleet.set_faults()


async def _herd(fleet: Fleet, record: Record) -> None:
    """Every node dies; no memory is left, so the platform's version comes in force."""
    for node in fleet.nodes:
        await _end_life(fleet, record, node, returns_to_peers=False)
    await _restart(fleet, fleet.nodes)
    revision = await _publish(fleet, record, _rules("while all nodes start"))
    await _settled(fleet, record, revision)


_SCENARIOS = (
    _platform_outage,
    _platform_slow,
    _platform_goes_back,
    _two_operators,
    _bad_then_good,
    _frozen_nodes,
    _outage_and_restarts,
    _herd,
)


async def _run_all() -> Record:
    record = Record()
    record.good[1] = {digest_of(PILBARA.rules).hex()}
    async with started_fleet(PILBARA, upstreams=False) as fleet:
        for scenario in _SCENARIOS:
            await scenario(fleet, record)
            record.scenarios += 1
        for node in fleet.nodes:
            record.check_life(node.node_id, await fleet.events(node))
    return record


def run() -> list[Measure]:
    """Runs every scenario once."""
    record = asyncio.run(_run_all())
    return [
        Measure("regressions_applied_live", record.regressions, "count", at_most=0),
        Measure("partial_versions_live", record.partial, "count", at_most=0),
        Measure("nodes_behind_live", record.behind, "count", at_most=0),
        Measure("version_steps_live", record.steps, "count"),
        Measure("fault_scenarios_live", record.scenarios, "count"),
    ]
