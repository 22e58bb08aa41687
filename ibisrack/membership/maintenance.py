"""Time-driven changes of the member table, and the member updates sent to peers."""

from typing import Any

import attrs

from ibisrack.clocks import Instant
from ibisrack.membership.messages import MembersUpdate
from ibisrack.membership.records import Liveness
from ibisrack.node.state import NodeState

SUSPECT_AFTER_FAILURES = 2


def expire_members(node: NodeState, now: Instant) -> bool:
    """Declares suspects dead after their timeout and forgets members that have left.

    Returns:
      Whether a suspect was declared dead.
    """
    changed = False
    for node_id in node.suspicions.expired(now.monotonic_s):
        known = node.members.get(node_id)
        if known is not None:
            dead = attrs.evolve(known, liveness=Liveness.DEAD)
            changed = node.apply_record(dead, now) or changed
    for node_id in node.dead_members.forgettable(now.monotonic_s):
        node.forget(node_id)
    return changed


def record_exchange_failure(node: NodeState, peer_id: str, now: Instant) -> bool:
    """Counts a failed exchange and suspects the peer after SUSPECT_AFTER_FAILURES in a row.

    A version transfer that is reserved for the peer is released.

    Returns:
      Whether the member table changed.
    """
    node.versions.transfer.source_failed(peer_id)
    if node.links.record_failure(peer_id) < SUSPECT_AFTER_FAILURES:
        return False
    return mark_suspect(node, peer_id, now)


def mark_suspect(node: NodeState, node_id: str, now: Instant) -> bool:
    """Marks an alive member as suspect; returns whether the table changed."""
    known = node.members.get(node_id)
    if known is None or known.liveness is not Liveness.ALIVE:
        return False
    return node.apply_record(attrs.evolve(known, liveness=Liveness.SUSPECT), now)


def pending_updates(node: NodeState, peer_id: str) -> tuple[MembersUpdate, ...]:
    """Returns the member records queued for a peer, as at most one message."""
    records = [node.members.get(node_id) for node_id in node.gossip.unsent_to(peer_id)]
    known = tuple(record for record in records if record is not None)
    return (MembersUpdate(known),) if known else ()


def mark_updates_sent(node: NodeState, peer_id: str, updates: tuple[Any, ...]) -> None:
    """Marks member updates as sent to a peer."""
    for update in updates:
        node_ids = [record.node_id for record in update.records]
        node.gossip.mark_sent(peer_id, node_ids, node.members.count())
