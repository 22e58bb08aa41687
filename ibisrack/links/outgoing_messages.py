"""Handles the messages of a peer on an outgoing link: its load, and the results of requests."""

from functools import partial, singledispatch
from typing import Any

from multidict import CIMultiDict

from ibisrack.calls.messages import Answer
from ibisrack.clocks import read_monotonic_s
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
from ibisrack.links.pending import PendingRequest
from ibisrack.memory.account import Holding, Kind
from ibisrack.memory.held_body import HeldBody
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
    previous, link.load = link.load, message
    if previous is None or previous.reading != message.reading:
        link.on_availability(link.host)
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
        give_up = partial(link.give_up_answer, pending)
        pending.answer_head = message
        pending.body = HeldBody(
            link.account.open(Kind.READING, 0, read_monotonic_s(), give_up, grows=True)
        )
        _append_part(message.body, pending, link)
        return
    link.complete(pending, _build_answer(message, message.body))


@handle.register
def _(message: BodyPart, link: Any) -> None:
    pending = link.pending.get(message.number)
    if pending is None or pending.answer_head is None:
        return
    if _append_part(message.body, pending, link) and not message.more:
        link.complete(pending, _build_answer(pending.answer_head, *pending.take_body()))


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


def _append_part(part: bytes, pending: PendingRequest, link: Any) -> bool:
    """Appends a part of an answer's body; gives the request up if there is no room for it."""
    if pending.body.append(part, read_monotonic_s()):
        return True
    link.give_up_answer(pending)
    return False


def _build_answer(head: Answered, body: bytes, holding: Holding | None = None) -> Answer:
    headers, ran_s = CIMultiDict(head.headers), head.ran_ms / 1000
    return Answer(head.status, headers, body, ran_s=ran_s, holding=holding)
