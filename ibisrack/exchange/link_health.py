"""Results of the exchanges over a node's links."""

import attrs

from ibisrack.versions.chunks import VersionId


@attrs.define
class LinkHealth:
    """Results of the exchanges over this node's links.

    Attributes:
      answered: Links whose last exchange was answered.
      failed: Links whose last exchange failed, with the number of consecutive failures.
      chosen: Node ids of the current links.
      reported_versions: Highest version that each peer reported since the last reset().
    """

    answered: set[str] = attrs.field(factory=set)
    failed: dict[str, int] = attrs.field(factory=dict)
    chosen: frozenset[str] = frozenset()
    reported_versions: dict[str, VersionId | None] = attrs.field(factory=dict)

    def record_success(self, node_id: str) -> None:
        """Records an answered exchange."""
        self.answered.add(node_id)
        self.failed.pop(node_id, None)

    def record_failure(self, node_id: str) -> int:
        """Records a failed exchange and returns the number of consecutive failures."""
        self.answered.discard(node_id)
        self.failed[node_id] = self.failed.get(node_id, 0) + 1
        self.reported_versions.pop(node_id, None)
        return self.failed[node_id]

    def forget_peer(self, node_id: str) -> None:
        """Forgets a peer that is no longer a link."""
        self.answered.discard(node_id)
        self.failed.pop(node_id, None)
        self.reported_versions.pop(node_id, None)

    def reset(self) -> None:
        """Discards all results; those from before a pause are out of date."""
        self.answered.clear()
        self.failed.clear()
        self.reported_versions.clear()
