"""What a node does with the messages of the membership slice."""

from typing import Any

from ibisrack.clocks import Instant
from ibisrack.exchange.dispatch import handle
from ibisrack.exchange.messages import Hello
from ibisrack.membership.messages import MembersDigest, MembersUpdate
from ibisrack.node.state import NodeState


@handle.register
def _(message: MembersDigest, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    records = node.members.differing(message)
    return (MembersUpdate(records),) if records else ()


@handle.register
def _(message: MembersUpdate, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    for record in message.records:
        node.learn(record, now)
    return ()
