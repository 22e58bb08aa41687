"""Messages that announce versions and transfer them between nodes."""

import attrs

from ibisrack.versions.chunks import Manifest, VersionId


@attrs.frozen
class VersionState:
    """The versions that the sender holds; part of every frame.

    Attributes:
      in_force: The version in force.
      staged: A valid version with a higher revision that is not in force yet.
    """

    in_force: VersionId | None = None
    staged: VersionId | None = None

    @property
    def highest(self) -> VersionId | None:
        """The valid version with the highest revision that the sender holds."""
        return self.staged or self.in_force


@attrs.frozen
class WantManifest:
    """Requests the manifest of a version that the receiver holds and the sender lacks."""

    version_id: VersionId


@attrs.frozen
class OfferManifest:
    """Offers a version by its manifest."""

    manifest: Manifest


@attrs.frozen
class WantChunks:
    """Requests the chunks of an offered version that the sender lacks."""

    version_id: VersionId
    digests: tuple[bytes, ...]


@attrs.frozen
class OfferChunks:
    """Delivers the requested chunks, compressed by ``chunks.pack``."""

    version_id: VersionId
    packed: bytes
