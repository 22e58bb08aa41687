"""What a node does with the messages of the room slice."""

from typing import Any

from ibisrack.clocks import Instant
from ibisrack.errors import MessageError
from ibisrack.exchange.dispatch import handle
from ibisrack.exchange.messages import Hello
from ibisrack.node.state import NodeState
from ibisrack.room.messages import StatusReport, WantSummaries, ZoneSummaries


@handle.register
def _(message: StatusReport, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    if message.node_id != peer.sender.node_id:
        raise MessageError(f"{peer.sender.node_id} reports for {message.node_id[:40]}")
    if peer.sender.zone == node.room.zone:
        node.room.take(message, now.monotonic_s)
    return ()


@handle.register
def _(message: WantSummaries, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    answers: list[Any] = []
    fresher = node.room.fresher(message, now.monotonic_s)
    if fresher:
        answers.append(fresher)
    if node.room.lacks(message, now.monotonic_s):
        answers.append(node.room.wanted(now.monotonic_s, message.fresher_by_s))
    return tuple(answers)


@handle.register
def _(message: ZoneSummaries, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    for summary in message.summaries:
        node.room.hold(summary, now.monotonic_s)
    return ()
