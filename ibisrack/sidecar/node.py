"""The sidecar's state: what its slices hold and how news passes between them."""

import asyncio
import logging
import uuid
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Protocol

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_clocks
from ibisrack.dispatch.dispatcher import Dispatcher, Target
from ibisrack.errors import MessageError
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import Instance
from ibisrack.links.incoming import IncomingLink
from ibisrack.links.messages import Entries, Hello, Load, Submit
from ibisrack.links.outgoing import OutgoingLink
from ibisrack.metrics.tally import Tally
from ibisrack.registry.messages import Entry, Listing
from ibisrack.registry.view import RegistryView
from ibisrack.routing.holder import ConfigurationHolder, OfferResult
from ibisrack.routing.model import Configuration
from ibisrack.settings.sidecar import SidecarSettings

TICK_S = 0.1
LOAD_EVERY_S = 1.0  # Longest time between a change of the load and the report of it.
# A node whose view is behind that of a peer for this long asks it; the registry is mostly faster.
BEHIND_S = 0.4
ASK_EVERY_S = 0.5

_LOGGER = logging.getLogger("ibisrack.sidecar")


class EntryDecoder(Protocol):
    """Tells what the entries of the platform's registry say."""

    CONFIGURATION_KEY: str

    def instance_id(self, key: str) -> str:
        """Returns the id of the instance that a key names, empty for other keys."""

    def decode_instance(self, entry: Entry) -> Instance:
        """Decodes an instance; raises MessageError."""

    def decode_configuration(self, entry: Entry) -> Configuration:
        """Decodes a configuration; raises MessageError."""


@attrs.define(eq=False)
class LocalTarget:
    """The own instance as a target of the dispatcher."""

    host: InstanceRunner
    report: Callable[[], Load]

    @property
    def load(self) -> Load:
        """The present load."""
        return self.report()

    def next_number(self) -> int:
        """Returns a number; nothing tells local requests apart by it."""
        return 0

    async def run(self, submit: Submit) -> Answer:
        """Runs a request on the own instance."""
        return await self.host.run(submit)


@attrs.define(eq=False)
class SidecarNode:
    """The state of a sidecar process.

    Attributes:
      settings: Settings in force.
      decoder: Decodes entries of the registry.
      rng: Source of jitter.
      directory: Known instances.
      configurations: The configuration in force.
      view: The registry's content.
      host: The own instance.
      tally: Counts for metrics.
      dispatcher: Serves callers; set once, after the other parts.
      served: Links on which peers send requests.
      peers: Links to the nodes of other instances by their IP number.
      leaving: Whether the process is stopping.
    """

    settings: SidecarSettings
    decoder: EntryDecoder
    rng: Random
    directory: InstanceDirectory
    configurations: ConfigurationHolder
    view: RegistryView
    host: InstanceRunner
    tally: Tally
    dispatcher: Dispatcher | None = None
    served: set[IncomingLink] = attrs.field(factory=set)
    peers: dict[str, OutgoingLink] = attrs.field(factory=dict)
    leaving: bool = False
    life: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    on_slots: Callable[[int], None] = attrs.field(default=lambda slots: None)
    _learn: Callable[[Listing], None] = attrs.field(default=lambda listing: None)
    _behind_since_s: float | None = None
    _asked_at_s: float = 0.0
    _told_load_at_s: float = 0.0
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    @property
    def hello(self) -> Hello:
        """What this node says of itself on a link."""
        return Hello(self.settings.links.host, self.life)

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self.leaving and self.configurations.current is not None

    def load(self) -> Load:
        """Returns the present load of the own instance."""
        load = self.host.gate.load()
        return Load(
            load.busy,
            load.queued,
            load.slots,
            round(self.host.service_s * 1000, 1),
            self.host.takes_work,
            self.view.revision,
        )

    def reload(self, settings: SidecarSettings) -> None:
        """Takes changed settings; addresses on which the process listens stay as they are."""
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
        self.dispatcher.budget.configure(
            kept.retry_ratio,
            kept.retry_slack,
            kept.retry_window_s,
            read_clocks().monotonic_s,
        )
        self._own_changed()

    def withdraw(self) -> None:
        """Lets the requests of this node that wait anywhere be refused, before it ends."""
        self.host.gate.refuse_waiting(Reason.WITHDRAWN)
        for link in self.peers.values():
            link.withdraw()

    def learn_from(self, learn: Callable[[Listing], None]) -> None:
        """Sets what takes the content that peers send."""
        self._learn = learn

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a task as long as the process lives."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Ends the tasks and links of this node."""
        for task in self._tasks:
            task.cancel()
        for served in tuple(self.served):
            served.writer.transport.abort()

    def target_of(self, instance: Instance) -> Target:
        """Returns the node beside an instance."""
        if instance.host == self.settings.instance.host:
            return LocalTarget(self.host, self.load)
        link = self.peers.get(instance.host)
        if link is None:
            link = OutgoingLink(
                self.hello, instance.host, self.settings.links.port, self._take_entries
            )
            self.peers[instance.host] = link
            self.spawn(link.maintain())
        return link

    def take(self, entries: tuple[Entry, ...]) -> None:
        """Takes changed entries of the registry."""
        now_s = read_clocks().monotonic_s
        for entry in entries:
            if entry.key == self.decoder.CONFIGURATION_KEY:
                self._take_configuration(entry)
            elif instance_id := self.decoder.instance_id(entry.key):
                self._take_instance(instance_id, entry, now_s)
        self._own_changed()

    def registry_state(self, answering: bool) -> None:
        """Notes that the registry was lost or is back."""
        if answering:
            self.directory.mark_registry_up(read_clocks().monotonic_s)
        else:
            self.directory.mark_registry_down()

    def entries_after(self, revision: int) -> Entries | None:
        """Returns the registry's content for a peer that has less."""
        listing = self.view.newer_than(revision)
        if listing is None:
            return None
        rows = tuple((e.key, e.content or b"", e.revision) for e in listing.entries)
        return Entries(listing.revision, rows)

    async def tick(self) -> None:
        """Does what time alone brings about."""
        while True:
            now_s = read_clocks().monotonic_s
            self.host.clean_up(now_s)
            for link in tuple(self.peers.values()):
                link.check_silence(now_s)
            for instance_id in self.directory.expire(now_s):
                _LOGGER.info("instance gone", extra={"instance": instance_id, "why": "lapsed"})
            if now_s - self._told_load_at_s >= LOAD_EVERY_S:
                self._told_load_at_s = now_s
                for served in self.served:
                    served.send_load_if_changed()
            self._catch_up(now_s)
            await asyncio.sleep(TICK_S)

    def _take_configuration(self, entry: Entry) -> None:
        if entry.content is None:
            _LOGGER.warning("configuration removed; the one in force is kept")
            return
        try:
            configuration = self.decoder.decode_configuration(entry)
        except MessageError as error:
            _LOGGER.warning("configuration refused", extra={"error": str(error)})
            return
        verdict = self.configurations.offer(configuration)
        extra = {"version": configuration.version, "revision": entry.revision}
        if verdict is OfferResult.IN_FORCE:
            _LOGGER.info("configuration in force", extra=extra)
        else:
            _LOGGER.info("configuration not newer", extra=extra)

    def _take_instance(self, instance_id: str, entry: Entry, now_s: float) -> None:
        if entry.content is None:
            gone = self.directory.remove(instance_id, now_s)
            extra = {"instance": instance_id, "revision": entry.revision, "gone": gone}
            _LOGGER.info("instance not listed", extra=extra)
            return
        try:
            instance = self.decoder.decode_instance(entry)
        except MessageError as error:
            _LOGGER.warning("entry ignored", extra={"error": str(error)})
            self.directory.remove(instance_id, now_s)
            return
        if self.directory.put(instance):
            if instance.cold_left_s:
                view = self.dispatcher.views.of(instance_id)
                view.cold_until_s = now_s + instance.cold_left_s
            extra = {
                "instance": instance_id,
                "service": instance.service,
                "state": instance.state,
                "revision": entry.revision,
            }
            _LOGGER.info("instance listed", extra=extra)

    def _own_changed(self) -> None:
        """Takes over what the registry says of the own instance and its routes."""
        configuration = self.configurations.current
        instance = self.host.instance
        if configuration is not None:
            service = instance.service if instance else self.settings.service
            priorities = frozenset(
                route.priority
                for route in configuration.routes
                if any(part.service == service for part in route.parts)
            )
            self.host.configure(service, priorities)
        if instance is not None:
            self.on_slots(instance.slots)
            if not instance.ready:
                self.host.refuse_waiting()
        self.dispatcher.budget.nodes = len({i.host for i in self.directory.all()})

    def _take_entries(self, message: Entries) -> None:
        entries = tuple(Entry(key, content, rev) for key, content, rev in message.entries)
        self._learn(Listing(message.revision, entries))

    def _catch_up(self, now_s: float) -> None:
        """Asks a peer that has seen more of the registry than this node."""
        ahead = [
            link
            for link in self.peers.values()
            if link.is_open and link.load is not None and link.load.revision > self.view.revision
        ]
        if not ahead:
            self._behind_since_s = None
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        late = now_s - self._behind_since_s >= BEHIND_S
        if late and now_s - self._asked_at_s >= ASK_EVERY_S:
            self._asked_at_s = now_s
            link = max(ahead, key=lambda link: link.load.revision)
            link.request_entries(self.view.revision)
