"""Queue of member record changes that still have to be sent to peers.

A node sends a change to about log2(n) different peers, once to each.  Over the overlay's links
that reaches every node in a few rounds; the comparison of table digests repairs missed changes.
"""

from collections.abc import Iterable
from math import ceil, log2

import attrs

MAX_RECORDS_PER_FRAME = 30  # A larger burst is sent in several frames.


def transmit_limit(member_count: int) -> int:
    """Returns the number of peers to which a node sends a change."""
    return max(3, ceil(log2(member_count + 1)))


@attrs.define
class GossipQueue:
    """The changes to send, by node id, with the peers that have each of them."""

    _known_by: dict[str, set[str]] = attrs.field(factory=dict)

    @property
    def pending(self) -> bool:
        """Whether any change still has to be sent."""
        return bool(self._known_by)

    def add(self, node_id: str, source: str = "") -> None:
        """Queues a change of a record; replaces an earlier change of the same record.

        Args:
          node_id: Node whose record changed.
          source: Peer that sent the change, empty for a change made by this node.
        """
        self._known_by.pop(node_id, None)
        self._known_by[node_id] = {source}

    def mark_known(self, node_id: str, peer_id: str) -> None:
        """Marks that a peer has the current record of a node."""
        if node_id in self._known_by:
            self._known_by[node_id].add(peer_id)

    def unsent_to(self, peer_id: str, limit: int = MAX_RECORDS_PER_FRAME) -> tuple[str, ...]:
        """Returns the node ids whose changes the peer lacks, those known to fewest peers first."""
        unsent = [n for n, known_by in self._known_by.items() if peer_id not in known_by]
        unsent.sort(key=lambda node_id: len(self._known_by[node_id]))
        return tuple(unsent[:limit])

    def mark_sent(self, peer_id: str, node_ids: Iterable[str], member_count: int) -> None:
        """Marks changes as sent to a peer; drops those that reached the transmit limit."""
        peer_limit = transmit_limit(member_count)
        for node_id in node_ids:
            self.mark_known(node_id, peer_id)
            if len(self._known_by.get(node_id, ())) > peer_limit:
                del self._known_by[node_id]
