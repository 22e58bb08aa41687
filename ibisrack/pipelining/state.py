"""State of a connection's unanswered requests, and the decisions on reading and starting more."""

from collections import deque
from enum import Enum, auto

import attrs

# Requests that are read behind the one that is being answered.  All of them may run, so that a
# request which the client takes for accepted does not wait here for its start.
MAX_QUEUED_REQUESTS = 16
# Heads and bodies of these requests; the last one may exceed it by one read of the socket.
MAX_QUEUED_BYTES = 256 * 1024
# Answers that are running, wait for their turn or are being sent.
MAX_UNSENT_ANSWER_BYTES = 1024 * 1024
# Assumed for an answer until the connection has seen larger ones: MAX_QUEUED_REQUESTS may run.
MIN_EXPECTED_ANSWER_BYTES = 64 * 1024
EXPECTATION_DECAY = 0.75  # After one large answer, ten small ones restore the full concurrency.


class Stage(Enum):
    """How far a request has come."""

    WAITING = auto()
    LAUNCHED = auto()  # Its task was created and has not decided yet whether it may start.
    RUNNING = auto()
    ANSWERED = auto()  # Its answer waits for its turn, or is being sent.


@attrs.define(eq=False)
class PipelinedRequest:
    """An unanswered request of a connection.

    Attributes:
      received_at_s: Monotonic time at which the end of its head was read from the socket.
      read_bytes: Size of what was read of its head and body.
      stage: How far it has come.
      may_repeat: Whether it may run more than once; known from its start.
      answer_bytes: Size of the body of its answer.
      answered_at_s: Monotonic time at which its answer was ready, None before.
    """

    received_at_s: float
    read_bytes: int = 0
    stage: Stage = Stage.WAITING
    may_repeat: bool = False
    answer_bytes: int = 0
    answered_at_s: float | None = None

    @property
    def has_started(self) -> bool:
        """Whether it was passed on."""
        return self.stage is Stage.RUNNING or self.stage is Stage.ANSWERED

    def start(self, may_repeat: bool) -> None:
        """Records that it is passed on."""
        self.stage, self.may_repeat = Stage.RUNNING, may_repeat


@attrs.define(eq=False)
class Pipeline:
    """Unanswered requests of a connection.

    Requests start in their order.  One starts before its turn only if it and all before it may be
    repeated: the client sends it again if an earlier answer closes the connection.

    Attributes:
      oldest: Request that is being answered, None while there is none.
      queue: Requests behind it in their order.
      is_closing: Whether the connection closes with the answer to the oldest request.
      expected_answer_bytes: Expected size of the next answer.
    """

    oldest: PipelinedRequest | None = None
    queue: deque[PipelinedRequest] = attrs.field(factory=deque)
    is_closing: bool = False
    expected_answer_bytes: float = MIN_EXPECTED_ANSWER_BYTES

    @property
    def may_read(self) -> bool:
        """Whether more may be read from the connection."""
        if len(self.queue) < 2:
            return not self.queue or self.queue[0].read_bytes < MAX_QUEUED_BYTES
        queued_bytes = sum(request.read_bytes for request in self.queue)
        return len(self.queue) < MAX_QUEUED_REQUESTS and queued_bytes < MAX_QUEUED_BYTES

    @property
    def next_has_started(self) -> bool:
        """Whether the request behind the oldest has been passed on."""
        return bool(self.queue) and self.queue[0].has_started

    def begin_turn(self) -> PipelinedRequest:
        """Makes the next request the oldest one and returns it."""
        self.oldest = self.queue.popleft()
        return self.oldest

    def record_answer(self, request: PipelinedRequest, answer_bytes: int, now_s: float) -> None:
        """Records that the answer to a request is ready."""
        request.stage = Stage.ANSWERED
        request.answer_bytes, request.answered_at_s = answer_bytes, now_s
        decayed_bytes = self.expected_answer_bytes * EXPECTATION_DECAY
        self.expected_answer_bytes = max(MIN_EXPECTED_ANSWER_BYTES, answer_bytes, decayed_bytes)

    def next_to_start(self, unsent_bytes: int) -> PipelinedRequest | None:
        """Returns the request that may start before its turn if it may be repeated, or None.

        Args:
          unsent_bytes: Bytes of earlier answers that the client has not taken yet.
        """
        if self.is_closing or self.oldest is None:
            return None
        occupied_bytes = unsent_bytes + self.expected_answer_bytes
        before = self.oldest
        for request in self.queue:
            if not (before.has_started and before.may_repeat):
                return None
            occupied_bytes += self._answer_bytes(before)
            if request.stage is Stage.WAITING:
                return request if occupied_bytes <= MAX_UNSENT_ANSWER_BYTES else None
            before = request
        return None

    def _answer_bytes(self, request: PipelinedRequest) -> float:
        if request.stage is Stage.ANSWERED:
            return request.answer_bytes
        return self.expected_answer_bytes
