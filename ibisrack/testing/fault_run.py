"""A simulated fleet with its platform, and the network between its zones."""

from random import Random

import attrs

from ibisrack.node.state import NodeState
from ibisrack.platform.messages import PlatformValue
from ibisrack.testing.fixtures import PILBARA_RULES, bare_node
from ibisrack.testing.stepped_fleet import Delivery, Envelope, SteppedFleet, all_serving
from ibisrack.testing.version_checks import VersionChecks

ZONES = ("wa-1", "wa-2", "gt-1", "gt-2")
NODES_PER_ZONE = 3
MAX_START_STEPS = 100
INVALID_LINE = (
    b"route GET notice-desk/escorts to=gone rank=x deadline_ms=9 idempotent=yes  # Ana: bad\n"
)


@attrs.define
class SimulatedPlatform:
    """The simulated platform.

    Attributes:
      rng: Source of every random choice.
      values: Published values, the current one last.
      answered_share: Share of the reads that are answered.
      visible_count: Number of values that readers see, from the oldest on; None for all.
      conflicting: Whether each read returns one of the last two visible values at random.
      published_count: Number of values published so far.
    """

    rng: Random
    values: list[PlatformValue] = attrs.field(factory=list)
    answered_share: float = 1.0
    visible_count: int | None = None
    conflicting: bool = False
    published_count: int = 0

    def publish(self, revision: int, content: bytes) -> None:
        """Publishes a value."""
        self.values.append(PlatformValue("rules", revision, content))
        self.published_count += 1

    def read(self) -> PlatformValue | None:
        """Returns the value that a read sees, None for no answer."""
        if not self.values or self.rng.random() >= self.answered_share:
            return None
        visible = self.values[: self.visible_count]
        return self.rng.choice(visible[-2:]) if self.conflicting else visible[-1]


@attrs.define
class FaultRun:
    """A simulated fleet, its platform and the network faults in effect.

    Attributes:
      rng: Source of every random choice.
      platform: The platform that the nodes read.
      checks: Invariants that are checked after each tick and each received frame of a node.
      fleet: The nodes.
      partitioned_pairs: Pairs of zones that don't reach each other; "platform" stands for the
        platform.
      dropped_share: Share of the frames that are dropped.
      delayed_share: Share of the frames that are delayed.
    """

    rng: Random
    platform: SimulatedPlatform
    checks: VersionChecks
    fleet: SteppedFleet
    partitioned_pairs: set[frozenset[str]] = attrs.field(factory=set)
    dropped_share: float = 0.0
    delayed_share: float = 0.0

    def zone(self, node_id: str) -> str:
        """Returns the zone of a node."""
        return node_id.rpartition("-")[0]

    def read(self, node_id: str) -> PlatformValue | None:
        """Answers a node's read unless its zone does not reach the platform."""
        if frozenset((self.zone(node_id), "platform")) in self.partitioned_pairs:
            return None
        return self.platform.read()

    def decide_delivery(self, envelope: Envelope) -> Delivery:
        """Decides how a frame is treated."""
        zones = frozenset((self.zone(envelope.source), self.zone(envelope.target)))
        draw = self.rng.random()
        if zones in self.partitioned_pairs or draw < self.dropped_share:
            return Delivery.DROP
        return (
            Delivery.DELAY if draw < self.dropped_share + self.delayed_share else Delivery.DELIVER
        )

    def publish(self, valid: bool = True, same_revision: bool = False) -> None:
        """Publishes a version whose content differs from all others.

        Args:
          valid: Whether the content is a valid rules file.
          same_revision: Whether the revision of the current value is used again.
        """
        revision = self.platform.values[-1].revision if self.platform.values else 0
        note = f"# version {self.platform.published_count}\n".encode()
        content = note + PILBARA_RULES + (b"" if valid else INVALID_LINE)
        revision += not same_revision
        self.checks.record_published(revision, content)
        self.platform.publish(revision, content)

    def run_steps(self, count: int) -> None:
        """Advances the fleet by a number of steps."""
        for _ in range(count):
            self.fleet.step()


def create_unstarted_run(seed: int) -> FaultRun:
    """Returns a run whose nodes have not started yet; the seed is that of every random choice."""
    rng = Random(seed)
    region = {zone: zone[:2] for zone in ZONES}

    def create_node_state(node_id: str) -> NodeState:
        zone = node_id.rpartition("-")[0]
        return bare_node(node_id, zone, region[zone])

    checks = VersionChecks()
    fleet = SteppedFleet(create_node_state, rng, observe=checks.observe)
    run = FaultRun(rng, SimulatedPlatform(rng), checks, fleet)
    fleet.read, fleet.decide_delivery = run.read, run.decide_delivery
    fleet.seeds = tuple(f"{zone}-0" for zone in ZONES)
    return run


def create_serving_run(seed: int) -> FaultRun:
    """Returns a run whose nodes all take calls with the first version in force."""
    run = create_unstarted_run(seed)
    run.publish()
    for zone in ZONES:
        for number in range(NODES_PER_ZONE):
            run.fleet.start(f"{zone}-{number}")
    for _ in range(MAX_START_STEPS):
        if all_serving(run.fleet):
            return run
        run.fleet.step()
    raise AssertionError("some nodes do not take calls after the start")
