"""Requests that were sent to a peer, and what is known of them while they have no result."""

import asyncio
from collections.abc import Callable, Iterator
from functools import singledispatch

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.clocks import read_monotonic_s
from ibisrack.links.messages import Answered, Cancel, Resume, Submit
from ibisrack.memory.account import Holding, Kind
from ibisrack.memory.held_body import HeldBody

# A request that is abandoned at its deadline may still run: an instance can be late to stop.  A
# link whose peer is alive is usually back within this time.
MIN_ABANDONED_S = 2.0


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
      withdrawn: Whether the peer is to refuse it if it has not started.
      body: What has arrived of an answer's body, None before that.
      answer_head: First message of that answer, None before its arrival.
      is_sent: Whether the whole submission was written; if not, the peer can't have run it.
    """

    submit: Submit
    future: asyncio.Future
    peer_epoch: str
    may_leave: Callable[[], bool]
    deadline_at_s: float
    left: bool = False
    withdrawn: bool = False
    body: HeldBody | None = None
    answer_head: Answered | None = None
    is_sent: bool = True

    def take_body(self) -> tuple[bytes, Holding]:
        """Returns a complete body and its holding, which is from now on its receiver's."""
        body, self.body = self.body, None
        body.holding.change(Kind.ANSWER, None, read_monotonic_s())
        return body.content(), body.holding

    def drop_parts(self) -> None:
        """Drops what has arrived of an answer."""
        self.answer_head = None
        if self.body is not None:
            self.body.drop()
            self.body = None


@attrs.frozen
class AbandonedRequest:
    """Request whose result nobody waits for, and which the peer may still hold.

    Attributes:
      number: Number of the request on its link.
      request_id: Id from the caller.
      attempt: Number of the submission.
      peer_epoch: Epoch of the peer's process that received the submission.
      until_s: Monotonic time until which it is remembered.
    """

    number: int
    request_id: str
    attempt: int
    peer_epoch: str
    until_s: float


@attrs.define
class AbandonedRequests:
    """Abandoned requests at one peer, until the peer does not run them any more."""

    _requests: list[AbandonedRequest] = attrs.field(factory=list)

    def __len__(self) -> int:
        """Returns the number of abandoned requests."""
        return len(self._requests)

    def add(self, pending: PendingRequest, now_s: float) -> None:
        """Adds a request that was given up."""
        self.drop_expired(now_s)
        submit = pending.submit
        self._requests.append(
            AbandonedRequest(
                submit.number,
                submit.request_id,
                submit.attempt,
                pending.peer_epoch,
                max(pending.deadline_at_s, now_s + MIN_ABANDONED_S),
            )
        )

    def drop_expired(self, now_s: float) -> None:
        """Drops the requests whose time has passed."""
        self._requests = [r for r in self._requests if r.until_s > now_s]

    def cancellations(self, peer_epoch: str) -> Iterator[Resume | Cancel]:
        """Yields the messages that cancel, over a new link, what a process of the peer may hold.

        A Resume precedes each Cancel, because the peer knows a request only by its number on the
        link.
        """
        for request in self._requests:
            if request.peer_epoch == peer_epoch:
                yield Resume(request.number, request.request_id, request.attempt)
                yield Cancel(request.number)


@singledispatch
def set_result(result: object, future: asyncio.Future) -> None:
    """Passes the result of a request to the future on which its sender waits."""
    raise TypeError(f"unexpected result type {type(result).__name__}")


@set_result.register
def _(result: Answer, future: asyncio.Future) -> None:
    future.set_result(result)


@set_result.register
def _(result: Exception, future: asyncio.Future) -> None:
    future.set_exception(result)
    future.exception()  # Nobody may wait any more, which asyncio would report as an error.
