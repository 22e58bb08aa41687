"""State of a node: one object that holds the state of every slice."""

from random import Random

import attrs

from ibisrack.clocks import Instant
from ibisrack.exchange.link_health import LinkHealth
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
from ibisrack.versions.store import VersionStore

PAUSE_THRESHOLD_S = 2.0


@attrs.define
class NodeState:
    """The state of all slices of a node; does no I/O.

    Attributes:
      settings: The process's settings.
      rng: Source of jitter and random choices.
      members: The member table.
      versions: The versions held.
      log: Recent events.
      room: Reports and summaries for the screens.
      counters: Counts of the calls of the last minute.
      lifecycle: The node's own state machine.
      links: Results of the exchanges over the links.
      gossip: Member changes that have to be sent to peers.
      suspicions: Suspected members and the time of their suspicion.
      dead_members: Dead members and the time of their death.
      hosts: The platform's host list.
      joining: Decides when to serve after the start, None before the join begins.
      resuming: Decides when to serve after the last pause, None before the first pause.
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
    gossip: GossipQueue = attrs.field(factory=GossipQueue)
    suspicions: Suspicions = attrs.field(factory=Suspicions)
    dead_members: DeadMembers = attrs.field(factory=DeadMembers)
    hosts: HostListView = attrs.field(factory=HostListView)
    joining: Joining | None = None
    resuming: Resuming | None = None
    last_tick_s: float | None = None
    tally: Tally = attrs.field(factory=Tally)
    traffic: ExchangeTraffic = attrs.field(factory=ExchangeTraffic)

    def record(self, event: Event, now: Instant) -> None:
        """Adds an event to the timeline, the counts and, for control events, the log."""
        observe(event, self.tally, self.counters, now.monotonic_s)
        log_control_event(self.log.record(event, now.wall_ms))

    def fire_trigger(self, trigger: str, now: Instant) -> None:
        """Fires a lifecycle trigger and records the change."""
        old = self.lifecycle.state
        self.lifecycle.trigger(trigger)
        if self.lifecycle.state != old:
            self.record(NodeStateChanged(old, self.lifecycle.state), now)

    def apply_record(self, record: MemberRecord, now: Instant, source: str = "") -> bool:
        """Applies a member record; a change is queued for the peers and recorded as an event.

        Args:
          record: The record, received from a peer or made by this node.
          now: The current instant.
          source: Peer that sent the record, empty for a record made by this node.

        Returns:
          Whether the member table changed.
        """
        if not self.members.apply(record):
            self._mark_known(record, source)
            return False
        kept = self.members.get(record.node_id)
        self.gossip.add(kept.node_id, source if kept == record else "")
        self.suspicions.update(kept, now.monotonic_s)
        self.dead_members.update(kept, now.monotonic_s)
        event = MemberChanged(
            kept.node_id, kept.liveness.name, kept.leaving, kept.generation, kept.incarnation
        )
        self.record(event, now)
        return True

    def forget(self, node_id: str) -> None:
        """Forgets a member that has left."""
        self.members.forget(node_id)
        self.suspicions.forget(node_id)
        self.dead_members.drop(node_id)

    def _mark_known(self, record: MemberRecord, source: str) -> None:
        known = self.members.get(record.node_id)
        if source and known and known.precedence == record.precedence:
            self.gossip.mark_known(record.node_id, source)

    def activate_if_ready(self, now: Instant) -> bool:
        """Activates the staged version if enough peers hold it; returns whether it did."""
        if self.versions.staged is None or self.paused(now):
            return False
        if self.lifecycle.state == JOINING:
            # The member table is still filling, and newly learned peers have to confirm too.
            self.refresh_links()
        if not self.versions.confirmation.is_complete(now.monotonic_s, self.links.chosen):
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
        """Returns whether the links should be queried for a version or for its confirmations."""
        source = self.versions.transfer.needs_source(now.monotonic_s)
        return self.versions.confirmation.needs_retry(now.monotonic_s) or source

    def tick(self, now: Instant) -> bool:
        """Advances the time and handles a pause of the process.

        Returns:
          Whether the process was paused since the last tick.
        """
        paused, last_s = self.paused(now), self.last_tick_s
        self.last_tick_s = now.monotonic_s
        if not paused:
            return False
        self.record(PauseDetected(now.monotonic_s - last_s), now)
        self.links.reset()
        self.suspicions.restart(now.monotonic_s)
        self.versions.confirmation.restart(now.monotonic_s)
        self.resuming = Resuming(now.monotonic_s)
        if self.joining is not None:
            self.joining = attrs.evolve(self.joining, started_at_s=now.monotonic_s)
        self.fire_trigger("resume", now)
        return True

    def paused(self, now: Instant) -> bool:
        """Returns whether the process was paused and no tick has handled the pause yet."""
        return (
            self.last_tick_s is not None and now.monotonic_s - self.last_tick_s >= PAUSE_THRESHOLD_S
        )

    def refresh_links(self) -> tuple[MemberRecord, ...]:
        """Chooses the links from the current member table and returns them."""
        links = choose_links(self.members.own(), self.members.all())
        self.links.chosen = frozenset(link.node_id for link in links)
        return links

    def is_elected_reader(self) -> bool:
        """Returns whether the member table elects this node to read the platform for its zone."""
        own = self.members.own()
        return own.node_id in {m.node_id for m in elect_readers(own.zone, self.members.all())}

    def links_view(self) -> LinksView:
        """Returns the state of the links for the decisions to join and to resume."""
        self.refresh_links()
        links = self.links
        return LinksView(
            reported_versions={
                peer: links.reported_versions[peer]
                for peer in links.chosen
                if peer in links.reported_versions
            },
            pending_links=links.chosen - links.reported_versions.keys() - links.failed.keys(),
            is_elected_reader=self.is_elected_reader(),
        )

    def begin_join(
        self, now: Instant, first_read_delay_s: float, isolated_read_delay_s: float
    ) -> None:
        """Starts the join.

        Args:
          now: The current instant.
          first_read_delay_s: Jittered delay of the first platform read of an elected node.
          isolated_read_delay_s: The same for a node that gets no answer from any peer.
        """
        timeout_s = self.settings.exchange.join_timeout_s
        self.joining = Joining(
            now.monotonic_s, timeout_s, first_read_delay_s, isolated_read_delay_s
        )
        self.fire_trigger("join", now)

    def join_step(self, now: Instant) -> Step:
        """Decides the next step of the join."""
        return self.joining.step(self.links_view(), self.versions, now.monotonic_s)

    def serve_if_ready(self, now: Instant) -> bool:
        """Starts to serve once the node has joined, or has compared revisions after a pause.

        Returns:
          Whether the node started to serve.
        """
        if not self._may_serve(now):
            return False
        self.fire_trigger("serve", now)
        return True

    def _may_serve(self, now: Instant) -> bool:
        if self.lifecycle.state == JOINING:
            return self.join_step(now) is Step.SERVE
        if self.lifecycle.state == RESUMING:
            return self.resuming.may_serve(self.links_view(), self.versions, now.monotonic_s)
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
