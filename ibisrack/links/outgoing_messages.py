"""Handles the messages of a peer on an outgoing link: its load, and the results of requests."""

from functools import singledispatch
from typing import Any

from multidict import CIMultiDict

from ibisrack.calls.messages import Answer
from ibisrack.errors import MessageError, NotRunError, UnknownOutcomeError
from ibisrack.links.messages import (
    Answered,
    BodyPart,
    Entries,
    KnownLimit,
    Load,
    OutcomeUnknown,
    Refused,
)
from ibisrack.suspects.messages import CrashReport, RunCompleted


@singledispatch
def handle(message: Any, link: Any) -> None:
    """Handles a message from the peer.

    Args:
      message: The message.
      link: The OutgoingLink on which it arrived.
    """
    raise MessageError(f"unexpected {type(message).__name__} message on an outgoing link")


@handle.register
def _(message: Load, link: Any) -> None:
    link.load = message
    if message.instance_id:
        link.known_limit = KnownLimit(message.instance_id, message.limit_per_s)
    if message.leaving_start_ms is not None:
        link.on_leaving(message.instance_id, message.leaving_start_ms)


@handle.register
def _(message: Answered, link: Any) -> None:
    pending = link.pending.get(message.number)
    if pending is None:
        return
    if message.more:
        pending.answer_head = message
        pending.body_parts = [message.body]
        return
    link.complete(pending, _build_answer(message, message.body))


@handle.register
def _(message: BodyPart, link: Any) -> None:
    pending = link.pending.get(message.number)
    if pending is None or pending.answer_head is None:
        return
    pending.body_parts.append(message.body)
    if not message.more:
        link.complete(pending, _build_answer(pending.answer_head, b"".join(pending.body_parts)))


@handle.register
def _(message: Refused, link: Any) -> None:
    if pending := link.pending.get(message.number):
        link.complete(pending, NotRunError(message.reason))


@handle.register
def _(message: OutcomeUnknown, link: Any) -> None:
    if pending := link.pending.get(message.number):
        link.complete(pending, UnknownOutcomeError(message.reason))


@handle.register
def _(message: Entries, link: Any) -> None:
    link.on_entries(link, message)


@handle.register(CrashReport | RunCompleted)
def _(message: CrashReport | RunCompleted, link: Any) -> None:
    link.suspects.receive(message, link)


def _build_answer(head: Answered, body: bytes) -> Answer:
    return Answer(head.status, CIMultiDict(head.headers), body, ran_s=head.ran_ms / 1000)
