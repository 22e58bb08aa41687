"""State of a sidecar: its parts, and the updates from registry and peers that connect them."""

import asyncio
import logging
import math
import time
import uuid
from collections.abc import Callable, Coroutine
from random import Random
from statistics import median
from typing import Any

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.dispatch.destination import Destination
from ibisrack.dispatch.dispatcher import Dispatcher
from ibisrack.hosting.coldness import cold_bound
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import Instance
from ibisrack.links.incoming import IncomingLink
from ibisrack.links.messages import MAX_REPORTED_PRIORITIES, Entries, Hello, Load
from ibisrack.links.outgoing import OutgoingLink
from ibisrack.links.pacer import LinkPacer, reported_backlog_ms
from ibisrack.memory.connections import ConnectionLimit, create_connection_limit
from ibisrack.metrics.tally import Tally
from ibisrack.node.tasks import keep_running
from ibisrack.pipelining.recorder import PipeliningRecorder
from ibisrack.registry.follower import RegistryFollower
from ibisrack.registry.messages import MAX_LOGGED_KEY_CHARS, Entry
from ibisrack.registry.timing import RegistryTiming
from ibisrack.registry.view import RegistryView
from ibisrack.routing.holder import ConfigurationHolder
from ibisrack.routing.reported_versions import ReportedVersions
from ibisrack.settings.sidecar import SidecarSettings
from ibisrack.sidecar.content import RegistryContent
from ibisrack.sidecar.local_destination import LocalDestination
from ibisrack.sidecar.loop_delay import LoopDelayMeter
from ibisrack.sidecar.registry_peers import RegistryPeers
from ibisrack.suspects.exchange import PeerLink, SuspectExchange

TICK_INTERVAL_S = 0.1
LOAD_REPORT_INTERVAL_S = 1.0  # A changed load is sent to peers after at most this time.

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
      loop_delay: How late the event loop runs the periodic work.
      suspects: Requests that are suspected of crashing instances.
      pipelining: Counts and logs pipelined requests that ran before their turn.
      pacer: Spaces large bodies on the host's link.
      connection_limit: Admits callers' connections; its account counts the bytes held for others.
      registry_peers: Peers from which the registry's changes come, and what goes to others.
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
    loop_delay: LoopDelayMeter = attrs.field(factory=LoopDelayMeter)
    suspects: SuspectExchange = attrs.field(factory=SuspectExchange)
    pacer: LinkPacer = attrs.field(
        default=attrs.Factory(lambda self: LinkPacer(self.settings.link_mbps), takes_self=True)
    )
    pipelining: PipeliningRecorder = attrs.field(factory=PipeliningRecorder)
    connection_limit: ConnectionLimit = attrs.field(
        default=attrs.Factory(
            lambda self: create_connection_limit(
                self.settings.memory_mb, self.settings.max_descriptors
            ),
            takes_self=True,
        )
    )
    registry_peers: RegistryPeers = attrs.field(
        default=attrs.Factory(lambda self: self._create_registry_peers(), takes_self=True)
    )
    _closed: bool = False
    _load_reported_at_s: float = 0.0
    # Version of the configuration and evacuated zones at the last report for their sake.
    _reported_content: tuple[int, frozenset[str]] = (0, frozenset())
    _reported_versions: ReportedVersions = attrs.field(factory=ReportedVersions)
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
        """Whether any peer waits for a result or the rest of one, or is sending a request."""
        return any(
            link.runs or link.incomplete or link.writer.transport.get_write_buffer_size() > 0
            for link in self.incoming_links
        )

    def load(self) -> Load:
        """Returns the current load of the instance beside this node."""
        now_s = read_monotonic_s()
        load, pace = self.instance_runner.gate.load(), self.instance_runner.gate.scheduler.pace
        cold = self.instance_runner.cold_starts
        return Load(
            load.busy,
            load.queued,
            load.slots,
            round(self.instance_runner.service_s * 1000, 1),
            self.instance_runner.accepts_requests,
            self.view.revision,
            self.follower.is_reading(now_s),
            self.follower.may_read(now_s) and not self.stopping,
            self.instance_runner.notices.instance_id,
            pace.stated_per_s,
            0 if pace.stated_per_s is None else int(pace.available(now_s)),
            self.instance_runner.notices.leaving_start_ms,
            self.configurations.reported_version,
            math.ceil(cold.cold_left_s(now_s) * 10) * 100,
            0 if cold.paced_per_s is None else int(cold.window.free_starts(now_s)),
            cold.paced_per_s,
            reported_backlog_ms(self.pacer.backlog_s(now_s)),
            self.settings.link_mbps,
            self.instance_runner.gate.scheduler.queued_by_priority(MAX_REPORTED_PRIORITIES),
        )

    def peer_links(self) -> tuple[PeerLink, ...]:
        """Returns the links with peers, in both directions."""
        return (*self.incoming_links, *self.outgoing_links.values())

    @property
    def latest_reported_version(self) -> int:
        """Latest version of the configuration that peers have in force, 0 if none is known."""
        return self._reported_versions.latest(read_monotonic_s())

    def lacks_later_configuration(self) -> bool:
        """Returns whether peers have a later configuration in force than this node."""
        self._record_reported_versions()
        return self.configurations.is_older_than(self.latest_reported_version)

    def _record_reported_versions(self) -> None:
        for link in self.outgoing_links.values():
            if link.load is not None:
                self._reported_versions.record(
                    link.load.configuration_version, link.silence.heard_at_s
                )

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
        self.settings = self.registry_peers.settings = kept
        self.registry_peers.timing = RegistryTiming(kept.registry_apply_s, kept.heartbeat_s)
        self.follower.configure(self.registry_peers.timing)
        self.dispatcher.selector.zone = kept.zone
        self.pacer.link_mbps = kept.link_mbps
        self.dispatcher.budget.configure(
            kept.retry_ratio,
            kept.retry_slack,
            kept.retry_window_s,
            read_monotonic_s(),
        )
        self._update_own_instance()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task that is cancelled when the node closes."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancels the tasks of this node and aborts its incoming links."""
        self._closed = True
        for task in self._tasks:
            task.cancel()
        for link in tuple(self.incoming_links):
            link.writer.transport.abort()

    def destination_of(self, instance: Instance) -> Destination:
        """Returns the destination of requests for an instance, creating its link if needed."""
        if instance.host == self.settings.instance.host:
            return LocalDestination(self.instance_runner, self.load)
        return self._link_to(instance.host)

    def load_of(self, instance: Instance) -> Load | None:
        """Returns the last reported load of an instance, None without a link to its node."""
        if instance.host == self.settings.instance.host:
            return self.load()
        link = self.outgoing_links.get(instance.host)
        return None if link is None else link.load

    def choose_registry_sources(self) -> None:
        """Chooses where the registry's changes come from, now that a node reads or stopped to."""
        if not self._closed:
            self.registry_peers.choose_sources(self.follower, read_monotonic_s())

    def _handle_availability(self, host: str) -> None:
        """Handles that a peer reads the registry, or stopped to."""
        if host in self.registry_peers.candidates:
            self.choose_registry_sources()

    def _create_registry_peers(self) -> RegistryPeers:
        return RegistryPeers(
            self.settings,
            RegistryTiming(self.settings.registry_apply_s, self.settings.heartbeat_s),
            self.view,
            self.directory,
            self.outgoing_links,
            self._link_to,
            self.report_load,
            self.rng,
            self.tally,
        )

    def _apply_peer_entries(self, link: OutgoingLink, entries: Entries) -> None:
        self.registry_peers.apply_entries(self.follower, link, entries)

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
                self.instance_runner.acceptance.check_zone_in_use,
                on_availability=self._handle_availability,
                pacer=self.pacer,
                account=self.connection_limit.account,
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
        # Peers that the registry's changes do not reach learn of a later revision from the load.
        reported = (self.configurations.version, self.directory.evacuated_zones)
        if reported != self._reported_content:
            self._reported_content = reported
            self.report_load()

    def _end_lapsed_evacuations(self, now_s: float) -> None:
        ended = self.directory.end_lapsed_evacuations(now_s)
        for zone in ended:
            extra = {
                "zone": zone[:MAX_LOGGED_KEY_CHARS],
                "revision": str(self.view.revision),
                "why": "lapsed",
                "recovered_ms": round((now_s - self.directory.registry_recovered_at_s) * 1000),
            }
            _LOGGER.info("zone evacuation ended", extra=extra)
        if ended:
            self._handle_new_content()

    def set_registry_state(self, answering: bool) -> None:
        """Records whether the registry answers."""
        if answering:
            self.directory.mark_registry_up(read_monotonic_s())
        else:
            self.directory.mark_registry_down(read_monotonic_s())

    def end_registry_outage(self) -> None:
        """Keeps the instances whose entries may have lapsed in an outage of the registry."""
        self.directory.mark_recovered(read_monotonic_s())

    async def tick(self) -> None:
        """Runs the periodic work: clean-up, silence checks, expiry, load reports and catch-up."""
        due_at_s = read_monotonic_s()
        while True:
            now_s = read_monotonic_s()
            self.loop_delay.record(now_s - due_at_s, now_s, time.process_time())
            self.instance_runner.clean_up(now_s)
            for link in tuple(self.outgoing_links.values()):
                link.check_silence(now_s)
            for instance_id in self.directory.expire(now_s):
                _LOGGER.info("instance gone", extra={"instance": instance_id, "why": "lapsed"})
            self._end_lapsed_evacuations(now_s)
            if now_s - self._load_reported_at_s >= LOAD_REPORT_INTERVAL_S:
                self._load_reported_at_s = now_s
                self.report_load()
                self.suspects.table.expire(now_s)
                self._record_reported_versions()
                self._close_idle_links(now_s)
            self.registry_peers.choose_sources(self.follower, now_s)
            self.registry_peers.request_missing_entries(now_s)
            for link in self.incoming_links:
                link.send_followed_entries()
            due_at_s = read_monotonic_s() + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)

    def _close_idle_links(self, now_s: float) -> None:
        """Closes the links that were opened for requests which the subsets could not take."""
        kept = self.dispatcher.selector.subsets.hosts() | set(self.registry_peers.candidates)
        for host, link in self.outgoing_links.items():
            if host not in kept and link.is_idle(now_s):
                link.close_idle()

    def _update_own_instance(self) -> None:
        """Applies the listed state of the instance beside this node and the routes that use it."""
        self.instance_runner.acceptance.named_services = self.configurations.priorities.keys()
        instance = self.instance_runner.instance
        if self.configurations.current is not None:
            service = instance.service if instance else self.settings.service
            priorities = self.configurations.priorities.get(service, frozenset())
            self._configure_cold_starts(service)
            self.instance_runner.configure(service, priorities)
        if instance is not None:
            self.resize_pool(instance.slots)
            if not instance.ready:
                self.instance_runner.refuse_waiting()
        self.instance_runner.update_evacuation(read_monotonic_s())
        self.dispatcher.budget.nodes = len({i.host for i in self.directory.all()})

    def _configure_cold_starts(self, service: str) -> None:
        """Applies what a cold instance of the service tolerates."""
        options = self.configurations.current.services.get(service)
        if options is None:
            return
        bound = cold_bound(
            options.cold_rate_per_s, self.settings.cold_rate_factor, self.settings.cold_rate_slack
        )
        self.instance_runner.cold_starts.configure(bound, options.health_path, read_monotonic_s())

    def peer_service_s(self) -> float:
        """Returns the median service time that the peers of the own instance report, 0 for none."""
        instance = self.instance_runner.instance
        if instance is None:
            return 0.0
        # Asked for each answer of a slow start, so that it must not grow with the service.
        subset = self.dispatcher.selector.subset(instance.service)
        loads = [self.load_of(peer) for peer in subset if peer.host != instance.host]
        reported_ms = [load.service_ms for load in loads if load and load.service_ms]
        return median(reported_ms) / 1000 if reported_ms else 0.0
