"""Handlers for the messages of the membership slice."""

from typing import Any

from ibisrack.clocks import Instant
from ibisrack.exchange.dispatch import handle
from ibisrack.exchange.messages import Hello
from ibisrack.membership.messages import MembersDigest, MembersUpdate
from ibisrack.membership.records import MemberRecord
from ibisrack.node.state import NodeState


def _apply_records(
    node: NodeState, records: tuple[MemberRecord, ...], peer_id: str, now: Instant
) -> tuple[MembersUpdate, ...]:
    """Applies received records and returns the newer records that the peer lacks."""
    corrections = []
    for record in records:
        node.apply_record(record, now, peer_id)
        known = node.members.get_including_forgotten(record.node_id)
        if known.precedence > record.precedence:
            corrections.append(known)
    return (MembersUpdate(tuple(corrections)),) if corrections else ()


@handle.register
def _(message: Hello, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    """Applies the sender's record; returns this node's record of the sender if it is newer.

    A sender that is suspect or dead here can thus refute at once, and a sender that is marked as
    leaving learns of the mark.
    """
    node.log.clock.observe(message.stamp, now.wall_ms)
    node.suspicions.record_contact(message.sender.node_id, now.monotonic_s)
    return _apply_records(node, (message.sender,), message.sender.node_id, now)


@handle.register
def _(message: MembersDigest, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    records = node.members.differing_records(message)
    return (MembersUpdate(records),) if records else ()


@handle.register
def _(message: MembersUpdate, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    return _apply_records(node, message.records, peer.sender.node_id, now)
