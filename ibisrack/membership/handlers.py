"""What a node does with the messages of the membership slice."""

from typing import Any

from ibisrack.clocks import Instant
from ibisrack.exchange.dispatch import handle
from ibisrack.exchange.messages import Hello
from ibisrack.membership.messages import MembersDigest, MembersUpdate
from ibisrack.membership.records import MemberRecord
from ibisrack.node.state import NodeState


def _take(
    node: NodeState, records: tuple[MemberRecord, ...], peer_id: str, now: Instant
) -> tuple[MembersUpdate, ...]:
    """Learns records and returns those that the peer has to correct."""
    corrections = []
    for record in records:
        node.learn(record, now, peer_id)
        kept = node.members.find(record.node_id)
        if kept.precedence > record.precedence:
            corrections.append(kept)
    return (MembersUpdate(tuple(corrections)),) if corrections else ()


@handle.register
def _(message: Hello, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    """Learns the sender's record and tells the sender what is said of it.

    A sender that is suspected or dead here refutes at once, and one that is leaving learns it.
    """
    node.log.clock.observe(message.stamp, now.wall_ms)
    node.suspicions.heard(message.sender.node_id, now.monotonic_s)
    return _take(node, (message.sender,), message.sender.node_id, now)


@handle.register
def _(message: MembersDigest, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    records = node.members.differing(message)
    return (MembersUpdate(records),) if records else ()


@handle.register
def _(message: MembersUpdate, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    return _take(node, message.records, peer.sender.node_id, now)
