"""Time-driven decisions about members, and what a link exchange opens with."""

from typing import Any

import attrs

from ibisrack.clocks import Instant
from ibisrack.membership.messages import MembersUpdate
from ibisrack.membership.records import Liveness
from ibisrack.node.state import NodeState

SUSPECT_AFTER_FAILURES = 2


def pass_time(node: NodeState, now: Instant) -> bool:
    """Declares suspects dead whose time has run out and forgets members that left.

    Returns:
      Whether the member table changed.
    """
    changed = False
    for node_id in node.suspicions.expired(now.monotonic_s):
        known = node.members.get(node_id)
        if known is not None:
            dead = attrs.evolve(known, liveness=Liveness.DEAD)
            changed = node.learn(dead, now) or changed
    for node_id in node.departures.forgettable(now.monotonic_s):
        node.forget(node_id)
    return changed


def note_failure(node: NodeState, peer_id: str, now: Instant) -> bool:
    """Counts a failed exchange and suspects the peer after several.

    Returns:
      Whether the member table changed.
    """
    node.versions.source_failed(peer_id)
    if node.links.failure(peer_id) < SUSPECT_AFTER_FAILURES:
        return False
    return suspect(node, peer_id, now)


def suspect(node: NodeState, node_id: str, now: Instant) -> bool:
    """Suspects a member that does not answer; returns whether the table changed."""
    known = node.members.get(node_id)
    if known is None or known.liveness is not Liveness.ALIVE:
        return False
    return node.learn(attrs.evolve(known, liveness=Liveness.SUSPECT), now)


def news_for(node: NodeState, peer_id: str) -> tuple[MembersUpdate, ...]:
    """Returns the member news that a peer has not been told, as at most one message."""
    records = [node.members.get(node_id) for node_id in node.news.for_peer(peer_id)]
    known = tuple(record for record in records if record is not None)
    return (MembersUpdate(known),) if known else ()


def told(node: NodeState, peer_id: str, updates: tuple[Any, ...]) -> None:
    """Notes that a peer has received member news."""
    for update in updates:
        node_ids = [record.node_id for record in update.records]
        node.news.delivered(peer_id, node_ids, node.members.count())
