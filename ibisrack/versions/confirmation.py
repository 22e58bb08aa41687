"""Confirmation of the staged version by linked peers, before it is put in force.

A node that restarts asks its links for their versions, so a revision that enough of them hold is
not lost with the node.
"""

from collections.abc import Collection

import attrs

from ibisrack.versions.chunks import VersionId
from ibisrack.versions.messages import VersionState

REQUIRED_CONFIRMATIONS = 2  # Peers that must hold a version before this node activates it.
CONFIRMATION_TIMEOUT_S = 1.0
CONFIRMATION_RETRY_S = 0.25  # Time after staging at which linked peers are queried again.


@attrs.define
class Confirmation:
    """Progress of the confirmation of the staged version.

    Attributes:
      version_id: The staged version, None when no version is staged.
    """

    version_id: VersionId | None = None
    _started_at_s: float = 0.0
    _holders: set[str] = attrs.field(factory=set)
    _retried: bool = False

    @property
    def holders(self) -> frozenset[str]:
        """Ids of the peers that confirmed the staged version."""
        return frozenset(self._holders)

    def start(self, version_id: VersionId, now_s: float) -> None:
        """Starts the confirmation of a version that was staged."""
        self.version_id = version_id
        self._started_at_s = now_s
        self._holders.clear()
        self._retried = False

    def restart(self, now_s: float) -> None:
        """Restarts the confirmation after a process pause, during which no message was received."""
        if self.version_id is not None:
            self.start(self.version_id, now_s)

    def end(self) -> None:
        """Ends the confirmation when no version is staged any more."""
        self.version_id = None
        self._holders.clear()

    def update(self, peer_id: str, state: VersionState) -> None:
        """Records whether a peer holds the staged version or one with a higher revision.

        A peer that restarted and lost its versions reports a lower one and no longer counts.
        """
        if self.version_id is None:
            return
        own, reported = self.version_id, state.highest
        if reported is not None and (reported == own or reported.revision > own.revision):
            self._holders.add(peer_id)
        else:
            self._holders.discard(peer_id)

    def needs_retry(self, now_s: float) -> bool:
        """Returns whether to query the linked peers again for confirmations.

        True once per confirmation.  Peers that received the version from another node after they
        were notified do not confirm it unasked.
        """
        if self.version_id is None or self._retried:
            return False
        self._retried = now_s >= self._started_at_s + CONFIRMATION_RETRY_S
        return self._retried

    def is_complete(self, now_s: float, links: Collection[str]) -> bool:
        """Returns whether the staged version may be put in force.

        Only linked peers count, because they are the ones that this node queries after a restart.

        Args:
          now_s: Monotonic time.
          links: Node ids of the linked peers that are not known to be dead.
        """
        if self.version_id is None:
            return False
        confirmed = len(self._holders.intersection(links)) >= REQUIRED_CONFIRMATIONS
        # A node with fewer links also waits: it may not know its other peers yet.
        return confirmed or now_s - self._started_at_s >= CONFIRMATION_TIMEOUT_S
