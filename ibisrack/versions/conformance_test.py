"""Runs the node code through random schedules and checks every step against the specification."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.node.lifecycle import JOINING, RESUMING, SERVING
from ibisrack.platform.messages import PlatformValue
from ibisrack.testing.fixtures import PILBARA_RULES, bare_node
from ibisrack.testing.functions import function_tests
from ibisrack.testing.stepped_fleet import Delivery, Envelope, SteppedFleet, SteppedNode
from ibisrack.versions.protocol_spec import (
    NO_ANSWER,
    NOT_QUERIED,
    Mode,
    Scope,
    SpecNode,
    SpecState,
    node_steps,
)

NODES = ("n0", "n1", "n2")
SCOPE = Scope(nodes=3, revisions=3, bad=2, crashes=3)
CONTENTS = (PILBARA_RULES, PILBARA_RULES + b"junk\n", PILBARA_RULES + b"# third\n")
MODES = {JOINING: Mode.JOINING, SERVING: Mode.SERVING, RESUMING: Mode.RESUMING}

QUERYING_MODES = (Mode.JOINING, Mode.RESUMING)
# One frame can cause several steps of the specification: a confirmation, the staging of a version,
# its activation and the start of serving.
MAX_STEPS_PER_EVENT = 5


def _mode(stepped: SteppedNode) -> Mode:
    if not stepped.up:
        return Mode.DOWN
    return Mode.PAUSED if stepped.paused else MODES[stepped.node.lifecycle.state]


def _reported(stepped: SteppedNode, peer: str) -> int:
    links = stepped.node.links
    if peer in links.reported_versions:
        return links.reported_versions[peer].revision if links.reported_versions[peer] else 0
    return NO_ANSWER if peer in links.failed else NOT_QUERIED


def _project(stepped: SteppedNode) -> SpecNode:
    """Returns the specification state of a real node; ghost fields are not projected."""
    mode, no_ghosts = _mode(stepped), (0,) * len(NODES)
    if mode is Mode.DOWN:
        return SpecNode(mode, 0, 0, frozenset(), (NOT_QUERIED,) * len(NODES), no_ghosts)
    versions = stepped.node.versions
    in_force, staged = (
        version.version_id.revision if version else 0
        for version in (versions.in_force, versions.staged)
    )
    peers = versions.confirmation.holders
    holders = frozenset(NODES.index(peer) for peer in peers)
    reported = tuple(
        _reported(stepped, p) if mode in QUERYING_MODES else NOT_QUERIED for p in NODES
    )
    return SpecNode(mode, in_force, staged, holders, reported, no_ghosts)


def _observable_state(node: SpecNode) -> tuple[Mode, int, int]:
    return (node.mode, node.in_force, node.staged)


class _SpecificationChecker:
    """Checks each step of a real node against the steps that the specification allows.

    The answers that a node received are taken from the real node.  Its mode and versions must be
    reachable from its previous state by steps of the specification.
    """

    def __init__(self, fleet: SteppedFleet) -> None:
        self.published = 0
        self.steps_checked = 0
        self._nodes = [_project(fleet.nodes[node_id]) for node_id in NODES]

    def observe(self, fleet: SteppedFleet, node_id: str) -> None:
        """Checks a step of one node."""
        index, after = NODES.index(node_id), _project(fleet.nodes[node_id])
        before, self._nodes[index] = self._nodes[index], after
        if _observable_state(before) == _observable_state(after):
            return
        self.steps_checked += 1
        nodes = (*self._nodes[:index], before, *self._nodes[index + 1 :])
        start = SpecState(nodes, self.published, crashes_left=1)
        assert self._allows(
            start, index, _observable_state(after)
        ), f"{node_id}: {after} from {start}"

    def _allows(self, start: SpecState, index: int, target: tuple[Mode, int, int]) -> bool:
        frontier = {start}
        for _ in range(MAX_STEPS_PER_EVENT):
            labelled = [pair for state in frontier for pair in node_steps(state, index, SCOPE)]
            frontier = {after for _, after in labelled}
            if any(_observable_state(state.nodes[index]) == target for state in frontier):
                return True
        return False


class _Schedule:
    """Runs actions on three real nodes and checks the steps that follow."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.fleet = SteppedFleet(bare_node, self.rng, seeds=NODES, read=self._read)
        for node_id in NODES:
            self.fleet.start(node_id)
        self.checker = _SpecificationChecker(self.fleet)
        self.fleet.observe = self.checker.observe
        self.fleet.decide_delivery = self._fate
        self.published = 0
        self.crashes = 0
        self.frames_until_loss = -1

    def _read(self, node_id: str) -> PlatformValue | None:
        """Answers like a platform that may return any published revision, or nothing."""
        revision = self.rng.randint(0, self.published)
        return PlatformValue("rules", revision, CONTENTS[revision - 1]) if revision else None

    def _fate(self, envelope: Envelope) -> Delivery:
        self.frames_until_loss -= 1
        return Delivery.DROP if self.frames_until_loss == 0 else Delivery.DELIVER

    def publish(self, node_id: str) -> None:
        """Publishes the next revision."""
        if self.published < SCOPE.revisions:
            self.published += 1
            self.checker.published = self.published

    def read(self, node_id: str) -> None:
        """Lets a node read the platform unless it is joining, when the join decides about reads."""
        stepped = self.fleet.nodes[node_id]
        if stepped.running and stepped.node.lifecycle.state != JOINING:
            self.fleet.read_platform(node_id)
            self.checker.observe(self.fleet, node_id)

    def exchange(self, node_id: str) -> None:
        """Lets a node exchange frames with its linked peers; one frame may be lost."""
        self.frames_until_loss = self.rng.randint(0, 9)
        if self.fleet.nodes[node_id].running:
            self.fleet.request_exchanges(node_id)
        self.fleet.exchange(follow_up=False)
        self.frames_until_loss = -1

    def elapse_second(self, node_id: str) -> None:
        """Lets a second pass in which all running nodes exchange frames with each other.

        The specification has no time.  Its timeout corresponds to a second in which every answering
        peer was heard, so the exchanges run before the time advances.
        """
        running = [peer for peer in NODES if self.fleet.nodes[peer].running]
        for _ in range(4):
            for peer in running:
                self.fleet.nodes[peer].pending_peers |= {other for other in NODES if other != peer}
            self.fleet.exchange()
            self.fleet.step()

    def crash_or_restart(self, node_id: str) -> None:
        """Crashes a running node or restarts a crashed one."""
        stepped = self.fleet.nodes[node_id]
        if not stepped.up:
            self.fleet.start(node_id)
        elif self.crashes < SCOPE.crashes:
            self.crashes += 1
            self.fleet.crash(node_id)
        self.checker.observe(self.fleet, node_id)

    def pause_or_resume(self, node_id: str) -> None:
        """Pauses a serving node, or resumes a paused one after three seconds."""
        stepped = self.fleet.nodes[node_id]
        if stepped.running and stepped.node.lifecycle.state == SERVING:
            stepped.paused = True
        elif stepped.up and stepped.paused:
            for _ in range(3):
                self.elapse_second(node_id)
            stepped.paused = False
            stepped.node.tick(self.fleet.now())
        self.checker.observe(self.fleet, node_id)


ACTIONS = (
    "publish",
    "read",
    "read",
    "exchange",
    "exchange",
    "elapse_second",
    "elapse_second",
    "crash_or_restart",
    "pause_or_resume",
)
SCHEDULES = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.sampled_from(NODES)), min_size=10, max_size=30
)


@settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(st.integers(0, 2**16), SCHEDULES)
def test_nodes_follow_the_specification(seed, schedule):
    """Guards against code that takes steps that the model-checked specification does not allow."""
    run = _Schedule(seed)
    run.publish("n0")
    for _ in range(8):
        run.elapse_second("n0")
    for action, node_id in schedule:
        getattr(run, action)(node_id)
    assert run.checker.steps_checked >= len(NODES)


load_tests = function_tests(__name__)
