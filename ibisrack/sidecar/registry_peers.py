"""Follows the registry through peers of the zone, and sends its changes to peers that follow.

Decisions are in the ``registry`` slice; this module applies them to the links of a node.
"""

import logging
from collections.abc import Callable
from random import Random

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import MessageError
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links.messages import Entries
from ibisrack.links.outgoing import OutgoingLink
from ibisrack.metrics.tally import Tally
from ibisrack.registry.deltas import MissingBaseError, pack_changes
from ibisrack.registry.follower import RegistryFollower
from ibisrack.registry.messages import NO_REVISION, Delta, PackedEntry, Revision
from ibisrack.registry.peer_deltas import PeerDeltas
from ibisrack.registry.sources import Candidate, Sources, candidate_hosts, choose_sources
from ibisrack.registry.timing import RegistryTiming
from ibisrack.registry.view import RegistryView
from ibisrack.settings.sidecar import SidecarSettings

# A node whose registry view has been behind a peer's for this long requests the missing entries
# from the peer; the registry itself usually delivers them sooner.
CATCH_UP_DELAY_S = 0.4
# Longer than the transfer of a whole configuration over the slowest links: a request that is
# repeated earlier would delay the answer to the first one.
CATCH_UP_INTERVAL_S = 2.0
CANDIDATE_OPEN_INTERVAL_S = 1.0  # Interval of connection attempts to candidates for following.

_LOGGER = logging.getLogger("ibisrack.sidecar")


@attrs.define(eq=False)
class RegistryPeers:
    """The peers from which a node gets the registry's changes, and what it sends to others.

    Attributes:
      settings: Settings in force.
      timing: Times of the calls to the registry.
      view: The registry's content as this node knows it.
      directory: Known instances.
      outgoing_links: Links to peers by their IP number.
      link_to: Returns the link to a peer, creating it if needed.
      report_load: Reports to all peers whether this node reads the registry.
      rng: Selects the peer from which missing entries are requested.
      tally: Counts for metrics.
      sources: Where this node gets the registry's changes from.
      deltas: Peers that are not relied on for the registry's changes.
      candidates: Hosts of the other peers of the zone among which its readers are.
    """

    settings: SidecarSettings
    timing: RegistryTiming
    view: RegistryView
    directory: InstanceDirectory
    outgoing_links: dict[str, OutgoingLink]
    link_to: Callable[[str], OutgoingLink]
    report_load: Callable[[], None]
    rng: Random
    tally: Tally
    sources: Sources = Sources(reads=True)
    deltas: PeerDeltas = attrs.field(factory=PeerDeltas)
    candidates: tuple[str, ...] = ()
    _zone_hosts: frozenset[str] | None = None
    _behind_since_s: float | None = None
    _entries_requested_at_s: float = 0.0
    _candidates_opened_at_s: float = 0.0
    _delivered_at_s: float = 0.0
    # Whether this node reads and may read the registry, as it last reported.
    _reported_reading: tuple[bool, bool] = (False, True)
    _packed_changes: dict[tuple[Revision, Revision], Entries] = attrs.field(factory=dict)

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

    def apply_entries(
        self, follower: RegistryFollower, link: OutgoingLink, message: Entries
    ) -> None:
        """Applies the changes of the registry that a peer sent, if they are new and usable."""
        if message.revision <= self.view.revision:
            return
        changed = tuple(PackedEntry(*row) for row in message.changed)
        now_s = read_monotonic_s()
        try:
            follower.apply_peer_delta(Delta(message.revision, message.keys, changed))
        except MissingBaseError as error:
            extra = {"peer": link.host, "revision": str(message.revision), "error": str(error)}
            _LOGGER.info("registry changes do not fit", extra=extra)
            if self.deltas.record_unfit(link.host, message.revision, now_s):
                link.request_entries(NO_REVISION)
        except MessageError as error:
            self.deltas.record_refused(link.host, now_s)
            self._record_refused_delta(link.host, message.revision, str(error))

    def _record_refused_delta(self, host: str, revision: Revision, error: str) -> None:
        """Counts and logs unusable changes of a peer; its link stays open for requests."""
        extra = {"peer": host, "revision": str(revision), "error": error}
        _LOGGER.warning("registry changes refused", extra=extra)
        self.tally.refused_deltas += 1

    def _candidate(self, link: OutgoingLink, now_s: float) -> Candidate:
        """Returns a peer as a source of the registry's changes."""
        candidate = link.candidate(now_s)
        if self.deltas.is_refused(link.host, now_s):
            return attrs.evolve(candidate, delivering=False)
        return candidate

    def _update_candidates(self) -> None:
        """Chooses the candidates anew if the hosts of the zone have changed."""
        hosts = self.directory.hosts_in_zone(self.settings.zone)
        if hosts is self._zone_hosts:
            return
        own_host, self._zone_hosts = self.settings.instance.host, hosts
        self.candidates = tuple(host for host in candidate_hosts(hosts) if host != own_host)

    def choose_sources(self, follower: RegistryFollower, now_s: float) -> None:
        """Chooses whether to read the registry, and the peers that deliver its changes."""
        self._update_candidates()
        own = Candidate(
            self.settings.instance.host,
            self.settings.link_mbps,
            follower.may_read(now_s),
            follower.is_reading(now_s),
        )
        for host in self.deltas.refuse_unfit(self.view.revision, now_s):
            self._record_refused_delta(host, self.view.revision, "the whole content did not fit")
        links = [self.link_to(host) for host in self.candidates]
        if now_s - self._candidates_opened_at_s >= CANDIDATE_OPEN_INTERVAL_S:
            self._candidates_opened_at_s = now_s
            for link in links:
                link.request_open()
        peers = [self._candidate(link, now_s) for link in links]
        delivered = any(peer.delivering and peer.available for peer in peers)
        if delivered:
            self._delivered_at_s = now_s
        undelivered_s = now_s - self._delivered_at_s
        sources = choose_sources(own, peers, undelivered_s, self.timing.takeover_s)
        self._follow(sources.followed)
        # While the registry answers this node itself, what it answers to others is not needed.
        is_answered = own.available and own.delivering
        answers_peers = delivered or (not is_answered and self._registry_answers_others(now_s))
        follower.set_sources(sources.reads, answers_peers)
        if sources != self.sources:
            extra = {"reads": sources.reads, "peers": list(sources.followed)}
            _LOGGER.info("registry sources changed", extra=extra)
            self.sources = sources
        self._report_reading((follower.is_reading(now_s), follower.may_read(now_s)))

    def _follow(self, hosts: tuple[str, ...]) -> None:
        """Requests the changes of the registry from these peers, and from no others."""
        for host in hosts:
            self.outgoing_links[host].follow(self.view.revision)
        for link in self.outgoing_links.values():
            if link.following and link.host not in hosts:
                link.unfollow()

    def _report_reading(self, reading: tuple[bool, bool]) -> None:
        """Tells the peers whether this node reads the registry and may read it, after a change."""
        if reading != self._reported_reading:
            self._reported_reading = reading
            self.report_load()

    def _registry_answers_others(self, now_s: float) -> bool:
        """Returns whether the registry answers any peer, such as the readers of other zones."""
        peers = (link.candidate(now_s) for link in self.outgoing_links.values())
        return any(peer.delivering and peer.available for peer in peers)

    def request_missing_entries(self, now_s: float) -> None:
        """Requests entries from a peer with a later registry revision if this node lags."""
        revision = self.view.revision
        # Most peers have the same revision; to compare which is later takes twenty times as long.
        ahead = [
            link
            for link in self.outgoing_links.values()
            if link.load is not None
            and link.load.revision != revision
            and link.load.revision > revision
            and not self.deltas.is_refused(link.host, now_s)
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
        return host in self.directory.hosts_in_zone(self.settings.zone)
