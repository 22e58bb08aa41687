"""State of a sidecar: its parts, and the updates from registry and peers that connect them."""

import asyncio
import logging
import time
import uuid
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

import attrs

from ibisrack.clocks import read_clocks
from ibisrack.dispatch.destination import Destination
from ibisrack.dispatch.dispatcher import Dispatcher
from ibisrack.errors import MessageError
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import Instance
from ibisrack.links.incoming import IncomingLink
from ibisrack.links.messages import Entries, Hello, Load
from ibisrack.links.outgoing import OutgoingLink
from ibisrack.links.pacer import LinkPacer
from ibisrack.metrics.tally import Tally
from ibisrack.node.tasks import keep_running
from ibisrack.registry.deltas import MissingBaseError, pack_changes
from ibisrack.registry.follower import RegistryFollower
from ibisrack.registry.messages import NO_REVISION, Delta, Entry, PackedEntry, Revision
from ibisrack.registry.peer_deltas import PeerDeltas
from ibisrack.registry.sources import Candidate, Sources, candidate_hosts, choose_sources
from ibisrack.registry.view import RegistryView
from ibisrack.routing.holder import ConfigurationHolder
from ibisrack.routing.reported_versions import ReportedVersions
from ibisrack.settings.sidecar import SidecarSettings
from ibisrack.sidecar.content import RegistryContent
from ibisrack.sidecar.local_destination import LocalDestination
from ibisrack.sidecar.loop_delay import LoopDelayMeter
from ibisrack.suspects.exchange import PeerLink, SuspectExchange

TICK_INTERVAL_S = 0.1
LOAD_REPORT_INTERVAL_S = 1.0  # A changed load is sent to peers after at most this time.
# A node whose registry view has been behind a peer's for this long requests the missing entries
# from the peer; the registry itself usually delivers them sooner.
CATCH_UP_DELAY_S = 0.4
# Longer than the transfer of a whole configuration over the slowest links: a request that is
# repeated earlier would delay the answer to the first one.
CATCH_UP_INTERVAL_S = 2.0
CANDIDATE_OPEN_INTERVAL_S = 1.0  # Interval of connection attempts to candidates for following.

_LOGGER = logging.getLogger("ibisrack.sidecar")


@attrs.define(eq=False)
class SidecarNode:
    """State of a sidecar process.

    Attributes:
      settings: Settings in force.
      content: Applies the entries of the registry.
      rng: Source of jitter.
      directory: Known instances.
      configurations: Holder of the configuration in force.
      view: The registry's content as this node knows it.
      instance_runner: Runs requests on the instance beside this node.
      tally: Counts for metrics.
      dispatcher: Serves callers; set once, after the other parts.
      incoming_links: Open links on which peers send requests.
      outgoing_links: Links to the nodes of other instances by their IP number.
      stopping: Whether the process is stopping.
      process_epoch: Random id of this run of the process, by which peers notice a restart.
      resize_pool: Adapts the connection pool to the number of slots of the instance.
      follower: Reads the registry; set once, after the other parts.
      sources: Where this node gets the registry's changes from.
      peer_deltas: Peers that are not relied on for the registry's changes.
      loop_delay: How late the event loop runs the periodic work.
      suspects: Requests that are suspected of crashing instances.
      pacer: Spaces large answers on the host's link.
    """

    settings: SidecarSettings
    content: RegistryContent
    rng: Random
    directory: InstanceDirectory
    configurations: ConfigurationHolder
    view: RegistryView
    instance_runner: InstanceRunner
    tally: Tally
    dispatcher: Dispatcher | None = None
    incoming_links: set[IncomingLink] = attrs.field(factory=set)
    outgoing_links: dict[str, OutgoingLink] = attrs.field(factory=dict)
    stopping: bool = False
    process_epoch: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    resize_pool: Callable[[int], None] = attrs.field(default=lambda slots: None)
    follower: RegistryFollower | None = None
    sources: Sources = Sources(reads=True)
    peer_deltas: PeerDeltas = attrs.field(factory=PeerDeltas)
    loop_delay: LoopDelayMeter = attrs.field(factory=LoopDelayMeter)
    suspects: SuspectExchange = attrs.field(factory=SuspectExchange)
    pacer: LinkPacer = attrs.field(
        default=attrs.Factory(lambda self: LinkPacer(self.settings.link_mbps), takes_self=True)
    )
    _behind_since_s: float | None = None
    _entries_requested_at_s: float = 0.0
    _load_reported_at_s: float = 0.0
    _candidates_opened_at_s: float = 0.0
    _delivered_at_s: float = 0.0
    _reported_as_reader: bool = False
    _reported_version: int = 0
    _reported_versions: ReportedVersions = attrs.field(factory=ReportedVersions)
    _packed_changes: dict[tuple[Revision, Revision], Entries] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    @property
    def hello(self) -> Hello:
        """First message of this node on each of its links."""
        return Hello(self.settings.links.host, self.process_epoch, self.settings.link_mbps)

    @property
    def ready(self) -> bool:
        """Whether callers may send requests to this node."""
        return not self.stopping and self.configurations.current is not None

    @property
    def is_serving_peers(self) -> bool:
        """Whether any peer waits for a result, or for the rest of one."""
        return any(
            link.runs or link.writer.transport.get_write_buffer_size() > 0
            for link in self.incoming_links
        )

    def load(self) -> Load:
        """Returns the current load of the instance beside this node."""
        now_s = read_clocks().monotonic_s
        load, pace = self.instance_runner.gate.load(), self.instance_runner.gate.scheduler.pace
        return Load(
            load.busy,
            load.queued,
            load.slots,
            round(self.instance_runner.service_s * 1000, 1),
            self.instance_runner.accepts_requests,
            self.view.revision,
            self.follower.is_reading(now_s),
            self.follower.may_read and not self.stopping,
            self.instance_runner.notices.instance_id,
            pace.stated_per_s,
            0 if pace.stated_per_s is None else int(pace.available(now_s)),
            self.instance_runner.notices.leaving_start_ms,
            self.configurations.reported_version,
        )

    def peer_links(self) -> tuple[PeerLink, ...]:
        """Returns the links with peers, in both directions."""
        return (*self.incoming_links, *self.outgoing_links.values())

    @property
    def latest_reported_version(self) -> int:
        """Latest version of the configuration that peers have in force, 0 if none is known."""
        return self._reported_versions.latest(read_clocks().monotonic_s)

    def lacks_later_configuration(self) -> bool:
        """Returns whether peers have a later configuration in force than this node."""
        self._record_reported_versions()
        return self.configurations.is_older_than(self.latest_reported_version)

    def _record_reported_versions(self) -> None:
        for link in self.outgoing_links.values():
            if link.load is not None:
                self._reported_versions.record(link.load.configuration_version, link.heard_at_s)

    def report_load(self) -> None:
        """Sends the load, if it has changed, to all peers that send requests to this node."""
        load = self.load()
        for link in self.incoming_links:
            link.send_load_if_changed(load)

    def leave_own_instance(self) -> None:
        """Stops using the own instance, which is about to end, and tells the peers."""
        self._update_own_instance()
        self.report_load()

    def reload(self, settings: SidecarSettings) -> None:
        """Applies changed settings; changed addresses take effect only after a restart."""
        kept = attrs.evolve(
            settings,
            instance=self.settings.instance,
            calls=self.settings.calls,
            links=self.settings.links,
            ready=self.settings.ready,
            metrics=self.settings.metrics,
            registry=self.settings.registry,
        )
        if kept != settings:
            _LOGGER.warning("changed addresses need a restart")
        _LOGGER.info("settings reloaded", extra={"changed": kept != self.settings})
        self.settings = kept
        self.dispatcher.zone = kept.zone
        self.pacer.link_mbps = kept.link_mbps
        self.dispatcher.budget.configure(
            kept.retry_ratio,
            kept.retry_slack,
            kept.retry_window_s,
            read_clocks().monotonic_s,
        )
        self._update_own_instance()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task that is cancelled when the node closes."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancels the tasks of this node and aborts its incoming links."""
        for task in self._tasks:
            task.cancel()
        for link in tuple(self.incoming_links):
            link.writer.transport.abort()

    def destination_of(self, instance: Instance) -> Destination:
        """Returns the destination of requests for an instance, creating its link if needed."""
        if instance.host == self.settings.instance.host:
            return LocalDestination(self.instance_runner, self.load)
        return self._link_to(instance.host)

    def _link_to(self, host: str) -> OutgoingLink:
        link = self.outgoing_links.get(host)
        if link is None:
            link = OutgoingLink(
                self.hello,
                host,
                self.settings.links.port,
                self._apply_peer_entries,
                self._mark_peer_leaving,
                self.suspects,
            )
            self.outgoing_links[host] = link
            self.spawn(keep_running("link", link.maintain))
        return link

    def _mark_peer_leaving(self, instance_id: str, start_ms: int) -> None:
        if self.directory.mark_draining(instance_id, start_ms):
            extra = {"instance": instance_id, "heard_from": "peer"}
            _LOGGER.info("instance leaving", extra=extra)

    def apply_entries(self, entries: tuple[Entry, ...]) -> None:
        """Applies changed entries of the registry."""
        self.content.apply(entries)
        self._handle_new_content()

    def apply_restored_entries(self, entries: tuple[Entry, ...]) -> None:
        """Applies the entries of a registry that was restored from an earlier copy of itself."""
        extra = {"revision": str(self.view.revision), "entries": len(entries)}
        _LOGGER.info("registry restored", extra=extra)
        self.content.apply_restored(entries)
        self._handle_new_content()

    def _handle_new_content(self) -> None:
        self._update_own_instance()
        for link in self.incoming_links:
            link.send_followed_entries()
        if self.configurations.version != self._reported_version:
            self._reported_version = self.configurations.version
            self.report_load()

    def set_registry_state(self, answering: bool) -> None:
        """Records whether the registry answers."""
        if answering:
            self.directory.mark_registry_up(read_clocks().monotonic_s)
        else:
            self.directory.mark_registry_down()

    def entries_after(self, revision: Revision) -> Entries | None:
        """Returns the registry's changes after a revision, None if this node knows of none."""
        if self.view.revision <= revision:
            return None
        key = (self.view.revision, revision)
        if key not in self._packed_changes:
            delta = pack_changes(self.view, revision)
            changed = tuple(attrs.astuple(packed, recurse=False) for packed in delta.changed)
            # Most followers have the same revision, so the last result usually serves them all.
            self._packed_changes = {key: Entries(delta.revision, delta.keys, changed)}
        return self._packed_changes[key]

    async def tick(self) -> None:
        """Runs the periodic work: clean-up, silence checks, expiry, load reports and catch-up."""
        due_at_s = read_clocks().monotonic_s
        while True:
            now_s = read_clocks().monotonic_s
            self.loop_delay.record(now_s - due_at_s, now_s, time.process_time())
            self.instance_runner.clean_up(now_s)
            for link in tuple(self.outgoing_links.values()):
                link.check_silence(now_s)
            for instance_id in self.directory.expire(now_s):
                _LOGGER.info("instance gone", extra={"instance": instance_id, "why": "lapsed"})
            if now_s - self._load_reported_at_s >= LOAD_REPORT_INTERVAL_S:
                self._load_reported_at_s = now_s
                self.report_load()
                self.suspects.table.expire(now_s)
            self._record_reported_versions()
            self._choose_sources(now_s)
            self._request_missing_entries(now_s)
            for link in self.incoming_links:
                link.send_followed_entries()
            due_at_s = read_clocks().monotonic_s + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)

    def _update_own_instance(self) -> None:
        """Applies the listed state of the instance beside this node and the routes that use it."""
        instance = self.instance_runner.instance
        if self.configurations.current is not None:
            service = instance.service if instance else self.settings.service
            priorities = self.configurations.priorities.get(service, frozenset())
            self.instance_runner.configure(service, priorities)
        if instance is not None:
            self.resize_pool(instance.slots)
            if not instance.ready:
                self.instance_runner.refuse_waiting()
        self.dispatcher.budget.nodes = len({i.host for i in self.directory.all()})

    def _apply_peer_entries(self, link: OutgoingLink, message: Entries) -> None:
        if message.revision <= self.view.revision:
            return
        changed = tuple(PackedEntry(*row) for row in message.changed)
        now_s = read_clocks().monotonic_s
        try:
            self.follower.apply_peer_delta(Delta(message.revision, message.keys, changed))
        except MissingBaseError as error:
            extra = {"peer": link.host, "revision": str(message.revision), "error": str(error)}
            _LOGGER.info("registry changes do not fit", extra=extra)
            if self.peer_deltas.record_unfit(link.host, message.revision, now_s):
                link.request_entries(NO_REVISION)
        except MessageError as error:
            self.peer_deltas.record_refused(link.host, now_s)
            self._record_refused_delta(link.host, message.revision, str(error))

    def _record_refused_delta(self, host: str, revision: Revision, error: str) -> None:
        """Counts and logs unusable changes of a peer; its link stays open for requests."""
        extra = {"peer": host, "revision": str(revision), "error": error}
        _LOGGER.warning("registry changes refused", extra=extra)
        self.tally.refused_deltas += 1

    def _candidate(self, link: OutgoingLink, now_s: float) -> Candidate:
        """Returns a peer as a source of the registry's changes."""
        candidate = link.candidate(now_s)
        if self.peer_deltas.is_refused(link.host, now_s):
            return attrs.evolve(candidate, delivering=False)
        return candidate

    def _choose_sources(self, now_s: float) -> None:
        """Chooses whether to read the registry, and the peers that deliver its changes."""
        hosts = (i.host for i in self.directory.all() if i.zone == self.settings.zone)
        own = Candidate(
            self.settings.instance.host,
            self.settings.link_mbps,
            self.follower.may_read,
            self.follower.is_reading(now_s),
        )
        for host in self.peer_deltas.refuse_unfit(self.view.revision, now_s):
            self._record_refused_delta(host, self.view.revision, "the whole content did not fit")
        links = [self._link_to(host) for host in candidate_hosts(hosts) if host != own.host]
        if now_s - self._candidates_opened_at_s >= CANDIDATE_OPEN_INTERVAL_S:
            self._candidates_opened_at_s = now_s
            for link in links:
                link.request_open()
        peers = [self._candidate(link, now_s) for link in links]
        if any(peer.delivering for peer in peers):
            self._delivered_at_s = now_s
        sources = choose_sources(own, peers, now_s - self._delivered_at_s)
        for link in self.outgoing_links.values():
            if link.host in sources.followed:
                link.follow(self.view.revision)
            else:
                link.unfollow()
        self.follower.set_delivered_by_peers(not sources.reads)
        if sources != self.sources:
            extra = {"reads": sources.reads, "peers": list(sources.followed)}
            _LOGGER.info("registry sources changed", extra=extra)
            self.sources = sources
        if self.follower.is_reading(now_s) != self._reported_as_reader:
            self._reported_as_reader = not self._reported_as_reader
            self.report_load()

    def _request_missing_entries(self, now_s: float) -> None:
        """Requests entries from a peer with a later registry revision if this node lags."""
        revision = self.view.revision
        # Most peers have the same revision; to compare which is later takes twenty times as long.
        ahead = [
            link
            for link in self.outgoing_links.values()
            if link.load is not None
            and link.load.revision != revision
            and link.load.revision > revision
            and not self.peer_deltas.is_refused(link.host, now_s)
        ]
        if not ahead:
            self._behind_since_s = None
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        is_due = now_s - self._behind_since_s >= CATCH_UP_DELAY_S
        if is_due and now_s - self._entries_requested_at_s >= CATCH_UP_INTERVAL_S:
            self._entries_requested_at_s = now_s
            # A random one, so that the nodes that lag don't all ask the same peer.
            local = [link for link in ahead if self._is_in_own_zone(link.host)]
            self.rng.choice(local or ahead).request_entries(self.view.revision)

    def _is_in_own_zone(self, host: str) -> bool:
        return any(i.host == host and i.zone == self.settings.zone for i in self.directory.all())
