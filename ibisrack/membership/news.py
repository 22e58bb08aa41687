"""Changes of member records that still have to be told to peers.

A change is told to about log2(n) different peers, each once.  With the links of the overlay that
reaches every node in a few rounds; the comparison of table digests repairs what is missed.
"""

from collections.abc import Iterable
from math import ceil, log2

import attrs

MAX_RECORDS = 30  # Records in one frame; a larger burst is told in several frames.


def repeats(member_count: int) -> int:
    """Returns the number of peers that a change is told to."""
    return max(3, ceil(log2(member_count + 1)))


@attrs.define
class NewsQueue:
    """Owner of the changes to tell, by node id, with the peers that know each of them."""

    _knowing: dict[str, set[str]] = attrs.field(factory=dict)

    @property
    def pending(self) -> bool:
        """Whether any change is still to be told."""
        return bool(self._knowing)

    def add(self, node_id: str, source: str = "") -> None:
        """Queues a change of a record; replaces an earlier change of the same record.

        Args:
          node_id: Node whose record changed.
          source: Peer that told it, empty for a change found here.
        """
        self._knowing.pop(node_id, None)
        self._knowing[node_id] = {source}

    def heard(self, node_id: str, peer_id: str) -> None:
        """Notes that a peer knows the present record of a node."""
        if node_id in self._knowing:
            self._knowing[node_id].add(peer_id)

    def for_peer(self, peer_id: str, limit: int = MAX_RECORDS) -> tuple[str, ...]:
        """Returns the node ids whose changes the peer has to be told, the least told first."""
        untold = [n for n, knowing in self._knowing.items() if peer_id not in knowing]
        untold.sort(key=lambda node_id: len(self._knowing[node_id]))
        return tuple(untold[:limit])

    def delivered(self, peer_id: str, node_ids: Iterable[str], member_count: int) -> None:
        """Notes that a peer was told; changes that were told often enough are dropped."""
        enough = repeats(member_count)
        for node_id in node_ids:
            self.heard(node_id, peer_id)
            if len(self._knowing.get(node_id, ())) > enough:
                del self._knowing[node_id]
