"""The configuration versions that a node holds: transfer, staging, confirmation and activation.

The store makes decisions and does no I/O.  It never puts a lower revision in force and never
applies a version in part.  Whether a version is valid depends on its content alone.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

import attrs

from ibisrack.errors import Fault, MessageError, RulesError
from ibisrack.rules.ruleset import RuleSet
from ibisrack.versions.chunks import Manifest, VersionId, assemble
from ibisrack.versions.messages import VersionState
from ibisrack.versions.parsed_chunks import ParsedChunkCache

REQUIRED_CONFIRMATIONS = 2  # Peers that must hold a version before this node activates it.
CONFIRMATION_TIMEOUT_S = 1.0
CONFIRMATION_RETRY_S = 0.25  # Time after staging at which linked peers are queried again.
# Shorter than CONFIRMATION_TIMEOUT_S, so that a peer whose source failed can still confirm in time.
TRANSFER_TIMEOUT_S = 0.5


class Classification(Enum):
    """How an announced version relates to the versions that the node holds."""

    WANTED = "wanted"
    HELD = "held"
    LOWER = "lower"
    REFUSED = "refused"
    CONFLICT = "conflict"


@attrs.frozen
class ValidatedVersion:
    """A version whose rules passed validation."""

    manifest: Manifest
    rules: RuleSet

    @property
    def version_id(self) -> VersionId:
        """Revision and digest of the version."""
        return self.manifest.version_id


@attrs.frozen
class Refusal:
    """A version that was refused as a whole because its rules contain faults."""

    version_id: VersionId
    faults: tuple[Fault, ...]


@attrs.frozen
class Activation:
    """The version that came into force and the one that it replaced."""

    version_id: VersionId
    previous: VersionId | None


@attrs.define
class _Confirmation:
    """Progress of the confirmation of the staged version.

    Attributes:
      staged_at_s: Monotonic time at which the version was staged, or the confirmation restarted.
      holders: Node ids of the peers known to hold the version.
      retried: Whether the linked peers were queried a second time.
    """

    staged_at_s: float
    holders: set[str] = attrs.field(factory=set)
    retried: bool = False


@attrs.define
class _Transfer:
    """The reservation of the transfer of a version to one source.

    Attributes:
      version_id: The version to transfer.
      source_id: Node id of the peer that delivers it.
      expires_at_s: Monotonic time at which the reservation expires.
      manifest: The manifest, once the source has offered it.
    """

    version_id: VersionId
    source_id: str
    expires_at_s: float
    manifest: Manifest | None = None


@attrs.define
class VersionStore:
    """The versions of one node and the state of their transfer and confirmation.

    Attributes:
      in_force: The version that applies to calls.
      staged: A valid version with a higher revision that waits for confirmation.
      refused: The refused version with the highest revision.
    """

    in_force: ValidatedVersion | None = None
    staged: ValidatedVersion | None = None
    refused: Refusal | None = None
    _chunks: dict[bytes, bytes] = attrs.field(factory=dict)
    _parsed_chunks: ParsedChunkCache = attrs.field(factory=ParsedChunkCache)
    _confirmation: _Confirmation | None = None
    _transfer: _Transfer | None = None
    _needs_source: bool = False

    def state(self) -> VersionState:
        """Returns the version state to send to peers."""
        return VersionState(
            self.in_force.version_id if self.in_force else None,
            self.staged.version_id if self.staged else None,
        )

    def highest(self) -> ValidatedVersion | None:
        """Returns the valid version with the highest revision."""
        return self.staged or self.in_force

    def holds(self, version_id: VersionId) -> bool:
        """Returns whether a version is in force or staged."""
        return any(
            version is not None and version.version_id == version_id
            for version in (self.staged, self.in_force)
        )

    def classify(self, version_id: VersionId) -> Classification:
        """Classifies an announced version by its revision and digest.

        A version counts as refused only if its digest matches too: other content with the same
        revision may be valid, and all nodes must reach the same verdict on it.
        """
        if self.refused and version_id == self.refused.version_id:
            return Classification.REFUSED
        for known in (self.staged, self.in_force):
            if known is None:
                continue
            if version_id == known.version_id:
                return Classification.HELD
            if version_id.revision == known.version_id.revision:
                return Classification.CONFLICT
            if version_id.revision < known.version_id.revision:
                return Classification.LOWER
        return Classification.WANTED

    def reserve_transfer(self, version_id: VersionId, source_id: str, now_s: float) -> bool:
        """Reserves the transfer of a version for one peer that holds it.

        Without the reservation every linked peer would deliver the same version.  A higher revision
        replaces the reservation of a lower one.

        Returns:
          Whether to request the version from the peer now.
        """
        if self.classify(version_id) is not Classification.WANTED:
            return False
        current = self._transfer
        if current and current.version_id.revision >= version_id.revision:
            if now_s < current.expires_at_s:
                self._needs_source |= current.source_id != source_id
                return False
        self._transfer = _Transfer(version_id, source_id, now_s + TRANSFER_TIMEOUT_S)
        return True

    def accept_offer(
        self, manifest: Manifest, source_id: str, now_s: float
    ) -> tuple[bytes, ...] | None:
        """Processes a peer's offer of a version and reserves the transfer for that peer.

        Returns:
          The digests of the missing chunks, or None when the offer is declined.
        """
        version_id = manifest.version_id
        current = self._transfer
        reserved = current and (current.version_id, current.source_id) == (version_id, source_id)
        if not reserved and not self.reserve_transfer(version_id, source_id, now_s):
            return None
        if self.classify(version_id) is not Classification.WANTED:
            return None
        self._transfer = _Transfer(version_id, source_id, now_s + TRANSFER_TIMEOUT_S, manifest)
        return self.missing_chunks(manifest)

    def offered_manifest(self, version_id: VersionId) -> Manifest | None:
        """Returns the manifest of an accepted offer whose chunks have arrived.

        Returns:
          The manifest, or None when the same or a higher revision has been requested from another
          peer or is held by now.

        Raises:
          MessageError: The version was not offered.
        """
        if self._transfer and self._transfer.version_id == version_id and self._transfer.manifest:
            return self._transfer.manifest
        highest = self.highest()
        known = [entry.version_id.revision for entry in (self._transfer, highest) if entry]
        if any(revision >= version_id.revision for revision in known):
            return None
        raise MessageError(f"chunks for version {version_id}, which was not offered")

    def end_transfer(self, version_id: VersionId) -> None:
        """Releases the reservation after the transfer of a version ended or failed."""
        if self._transfer and self._transfer.version_id == version_id:
            self._transfer = None

    def source_failed(self, source_id: str) -> None:
        """Releases the reservation of a source that no longer answers or sent invalid chunks."""
        if self._transfer and self._transfer.source_id == source_id:
            self._transfer = None
            self._needs_source = True

    def needs_source(self, now_s: float) -> bool:
        """Returns whether the linked peers must be queried again for a version.

        True once after a transfer failed or expired, because peers do not repeat offers that were
        declined during the transfer.
        """
        if self._transfer and now_s < self._transfer.expires_at_s:
            return False
        expired = self._transfer is not None
        needed = expired or self._needs_source
        self._transfer = None
        self._needs_source = False
        return needed

    def missing_chunks(self, manifest: Manifest) -> tuple[bytes, ...]:
        """Returns the digests of the chunks that the node lacks."""
        return tuple(dict.fromkeys(d for d in manifest.chunk_digests if d not in self._chunks))

    def chunks(self, digests: Iterable[bytes]) -> list[bytes]:
        """Returns the requested chunks that the node holds."""
        return [self._chunks[digest] for digest in digests if digest in self._chunks]

    def stage(
        self, manifest: Manifest, chunks: Mapping[bytes, bytes], now_s: float
    ) -> ValidatedVersion | Refusal | None:
        """Assembles a version, verifies its digest and validates its rules.

        Args:
          manifest: The manifest of the version.
          chunks: The chunks that the node lacked, by digest.
          now_s: Monotonic time.

        Returns:
          The staged version, the refusal, or None when the version is no longer wanted.

        Raises:
          MessageError: The content does not match the manifest; the store is unchanged.
        """
        if self.classify(manifest.version_id) is not Classification.WANTED:
            return None
        known = {**self._chunks, **chunks}
        assemble(manifest, known)
        file = f"revision-{manifest.version_id.revision}"
        try:
            rules = self._parsed_chunks.build(manifest.chunk_digests, known, file)
        except RulesError as error:
            return self._record_refusal(Refusal(manifest.version_id, error.faults))
        self.staged = ValidatedVersion(manifest, rules)
        self._confirmation = _Confirmation(now_s)
        self._retain_chunks(known)
        return self.staged

    def update_confirmation(self, peer_id: str, state: VersionState) -> None:
        """Records whether a peer holds the staged version or one with a higher revision.

        A peer that restarted and lost its versions reports a lower one and no longer counts.
        """
        if self.staged is None or self._confirmation is None:
            return
        own, reported = self.staged.version_id, state.highest
        if reported is not None and (reported == own or reported.revision > own.revision):
            self._confirmation.holders.add(peer_id)
        else:
            self._confirmation.holders.discard(peer_id)

    def needs_confirmations(self, now_s: float) -> bool:
        """Returns whether to query the linked peers again for confirmations.

        True once per confirmation.  Peers that received the version from another node after they
        were notified do not confirm it unasked.
        """
        confirmation = self._confirmation
        if (
            not confirmation
            or confirmation.retried
            or now_s < confirmation.staged_at_s + CONFIRMATION_RETRY_S
        ):
            return False
        confirmation.retried = True
        return True

    def restart_confirmation(self, now_s: float) -> None:
        """Restarts the confirmation after a process pause, during which no message was received."""
        if self._confirmation:
            self._confirmation = _Confirmation(now_s)

    def confirming_peers(self) -> frozenset[str]:
        """Returns the ids of the peers that confirmed the staged version."""
        return frozenset(self._confirmation.holders if self._confirmation else ())

    def may_activate(self, now_s: float, links: Collection[str]) -> bool:
        """Returns whether the staged version may be put in force.

        Only linked peers count, because they are the ones that this node queries after a restart.

        Args:
          now_s: Monotonic time.
          links: Node ids of the linked peers that are not known to be dead.
        """
        if self.staged is None or self._confirmation is None:
            return False
        holders = self._confirmation.holders.intersection(links)
        waited_s = now_s - self._confirmation.staged_at_s
        # A node with fewer links also waits: it may not know its other peers yet.
        return len(holders) >= REQUIRED_CONFIRMATIONS or waited_s >= CONFIRMATION_TIMEOUT_S

    def activate(self) -> Activation | None:
        """Puts the staged version in force by one assignment.

        Returns:
          The activation, or None when no version above the one in force is staged.
        """
        staged = self.staged
        if staged is None:
            return None
        previous = self.in_force.version_id if self.in_force else None
        self.staged = None
        self._confirmation = None
        if previous and staged.version_id.revision <= previous.revision:
            return None
        self.in_force = staged
        self._retain_chunks(self._chunks)
        return Activation(staged.version_id, previous)

    def _record_refusal(self, refusal: Refusal) -> Refusal:
        """Stores a refusal unless one with a higher revision is stored."""
        known = self.refused
        if known is None or refusal.version_id.revision >= known.version_id.revision:
            self.refused = refusal
        self._retain_chunks(self._chunks)
        return refusal

    def _retain_chunks(self, chunks: Mapping[bytes, bytes]) -> None:
        """Keeps the chunks of the versions in force and staged; drops all others."""
        held = [
            version.manifest.chunk_digests for version in (self.in_force, self.staged) if version
        ]
        digests = {digest for digest_list in held for digest in digest_list}
        self._chunks = {digest: chunks[digest] for digest in digests}
        self._parsed_chunks.retain(digests)
