"""The configuration versions that a node holds, their staging and activation.

The store makes decisions and does no I/O.  It never puts a lower revision in force and never
applies a version in part.  Whether a version is valid depends on its content alone.
"""

from collections.abc import Iterable, Mapping
from enum import Enum

import attrs

from ibisrack.errors import Fault, MessageError, RulesError
from ibisrack.rules.ruleset import RuleSet
from ibisrack.versions.chunks import Manifest, VersionId, assemble
from ibisrack.versions.confirmation import Confirmation
from ibisrack.versions.messages import VersionState
from ibisrack.versions.parsed_chunks import ParsedChunkCache
from ibisrack.versions.transfer import Transfer


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
class VersionStore:
    """The versions of one node and the state of their transfer and confirmation.

    Attributes:
      in_force: The version that applies to calls.
      staged: A valid version with a higher revision that waits for confirmation.
      refused: The refused version with the highest revision.
      confirmation: Confirmation of the staged version by peers.
      transfer: Transfer of a version from a peer.
    """

    in_force: ValidatedVersion | None = None
    staged: ValidatedVersion | None = None
    refused: Refusal | None = None
    confirmation: Confirmation = attrs.field(factory=Confirmation)
    transfer: Transfer = attrs.field(factory=Transfer)
    _chunks: dict[bytes, bytes] = attrs.field(factory=dict)
    _parsed_chunks: ParsedChunkCache = attrs.field(factory=ParsedChunkCache)

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

        Returns:
          Whether to request the version from the peer now.
        """
        if self.classify(version_id) is not Classification.WANTED:
            return False
        return self.transfer.reserve(version_id, source_id, now_s)

    def accept_offer(
        self, manifest: Manifest, source_id: str, now_s: float
    ) -> tuple[bytes, ...] | None:
        """Processes a peer's offer of a version and reserves the transfer for that peer.

        Returns:
          The digests of the missing chunks, or None when the offer is declined.
        """
        if self.classify(manifest.version_id) is not Classification.WANTED:
            return None
        if not self.transfer.accept_manifest(manifest, source_id, now_s):
            return None
        return self.missing_chunks(manifest)

    def offered_manifest(self, version_id: VersionId) -> Manifest | None:
        """Returns the manifest of an accepted offer whose chunks have arrived.

        Returns:
          The manifest, or None when the same or a higher revision has been requested from another
          peer or is held by now.

        Raises:
          MessageError: The version was not offered.
        """
        manifest = self.transfer.manifest_of(version_id)
        if manifest is not None:
            return manifest
        entries = (self.transfer.reservation, self.highest())
        known = [entry.version_id.revision for entry in entries if entry]
        if any(revision >= version_id.revision for revision in known):
            return None
        raise MessageError(f"chunks for version {version_id}, which was not offered")

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
        self.confirmation.start(manifest.version_id, now_s)
        self._retain_chunks(known)
        return self.staged

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
        self.confirmation.end()
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
