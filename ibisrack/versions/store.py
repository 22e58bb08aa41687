"""The versions that a node holds: staging, confirmation and the swap.

The store is a decision object.  It never puts a lower revision in force, never applies a version
in part, and judges a version by its content alone.
"""

from collections.abc import Iterable, Mapping
from enum import Enum

import attrs

from ibisrack.errors import Fault, MessageError, RulesError
from ibisrack.rules.grammar import ParsedLines, parse_lines
from ibisrack.rules.model import Rule
from ibisrack.rules.ruleset import RuleSet, build
from ibisrack.versions.chunks import Manifest, VersionId, assemble
from ibisrack.versions.messages import VersionState

CONFIRMATIONS = 2  # Peers that must hold a version before this node puts it in force.
CONFIRM_TIMEOUT_S = 1.0
TRANSFER_TIMEOUT_S = 2.0


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
    """A version that another source is delivering."""

    version_id: VersionId
    until_s: float


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
    _parsed: dict[bytes, ParsedLines] = attrs.field(factory=dict)
    _confirmation: _Confirmation | None = None
    _transfer: _Transfer | None = None
    _offered: Manifest | None = None

    def state(self) -> VersionState:
        """Returns what the node tells its peers."""
        return VersionState(
            self.in_force.version_id if self.in_force else None,
            self.staged.version_id if self.staged else None,
        )

    def highest(self) -> Candidate | None:
        """Returns the highest good version."""
        return self.staged or self.in_force

    def interest(self, version_id: VersionId) -> Interest:
        """Judges an announced version without its content."""
        for known in (self.staged, self.in_force, self.refused):
            if known is None:
                continue
            if version_id == known.version_id:
                return Interest.REFUSED if known is self.refused else Interest.HELD
            if version_id.revision == known.version_id.revision:
                return Interest.CONFLICT
            if version_id.revision < known.version_id.revision and known is not self.refused:
                return Interest.LOWER
        return Interest.WANTED

    def begin_transfer(self, version_id: VersionId, now_s: float) -> bool:
        """Reserves the transfer of a version to one source at a time.

        Without the reservation each of the links would deliver the same chunks.

        Returns:
          Whether the caller may transfer the version now.
        """
        current = self._transfer
        if current and current.version_id.revision >= version_id.revision:
            if now_s < current.until_s:
                return False
        self._transfer = _Transfer(version_id, now_s + TRANSFER_TIMEOUT_S)
        return True

    def end_transfer(self) -> None:
        """Releases the reservation after a transfer ended or failed."""
        self._transfer = None
        self._offered = None

    def offer(self, manifest: Manifest, now_s: float) -> tuple[bytes, ...] | None:
        """Takes an offer of a version from a peer.

        Returns:
          The digests of the chunks that are missing, or None when the version is not wanted now.
        """
        if self.interest(manifest.version_id) is not Interest.WANTED:
            return None
        if not self.begin_transfer(manifest.version_id, now_s):
            return None
        self._offered = manifest
        return self.missing(manifest)

    def offered(self, version_id: VersionId) -> Manifest:
        """Returns the manifest of the offer that chunks now arrive for.

        Raises:
          MessageError: No such offer is open.
        """
        if self._offered is None or self._offered.version_id != version_id:
            raise MessageError(f"chunks for version {version_id}, which was not offered")
        return self._offered

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
        parsed = {digest: self._parse(digest, known) for digest in manifest.chunk_digests}
        try:
            rules = _build(manifest, parsed)
        except RulesError as error:
            self.refused = Refusal(manifest.version_id, error.faults)
            return self.refused
        self.staged = Candidate(manifest, rules)
        self._confirmation = _Confirmation(now_s)
        self._keep(known, parsed)
        return self.staged

    def confirm(self, peer_id: str, state: VersionState) -> None:
        """Notes that a peer holds the staged version or a higher one."""
        if self.staged is None or self._confirmation is None or state.highest is None:
            return
        if state.highest.revision >= self.staged.version_id.revision:
            self._confirmation.holders.add(peer_id)

    def may_activate(self, now_s: float, reachable_links: int) -> bool:
        """Tells whether the staged version may be put in force.

        Args:
          now_s: Monotonic time.
          reachable_links: Links that answered their last exchange.
        """
        if self.staged is None or self._confirmation is None:
            return False
        needed = min(CONFIRMATIONS, reachable_links)
        waited_s = now_s - self._confirmation.staged_at_s
        return len(self._confirmation.holders) >= needed or waited_s >= CONFIRM_TIMEOUT_S

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
        self._keep(self._chunks, self._parsed)
        return Activation(candidate.version_id, previous)

    def _parse(self, digest: bytes, chunks: Mapping[bytes, bytes]) -> ParsedLines:
        return self._parsed.get(digest) or parse_lines(chunks[digest])

    def _keep(self, chunks: Mapping[bytes, bytes], parsed: Mapping[bytes, ParsedLines]) -> None:
        """Keeps the chunks of the versions held and drops all others."""
        held = [c.manifest.chunk_digests for c in (self.in_force, self.staged) if c]
        digests = {digest for digest_list in held for digest in digest_list}
        merged = {**self._parsed, **parsed}
        self._chunks = {digest: chunks[digest] for digest in digests}
        self._parsed = {digest: merged[digest] for digest in digests}


def _build(manifest: Manifest, parsed: Mapping[bytes, ParsedLines]) -> RuleSet:
    """Builds the rule set from parsed chunks, moving line numbers to those of the file."""
    file = f"revision-{manifest.version_id.revision}"
    rules: list[Rule] = []
    faults: list[Fault] = []
    first_line = 0
    for digest in manifest.chunk_digests:
        piece = parsed[digest]
        rules += [attrs.evolve(rule, line=rule.line + first_line) for rule in piece.rules]
        faults += [Fault(file, f.line + first_line, f.message) for f in piece.faults]
        first_line += piece.line_count
    return build(rules, faults, file)
