"""The state of a node: one object that holds the state of every slice."""

from random import Random

import attrs

from ibisrack.clocks import Instant
from ibisrack.exchange.traffic import ExchangeTraffic
from ibisrack.membership.dead_members import DeadMembers
from ibisrack.membership.election import elect_readers
from ibisrack.membership.gossip import GossipQueue
from ibisrack.membership.hosts import HostListView
from ibisrack.membership.overlay import choose_links
from ibisrack.membership.records import MemberRecord
from ibisrack.membership.suspicion import Suspicions
from ibisrack.membership.table import MemberTable
from ibisrack.metrics.tally import Tally
from ibisrack.node.joining import Joining, LinksView, Resuming, Step
from ibisrack.node.lifecycle import JOINING, RESUMING, Lifecycle
from ibisrack.node.observe import observe
from ibisrack.room.counters import CallCounters
from ibisrack.room.reports import RoomState
from ibisrack.settings.node import NodeSettings
from ibisrack.timeline.control_log import log_control_event
from ibisrack.timeline.events import (
    Event,
    MemberChanged,
    NodeStateChanged,
    PauseDetected,
    VersionActivated,
)
from ibisrack.timeline.log import EventLog
from ibisrack.versions.chunks import VersionId
from ibisrack.versions.store import VersionStore

PAUSE_GAP_S = 2.0


@attrs.define
class LinkHealth:
    """What this node saw of its links.

    Attributes:
      answered: Links whose last exchange was answered.
      failed: Links whose last exchange failed, with the count of failures in a row.
      chosen: Node ids of the links that choose_links gave last.
      told: The highest version that each peer told since the last forget().
    """

    answered: set[str] = attrs.field(factory=set)
    failed: dict[str, int] = attrs.field(factory=dict)
    chosen: frozenset[str] = frozenset()
    told: dict[str, VersionId | None] = attrs.field(factory=dict)

    def succeeded(self, node_id: str) -> None:
        """Notes an answered exchange."""
        self.answered.add(node_id)
        self.failed.pop(node_id, None)

    def failure(self, node_id: str) -> int:
        """Notes a failed exchange and returns the failures in a row."""
        self.answered.discard(node_id)
        self.failed[node_id] = self.failed.get(node_id, 0) + 1
        self.told.pop(node_id, None)
        return self.failed[node_id]

    def dropped(self, node_id: str) -> None:
        """Forgets a peer that is no link any more."""
        self.answered.discard(node_id)
        self.failed.pop(node_id, None)
        self.told.pop(node_id, None)

    def forget(self) -> None:
        """Drops what was seen before a pause."""
        self.answered.clear()
        self.failed.clear()
        self.told.clear()


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
      news: Member changes to tell to peers.
      suspicions: Members that are suspected.
      departures: Members that are dead.
      hosts: The platform's host list.
      joining: The decision to serve after the start, None before it.
      resuming: The decision to serve after the last pause.
      last_tick_s: Monotonic time of the last tick, for pause detection.
      tally: Counts of events and calls since the start.
      traffic: Counts of the frames exchanged with peers.
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
    news: GossipQueue = attrs.field(factory=GossipQueue)
    suspicions: Suspicions = attrs.field(factory=Suspicions)
    departures: DeadMembers = attrs.field(factory=DeadMembers)
    hosts: HostListView = attrs.field(factory=HostListView)
    joining: Joining | None = None
    resuming: Resuming | None = None
    last_tick_s: float | None = None
    tally: Tally = attrs.field(factory=Tally)
    traffic: ExchangeTraffic = attrs.field(factory=ExchangeTraffic)

    def record(self, event: Event, now: Instant) -> None:
        """Adds an event to the time line, the counts and, for control events, the log."""
        observe(event, self.tally, self.counters, now.monotonic_s)
        log_control_event(self.log.record(event, now.wall_ms))

    def move(self, trigger: str, now: Instant) -> None:
        """Fires a lifecycle trigger and records the change."""
        old = self.lifecycle.state
        self.lifecycle.trigger(trigger)
        if self.lifecycle.state != old:
            self.record(NodeStateChanged(old, self.lifecycle.state), now)

    def learn(self, record: MemberRecord, now: Instant, source: str = "") -> bool:
        """Applies a member record, queues it as news and records a change.

        Args:
          record: What was heard or decided.
          now: The current instant.
          source: Peer that sent the record, empty for a decision of this node.
        """
        if not self.members.apply(record):
            self._note_known(record, source)
            return False
        kept = self.members.get(record.node_id)
        self.news.add(kept.node_id, source if kept == record else "")
        self.suspicions.update(kept, now.monotonic_s)
        self.departures.update(kept, now.monotonic_s)
        event = MemberChanged(
            kept.node_id, kept.liveness.name, kept.leaving, kept.generation, kept.incarnation
        )
        self.record(event, now)
        return True

    def forget(self, node_id: str) -> None:
        """Forgets a member that has left."""
        self.members.forget(node_id)
        self.suspicions.forget(node_id)
        self.departures.drop(node_id)

    def _note_known(self, record: MemberRecord, source: str) -> None:
        known = self.members.get(record.node_id)
        if source and known and known.precedence == record.precedence:
            self.news.mark_known(record.node_id, source)

    def activate_if_ready(self, now: Instant) -> bool:
        """Puts the staged version in force once enough peers hold it."""
        if self.versions.staged is None or self.paused(now):
            return False
        if self.lifecycle.state == JOINING:
            # The table still fills, and a peer that was learned a moment ago has to confirm too.
            self.refresh_links()
        if not self.versions.may_activate(now.monotonic_s, self.links.chosen):
            return False
        activation = self.versions.activate()
        if activation is None:
            return False
        previous = activation.previous.revision if activation.previous else 0
        version_id = activation.version_id
        digest = version_id.digest.hex()
        self.record(VersionActivated(version_id.revision, digest, previous), now)
        return True

    def needs_exchange(self, now: Instant) -> bool:
        """Tells that the links should be asked for a version or for confirmations of one."""
        source = self.versions.needs_source(now.monotonic_s)
        return self.versions.needs_confirmations(now.monotonic_s) or source

    def tick(self, now: Instant) -> bool:
        """Notes the passing of time.

        Returns:
          Whether the process was paused since the last tick.
        """
        paused, last_s = self.paused(now), self.last_tick_s
        self.last_tick_s = now.monotonic_s
        if not paused:
            return False
        self.record(PauseDetected(now.monotonic_s - last_s), now)
        self.links.forget()
        self.suspicions.restart(now.monotonic_s)
        self.versions.restart_confirmation(now.monotonic_s)
        self.resuming = Resuming(now.monotonic_s)
        if self.joining is not None:
            self.joining = attrs.evolve(self.joining, started_at_s=now.monotonic_s)
        self.move("resume", now)
        return True

    def paused(self, now: Instant) -> bool:
        """Tells whether the process was paused and has not noticed it in a tick yet."""
        return self.last_tick_s is not None and now.monotonic_s - self.last_tick_s >= PAUSE_GAP_S

    def refresh_links(self) -> tuple[MemberRecord, ...]:
        """Chooses the links from the member table as it is now and returns them."""
        links = choose_links(self.members.own(), self.members.all())
        self.links.chosen = frozenset(link.node_id for link in links)
        return links

    def is_elected(self) -> bool:
        """Tells whether this node's member table elects it to read for its zone."""
        own = self.members.own()
        return own.node_id in {m.node_id for m in elect_readers(own.zone, self.members.all())}

    def view(self) -> LinksView:
        """Returns what the decisions on joining and resuming depend on."""
        self.refresh_links()
        links = self.links
        return LinksView(
            told={peer: links.told[peer] for peer in links.chosen if peer in links.told},
            unheard=links.chosen - links.told.keys() - links.failed.keys(),
            elected=self.is_elected(),
        )

    def begin_join(self, now: Instant, first_read_s: float, lone_read_s: float) -> None:
        """Starts the join.

        Args:
          now: The current instant.
          first_read_s: Jittered time before a first platform read of an elected node.
          lone_read_s: The same for a node that no peer answers.
        """
        timeout_s = self.settings.exchange.join_timeout_s
        self.joining = Joining(now.monotonic_s, timeout_s, first_read_s, lone_read_s)
        self.move("join", now)

    def join_step(self, now: Instant) -> Step:
        """Returns the next step of the join."""
        return self.joining.step(self.view(), self.versions, now.monotonic_s)

    def serve_if_ready(self, now: Instant) -> bool:
        """Takes calls once the node has joined, or has compared revisions after a pause.

        Returns:
          Whether the node takes calls from now on.
        """
        if not self._may_serve(now):
            return False
        self.move("serve", now)
        return True

    def _may_serve(self, now: Instant) -> bool:
        if self.lifecycle.state == JOINING:
            return self.join_step(now) is Step.SERVE
        if self.lifecycle.state == RESUMING:
            return self.resuming.may_serve(self.view(), self.versions, now.monotonic_s)
        return False


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
