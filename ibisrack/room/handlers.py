"""Handles the messages of the room slice."""

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
        raise MessageError(f"{peer.sender.node_id} sent a status report for {message.node_id[:40]}")
    if peer.sender.zone == node.room.zone:
        node.room.store_report(message, now.monotonic_s)
    return ()


@handle.register
def _(message: WantSummaries, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    answers: list[Any] = []
    fresher = node.room.fresher_summaries(message, now.monotonic_s)
    if fresher:
        answers.append(fresher)
    if node.room.requester_is_fresher(message, now.monotonic_s):
        answers.append(node.room.summaries_request(now.monotonic_s, message.fresher_by_s))
    return tuple(answers)


@handle.register
def _(message: ZoneSummaries, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    for summary in message.summaries:
        node.room.store_summary(summary, now.monotonic_s)
    return ()
