"""The state of a node: one object that holds the state of every slice."""

from random import Random

import attrs

from ibisrack.calls.tally import Tally
from ibisrack.clocks import Instant
from ibisrack.membership.records import MemberRecord
from ibisrack.membership.table import MemberTable
from ibisrack.node.lifecycle import Lifecycle
from ibisrack.node.observe import observe
from ibisrack.room.counters import CallCounters
from ibisrack.room.reports import RoomState
from ibisrack.settings.node import NodeSettings
from ibisrack.timeline.events import (
    Event,
    MemberChanged,
    NodeStateChanged,
    PauseDetected,
    VersionActivated,
)
from ibisrack.timeline.journal import write_entry
from ibisrack.timeline.log import EventLog
from ibisrack.versions.store import VersionStore

PAUSE_GAP_S = 2.0


@attrs.define
class LinkHealth:
    """What this node saw of its links.

    Attributes:
      answered: Links whose last exchange was answered.
      failed: Links whose last exchange failed, with the count of failures in a row.
    """

    answered: set[str] = attrs.field(factory=set)
    failed: dict[str, int] = attrs.field(factory=dict)

    def succeeded(self, node_id: str) -> None:
        """Notes an answered exchange."""
        self.answered.add(node_id)
        self.failed.pop(node_id, None)

    def failure(self, node_id: str) -> int:
        """Notes a failed exchange and returns the failures in a row."""
        self.answered.discard(node_id)
        self.failed[node_id] = self.failed.get(node_id, 0) + 1
        return self.failed[node_id]


@attrs.define
class NodeState:
    """Everything that a node knows; no I/O.

    Attributes:
      settings: The process's settings.
      rng: Source of jitter and choices.
      members: The member table.
      versions: The versions held.
      log: Recent events.
      room: Reports and summaries for the screens.
      counters: Calls of the last minute.
      lifecycle: The node's own state machine.
      links: Health of the links.
      last_tick_s: Monotonic time of the last tick, for pause detection.
      tally: Counts of events and calls since the start.
    """

    settings: NodeSettings
    rng: Random
    members: MemberTable
    versions: VersionStore
    log: EventLog
    room: RoomState
    counters: CallCounters = attrs.field(factory=CallCounters)
    lifecycle: Lifecycle = attrs.field(factory=Lifecycle)
    links: LinkHealth = attrs.field(factory=LinkHealth)
    last_tick_s: float | None = None
    tally: Tally = attrs.field(factory=Tally)

    def record(self, event: Event, now: Instant) -> None:
        """Adds an event to the time line, the counts and, for control events, the log."""
        observe(event, self.tally, self.counters, now.monotonic_s)
        write_entry(self.log.record(event, now.wall_ms))

    def move(self, trigger: str, now: Instant) -> None:
        """Fires a lifecycle trigger and records the change."""
        old = self.lifecycle.state
        self.lifecycle.trigger(trigger)
        if self.lifecycle.state != old:
            self.record(NodeStateChanged(old, self.lifecycle.state), now)

    def learn(self, record: MemberRecord, now: Instant) -> bool:
        """Applies a member record and records a change."""
        if not self.members.apply(record):
            return False
        kept = self.members.get(record.node_id)
        event = MemberChanged(
            kept.node_id, kept.liveness.name, kept.leaving, kept.generation, kept.incarnation
        )
        self.record(event, now)
        return True

    def activate_if_ready(self, now: Instant) -> bool:
        """Puts the staged version in force once enough peers hold it."""
        if not self.versions.may_activate(now.monotonic_s, len(self.links.answered)):
            return False
        activation = self.versions.activate()
        if activation is None:
            return False
        previous = activation.previous.revision if activation.previous else 0
        version_id = activation.version_id
        digest = version_id.digest.hex()
        self.record(VersionActivated(version_id.revision, digest, previous), now)
        return True

    def tick(self, now: Instant) -> bool:
        """Notes the passing of time.

        Returns:
          Whether the process was paused since the last tick.
        """
        last_s, self.last_tick_s = self.last_tick_s, now.monotonic_s
        gap_s = now.monotonic_s - last_s if last_s is not None else 0.0
        if gap_s < PAUSE_GAP_S:
            return False
        self.record(PauseDetected(gap_s), now)
        self.links.answered.clear()
        self.move("resume", now)
        return True


def create_node(settings: NodeSettings, rng: Random) -> NodeState:
    """Creates the state of a node that has just started."""
    identity, listen = settings.identity, settings.listen
    members = MemberTable(identity.node_id)
    members.apply(
        MemberRecord(
            node_id=identity.node_id,
            service=identity.service,
            zone=identity.zone,
            region=identity.region,
            host=listen.host,
            call_port=listen.call_port,
            peer_port=listen.peer_port,
            admin_port=listen.admin_port,
            generation=identity.generation,
        )
    )
    log = EventLog(identity.node_id, settings.timeline.capacity_events)
    return NodeState(settings, rng, members, VersionStore(), log, RoomState(identity.zone))
