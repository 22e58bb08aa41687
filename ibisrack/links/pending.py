"""Requests that were sent to a peer, and what is known of them while they have no result."""

import asyncio
from collections.abc import Callable

import attrs

from ibisrack.links.messages import Answered, Submit


@attrs.define(eq=False)
class PendingRequest:
    """Request that the peer has not answered completely.

    Attributes:
      submit: The submission that was sent.
      future: Receives the result.
      peer_epoch: Epoch of the peer's process that received the submission.
      may_leave: Returns whether its sender tries another instance while the peer can't be reached.
      deadline_at_s: Monotonic time after which the peer does not run it.
      left: Whether its sender tries another instance.
      body_parts: Parts received so far of an answer's body.
      answer_head: First message of that answer, None before its arrival.
    """

    submit: Submit
    future: asyncio.Future
    peer_epoch: str
    may_leave: Callable[[], bool]
    deadline_at_s: float
    left: bool = False
    body_parts: list[bytes] = attrs.field(factory=list)
    answer_head: Answered | None = None


@attrs.frozen
class AbandonedRequest:
    """Request whose result nobody waits for, and which the peer may still hold.

    Attributes:
      number: Number of the request on its link.
      request_id: Id from the caller.
      attempt: Number of the submission.
      peer_epoch: Epoch of the peer's process that received the submission.
      deadline_at_s: Monotonic time after which the peer does not run it.
    """

    number: int
    request_id: str
    attempt: int
    peer_epoch: str
    deadline_at_s: float


def abandoned(pending: PendingRequest) -> AbandonedRequest:
    """Returns what is kept of a request that was given up."""
    submit = pending.submit
    return AbandonedRequest(
        submit.number,
        submit.request_id,
        submit.attempt,
        pending.peer_epoch,
        pending.deadline_at_s,
    )
