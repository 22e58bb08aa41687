"""Reservation of the transfer of a version for one of the peers that hold it.

Without the reservation every linked peer would deliver the same version.
"""

import attrs

from ibisrack.versions.chunks import Manifest, VersionId

# Shorter than CONFIRMATION_TIMEOUT_S, so that a peer whose source failed can still confirm in time.
TRANSFER_TIMEOUT_S = 0.5


@attrs.frozen
class Reservation:
    """The reservation of the transfer of a version for one source.

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
class Transfer:
    """The transfer that is under way, if any.

    Attributes:
      reservation: The current reservation, which may have expired.
    """

    reservation: Reservation | None = None
    _needs_source: bool = False

    def reserve(self, version_id: VersionId, source_id: str, now_s: float) -> bool:
        """Reserves the transfer of a version for a peer; returns whether to request it now.

        A higher revision replaces the reservation of a lower one.
        """
        current = self.reservation
        if current and current.version_id.revision >= version_id.revision:
            if now_s < current.expires_at_s:
                self._needs_source |= current.source_id != source_id
                return False
        self.reservation = Reservation(version_id, source_id, now_s + TRANSFER_TIMEOUT_S)
        return True

    def accept_manifest(self, manifest: Manifest, source_id: str, now_s: float) -> bool:
        """Stores the manifest that a peer offers, unless the transfer is reserved for another peer.

        Returns:
          Whether the transfer is now reserved for the peer.
        """
        version_id, current = manifest.version_id, self.reservation
        reserved = current and (current.version_id, current.source_id) == (version_id, source_id)
        if not reserved and not self.reserve(version_id, source_id, now_s):
            return False
        expires_at_s = now_s + TRANSFER_TIMEOUT_S
        self.reservation = Reservation(version_id, source_id, expires_at_s, manifest)
        return True

    def manifest_of(self, version_id: VersionId) -> Manifest | None:
        """Returns the manifest that was accepted for a version, None if there is none."""
        current = self.reservation
        return current.manifest if current and current.version_id == version_id else None

    def end(self, version_id: VersionId) -> None:
        """Releases the reservation after the transfer of a version ended or failed."""
        if self.reservation and self.reservation.version_id == version_id:
            self.reservation = None

    def source_failed(self, source_id: str) -> None:
        """Releases the reservation of a source that no longer answers or sent invalid chunks."""
        if self.reservation and self.reservation.source_id == source_id:
            self.reservation = None
            self._needs_source = True

    def needs_source(self, now_s: float) -> bool:
        """Returns whether the linked peers must be queried again for a version.

        True once after a transfer failed or expired, because peers do not repeat offers that were
        declined during the transfer.
        """
        if self.reservation and now_s < self.reservation.expires_at_s:
            return False
        expired = self.reservation is not None
        needed = expired or self._needs_source
        self.reservation = None
        self._needs_source = False
        return needed
