"""Messages of the versions slice."""

import attrs

from ibisrack.versions.chunks import Manifest, VersionId


@attrs.frozen
class VersionState:
    """What the sender holds; part of every request and answer.

    Attributes:
      in_force: The version that the sender enforces.
      staged: A higher version that it has checked and can enforce.
    """

    in_force: VersionId | None = None
    staged: VersionId | None = None

    @property
    def highest(self) -> VersionId | None:
        """The highest good version that the sender holds."""
        return self.staged or self.in_force


@attrs.frozen
class WantManifest:
    """Asks for the manifest of a version that the receiver holds and the sender lacks."""

    version_id: VersionId


@attrs.frozen
class OfferManifest:
    """Offers a version that the receiver lacks."""

    manifest: Manifest


@attrs.frozen
class WantChunks:
    """Names the chunks that the receiver of an offer needs."""

    version_id: VersionId
    digests: tuple[bytes, ...]


@attrs.frozen
class OfferChunks:
    """Delivers the chunks that were wanted."""

    version_id: VersionId
    packed: bytes
