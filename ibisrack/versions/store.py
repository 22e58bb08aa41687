"""The versions that a node holds: staging, confirmation and the swap.

The store is a decision object.  It never puts a lower revision in force, never applies a version
in part, and judges a version by its content alone.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

import attrs

from ibisrack.errors import Fault, MessageError, RulesError
from ibisrack.rules.ruleset import RuleSet
from ibisrack.versions.chunks import Manifest, VersionId, assemble
from ibisrack.versions.messages import VersionState
from ibisrack.versions.pieces import PieceCache

CONFIRMATIONS = 2  # Peers that must hold a version before this node puts it in force.
CONFIRM_TIMEOUT_S = 1.0
# Shorter than CONFIRM_TIMEOUT_S, so that a peer whose source died can still confirm in time.
TRANSFER_TIMEOUT_S = 0.5


class Interest(Enum):
    """What a node makes of a version that a source announces."""

    WANTED = "wanted"
    HELD = "held"
    LOWER = "lower"
    REFUSED = "refused"
    CONFLICT = "conflict"


@attrs.frozen
class Candidate:
    """A version that was checked and found good."""

    manifest: Manifest
    rules: RuleSet

    @property
    def version_id(self) -> VersionId:
        """Identity of the version."""
        return self.manifest.version_id


@attrs.frozen
class Refusal:
    """A version that was refused as a whole."""

    version_id: VersionId
    faults: tuple[Fault, ...]


@attrs.frozen
class Activation:
    """The outcome of a swap."""

    version_id: VersionId
    previous: VersionId | None


@attrs.define
class _Confirmation:
    """Peers known to hold the staged version."""

    staged_at_s: float
    holders: set[str] = attrs.field(factory=set)


@attrs.define
class _Transfer:
    """A version that a source is delivering.

    Attributes:
      manifest: The offered version.
      source_id: The node that delivers it.
      until_s: Monotonic time at which the reservation lapses.
    """

    manifest: Manifest
    source_id: str
    until_s: float

    @property
    def version_id(self) -> VersionId:
        """Identity of the version."""
        return self.manifest.version_id


@attrs.define
class VersionStore:
    """Owner of the node's versions.

    Attributes:
      in_force: The version that calls meet.
      staged: A higher good version that waits for confirmation.
      refused: The highest version that was refused.
    """

    in_force: Candidate | None = None
    staged: Candidate | None = None
    refused: Refusal | None = None
    _chunks: dict[bytes, bytes] = attrs.field(factory=dict)
    _pieces: PieceCache = attrs.field(factory=PieceCache)
    _confirmation: _Confirmation | None = None
    _transfer: _Transfer | None = None
    _source_wanted: bool = False

    def state(self) -> VersionState:
        """Returns what the node tells its peers."""
        return VersionState(
            self.in_force.version_id if self.in_force else None,
            self.staged.version_id if self.staged else None,
        )

    def highest(self) -> Candidate | None:
        """Returns the highest good version."""
        return self.staged or self.in_force

    def holds(self, version_id: VersionId) -> bool:
        """Tells whether a version is in force or staged."""
        return any(
            c is not None and c.version_id == version_id for c in (self.staged, self.in_force)
        )

    def interest(self, version_id: VersionId) -> Interest:
        """Judges an announced version without its content.

        A refused version is judged by its identity alone: another content with the same revision
        may be good, and every node has to reach the same verdict on it.
        """
        if self.refused and version_id == self.refused.version_id:
            return Interest.REFUSED
        for known in (self.staged, self.in_force):
            if known is None:
                continue
            if version_id == known.version_id:
                return Interest.HELD
            if version_id.revision == known.version_id.revision:
                return Interest.CONFLICT
            if version_id.revision < known.version_id.revision:
                return Interest.LOWER
        return Interest.WANTED

    def offer(self, manifest: Manifest, source_id: str, now_s: float) -> tuple[bytes, ...] | None:
        """Takes an offer of a version from a peer and reserves the transfer to it.

        Without the reservation each of the links would deliver the same chunks.  A higher revision
        takes over the reservation of a lower one.

        Returns:
          The digests of the chunks that are missing, or None when the version is not wanted now.
        """
        version_id = manifest.version_id
        if self.interest(version_id) is not Interest.WANTED:
            return None
        current = self._transfer
        if current and current.version_id.revision >= version_id.revision:
            if now_s < current.until_s and current.source_id != source_id:
                self._source_wanted = True
                return None
        self._transfer = _Transfer(manifest, source_id, now_s + TRANSFER_TIMEOUT_S)
        return self.missing(manifest)

    def offered(self, version_id: VersionId) -> Manifest | None:
        """Returns the manifest of the offer that chunks now arrive for.

        Returns:
          The manifest, or None when a higher revision was offered or staged in the meantime.

        Raises:
          MessageError: No such offer was made.
        """
        if self._transfer and self._transfer.version_id == version_id:
            return self._transfer.manifest
        highest = self.highest()
        known = [holder.version_id.revision for holder in (self._transfer, highest) if holder]
        if any(revision >= version_id.revision for revision in known):
            return None
        raise MessageError(f"chunks for version {version_id}, which was not offered")

    def end_transfer(self, version_id: VersionId) -> None:
        """Releases the reservation after the transfer of a version ended or failed."""
        if self._transfer and self._transfer.version_id == version_id:
            self._transfer = None

    def source_failed(self, source_id: str) -> None:
        """Releases the reservation of a source that does not answer any more."""
        if self._transfer and self._transfer.source_id == source_id:
            self._transfer = None
            self._source_wanted = True

    def needs_source(self, now_s: float) -> bool:
        """Tells once that a transfer failed or lapsed and that the links should offer again.

        Links whose offers were declined during the transfer do not repeat them by themselves.
        """
        if self._transfer and now_s < self._transfer.until_s:
            return False
        lapsed = self._transfer is not None
        wanted = lapsed or self._source_wanted
        self._transfer = None
        self._source_wanted = False
        return wanted

    def missing(self, manifest: Manifest) -> tuple[bytes, ...]:
        """Returns the digests of the chunks that the node lacks."""
        return tuple(dict.fromkeys(d for d in manifest.chunk_digests if d not in self._chunks))

    def chunks(self, digests: Iterable[bytes]) -> list[bytes]:
        """Returns those of the chunks that the node holds."""
        return [self._chunks[digest] for digest in digests if digest in self._chunks]

    def stage(
        self, manifest: Manifest, chunks: Mapping[bytes, bytes], now_s: float
    ) -> Candidate | Refusal | None:
        """Assembles, verifies and checks a version.

        Args:
          manifest: The version's manifest.
          chunks: Chunks by digest that the node lacked.
          now_s: Monotonic time.

        Returns:
          The staged candidate, the refusal, or None when the version is not wanted any more.

        Raises:
          MessageError: The content does not match the manifest; nothing has changed.
        """
        if self.interest(manifest.version_id) is not Interest.WANTED:
            return None
        known = {**self._chunks, **chunks}
        assemble(manifest, known)
        file = f"revision-{manifest.version_id.revision}"
        try:
            rules = self._pieces.build(manifest.chunk_digests, known, file)
        except RulesError as error:
            return self._refuse(Refusal(manifest.version_id, error.faults))
        self.staged = Candidate(manifest, rules)
        self._confirmation = _Confirmation(now_s)
        self._keep(known)
        return self.staged

    def confirm(self, peer_id: str, state: VersionState) -> None:
        """Notes whether a peer holds the staged version or a higher one.

        A peer that restarted without memory tells a lower version and does not count any more.
        """
        if self.staged is None or self._confirmation is None:
            return
        own, theirs = self.staged.version_id, state.highest
        if theirs is not None and (theirs == own or theirs.revision > own.revision):
            self._confirmation.holders.add(peer_id)
        else:
            self._confirmation.holders.discard(peer_id)

    def confirm_again(self, now_s: float) -> None:
        """Starts the confirmation again after a pause, during which nobody could be heard."""
        if self._confirmation:
            self._confirmation = _Confirmation(now_s)

    def confirmed_by(self) -> frozenset[str]:
        """Returns the peers that told that they hold the staged version."""
        return frozenset(self._confirmation.holders if self._confirmation else ())

    def may_activate(self, now_s: float, links: Collection[str]) -> bool:
        """Tells whether the staged version may be put in force.

        Only links count: they are the peers that this node asks after a restart.

        Args:
          now_s: Monotonic time.
          links: Links that are not known to be dead.
        """
        if self.staged is None or self._confirmation is None:
            return False
        holders = self._confirmation.holders.intersection(links)
        waited_s = now_s - self._confirmation.staged_at_s
        # A node with fewer links waits as well: it may not know its other peers yet.
        return len(holders) >= CONFIRMATIONS or waited_s >= CONFIRM_TIMEOUT_S

    def activate(self) -> Activation | None:
        """Puts the staged version in force by one assignment.

        Returns:
          The swap, or None when nothing higher than the version in force is staged.
        """
        candidate = self.staged
        if candidate is None:
            return None
        previous = self.in_force.version_id if self.in_force else None
        self.staged = None
        self._confirmation = None
        if previous and candidate.version_id.revision <= previous.revision:
            return None
        self.in_force = candidate
        self._keep(self._chunks)
        return Activation(candidate.version_id, previous)

    def _refuse(self, refusal: Refusal) -> Refusal:
        """Keeps the refusal with the highest revision."""
        known = self.refused
        if known is None or refusal.version_id.revision >= known.version_id.revision:
            self.refused = refusal
        self._keep(self._chunks)
        return refusal

    def _keep(self, chunks: Mapping[bytes, bytes]) -> None:
        """Keeps the chunks of the versions held and drops all others."""
        held = [c.manifest.chunk_digests for c in (self.in_force, self.staged) if c]
        digests = {digest for digest_list in held for digest in digest_list}
        self._chunks = {digest: chunks[digest] for digest in digests}
        self._pieces.keep(digests)
