"""Runs of stepped nodes under failures of the platform, the zones and the processes."""

from collections.abc import Callable, Iterable
from functools import singledispatch
from random import Random

import attrs

from ibisrack.node.state import NodeState
from ibisrack.platform.messages import PlatformValue
from ibisrack.testing.fixtures import PILBARA_RULES, bare_node
from ibisrack.testing.stepped_fleet import Delivery, Envelope, SteppedFleet, all_serve
from ibisrack.testing.version_checks import VersionChecks

ZONES = ("wa-1", "wa-2", "gt-1", "gt-2")
NODES_PER_ZONE = 3
START_STEPS = 100
ADVERSE_STEPS = 60
SETTLE_STEPS = 80
PAUSE_STEPS = 16  # 4 s, more than the gap that counts as a pause.
BAD_LINE = (
    b"route GET notice-desk/escorts to=gone rank=x deadline_ms=9 idempotent=yes  # Ana: bad\n"
)


@attrs.define
class SteppedPlatform:
    """The configuration service as the nodes see it.

    Attributes:
      values: Published values, the current one last.
      answer_share: Share of the reads that are answered.
      shown: Number of values that readers see, None for all.
      forked: Whether each reader sees one of the last two values.
    """

    rng: Random
    values: list[PlatformValue] = attrs.field(factory=list)
    answer_share: float = 1.0
    shown: int | None = None
    forked: bool = False
    published_count: int = 0

    def publish(self, revision: int, content: bytes) -> None:
        """Publishes a value."""
        self.values.append(PlatformValue("rules", revision, content))
        self.published_count += 1

    def read(self) -> PlatformValue | None:
        """Answers a read."""
        if not self.values or self.rng.random() >= self.answer_share:
            return None
        visible = self.values[: self.shown]
        return self.rng.choice(visible[-2:]) if self.forked else visible[-1]


@attrs.define
class FaultRun:
    """One run.

    Attributes:
      cut: Pairs of zones that don't reach each other; "platform" stands for the platform.
      lost_share: Share of the frames that are dropped.
    """

    rng: Random
    platform: SteppedPlatform
    checks: VersionChecks
    fleet: SteppedFleet
    cut: set[frozenset[str]] = attrs.field(factory=set)
    lost_share: float = 0.0
    delayed_share: float = 0.0

    def zone(self, node_id: str) -> str:
        """Returns the zone of a node."""
        return node_id.rpartition("-")[0]

    def read(self, node_id: str) -> PlatformValue | None:
        """Answers a node's read unless its zone is cut off."""
        if frozenset((self.zone(node_id), "platform")) in self.cut:
            return None
        return self.platform.read()

    def decide_delivery(self, envelope: Envelope) -> Delivery:
        """Decides what happens to a frame."""
        ends = frozenset((self.zone(envelope.source), self.zone(envelope.target)))
        draw = self.rng.random()
        if ends in self.cut or draw < self.lost_share:
            return Delivery.DROP
        return Delivery.DELAY if draw < self.lost_share + self.delayed_share else Delivery.DELIVER

    def publish(self, good: bool = True, same_revision: bool = False) -> None:
        """Publishes a version that no other equals."""
        revision = self.platform.values[-1].revision if self.platform.values else 0
        note = f"# version {self.platform.published_count}\n".encode()
        content = note + PILBARA_RULES + (b"" if good else BAD_LINE)
        revision += not same_revision
        self.checks.published(revision, content)
        self.platform.publish(revision, content)

    def steps(self, count: int) -> None:
        """Steps the fleet."""
        for _ in range(count):
            self.fleet.step()


@attrs.frozen
class PlatformDown:
    """No read is answered."""


@attrs.frozen
class PlatformSlow:
    """Few reads are answered."""


@attrs.frozen
class PlatformStale:
    """Readers see old values while new ones are published."""


@attrs.frozen
class PlatformMovesBack:
    """The platform returns to an old state and issues its revisions again."""


@attrs.frozen
class TwoOperators:
    """Two versions are published at once, some with the same revision."""


@attrs.frozen
class CrossingUpdates:
    """Frames are lost, delayed and reordered while versions follow each other closely."""


@attrs.frozen
class RestartTogether:
    """All nodes restart at the same moment."""


@attrs.frozen
class RestartSome:
    """Single nodes crash and restart while the others run."""


@attrs.frozen
class ZoneCut:
    """A zone is cut off.

    Attributes:
      others: Zones that it does not reach; "platform" stands for the platform.
    """

    others: tuple[str, ...]


@attrs.frozen
class NodesPaused:
    """Some nodes stop and go on with an old view."""


FAULTS = (
    PlatformDown(),
    PlatformSlow(),
    PlatformStale(),
    PlatformMovesBack(),
    TwoOperators(),
    CrossingUpdates(),
    RestartTogether(),
    RestartSome(),
    ZoneCut(("platform",)),
    ZoneCut((ZONES[1],)),
    ZoneCut((*ZONES[1:], "platform")),
    NodesPaused(),
)


@singledispatch
def begin(adversity: object, run: FaultRun) -> None:
    """Starts a failure."""
    raise TypeError(f"no failure {type(adversity).__name__}")


@singledispatch
def continue_(adversity: object, run: FaultRun, step: int) -> None:
    """Adds to a failure in each step."""


@begin.register
def _(adversity: PlatformDown, run: FaultRun) -> None:
    run.platform.answer_share = 0.0


@begin.register
def _(adversity: PlatformSlow, run: FaultRun) -> None:
    run.platform.answer_share = 0.1


@begin.register
def _(adversity: PlatformStale, run: FaultRun) -> None:
    run.platform.shown = max(1, len(run.platform.values) - 2)


@begin.register
def _(adversity: PlatformMovesBack, run: FaultRun) -> None:
    del run.platform.values[len(run.platform.values) // 2 + 1 :]


@begin.register
def _(adversity: TwoOperators, run: FaultRun) -> None:
    run.platform.forked = True


@continue_.register
def _(adversity: TwoOperators, run: FaultRun, step: int) -> None:
    if step % 12 == 0:
        run.publish()
        run.publish(good=run.rng.random() < 0.7, same_revision=run.rng.random() < 0.5)


@begin.register
def _(adversity: CrossingUpdates, run: FaultRun) -> None:
    run.lost_share, run.delayed_share = 0.1, 0.3


@continue_.register
def _(adversity: CrossingUpdates, run: FaultRun, step: int) -> None:
    if step % 3 == 0:
        run.publish(good=run.rng.random() < 0.7)


@begin.register
def _(adversity: RestartTogether, run: FaultRun) -> None:
    for node_id in list(run.fleet.nodes):
        run.fleet.start(node_id)


@begin.register
def _(adversity: RestartSome, run: FaultRun) -> None:
    """Starts with nothing; nodes crash one after the other."""


@continue_.register
def _(adversity: RestartSome, run: FaultRun, step: int) -> None:
    for node_id, stepped in run.fleet.nodes.items():
        if not stepped.up:
            run.fleet.start(node_id)
    if step % 4 == 0:
        run.fleet.crash(run.rng.choice(list(run.fleet.nodes)))


@begin.register
def _(adversity: ZoneCut, run: FaultRun) -> None:
    run.cut |= {frozenset((ZONES[0], other)) for other in adversity.others}


@begin.register
def _(adversity: NodesPaused, run: FaultRun) -> None:
    """Starts with nothing; nodes pause one after the other."""


@continue_.register
def _(adversity: NodesPaused, run: FaultRun, step: int) -> None:
    if step % PAUSE_STEPS:
        return
    for stepped in run.fleet.nodes.values():
        stepped.paused = run.rng.random() < 0.3


def heal(run: FaultRun) -> None:
    """Ends every failure and starts or resumes every node."""
    run.cut.clear()
    run.lost_share = run.delayed_share = 0.0
    run.platform.answer_share, run.platform.shown, run.platform.forked = 1.0, None, False
    for node_id, stepped in list(run.fleet.nodes.items()):
        stepped.paused = False
        if not stepped.up:
            run.fleet.start(node_id)


def create_run(seed: int, create: Callable[[str, str, str], NodeState] = bare_node) -> FaultRun:
    """Returns a run whose nodes have not started yet."""
    rng = Random(seed)
    region = {zone: zone[:2] for zone in ZONES}

    def create_member(node_id: str) -> NodeState:
        zone = node_id.rpartition("-")[0]
        return create(node_id, zone, region[zone])

    checks = VersionChecks()
    fleet = SteppedFleet(create_member, rng, observe=checks.observe)
    run = FaultRun(rng, SteppedPlatform(rng), checks, fleet)
    fleet.read, fleet.decide_delivery = run.read, run.decide_delivery
    fleet.seeds = tuple(f"{zone}-0" for zone in ZONES)
    return run


def started_run(seed: int) -> FaultRun:
    """Returns a run whose nodes all serve the same version."""
    run = create_run(seed)
    run.publish()
    for zone in ZONES:
        for number in range(NODES_PER_ZONE):
            run.fleet.start(f"{zone}-{number}")
    for _ in range(START_STEPS):
        if all_serve(run.fleet):
            return run
        run.fleet.step()
    raise AssertionError("the nodes do not serve after the start")


def run_with_faults(seed: int, adversities: Iterable[object]) -> FaultRun:
    """Runs a fleet through failures that hold at the same time, then heals it.

    Args:
      seed: Seed of every choice.
      adversities: The failures.
    """
    run = started_run(seed)
    adversities = tuple(adversities)
    for _ in range(4):
        run.publish()
        run.steps(4)
    for adversity in adversities:
        begin(adversity, run)
    for step in range(ADVERSE_STEPS):
        for adversity in adversities:
            continue_(adversity, run, step)
        if step % 10 == 5:
            run.publish(good=run.rng.random() < 0.7)
        run.fleet.step()
    heal(run)
    run.publish()
    run.steps(SETTLE_STEPS)
    return run
