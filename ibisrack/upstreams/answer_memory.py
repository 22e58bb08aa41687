"""Bounds the memory of the answers that a node is reading, one by one and all together.

An endless body can't be told from a long one, so a limit is what ends it.  When the answers
together would exceed the limit, the largest of them is given up: an endless body soon is the
largest, and the others go on.  If they waited for room instead, a body that never ends would hold
up all others.
"""

import attrs
from aiohttp import ClientError, StreamReader

from ibisrack.calls.outcomes import Reason
from ibisrack.errors import UnknownOutcomeError
from ibisrack.upstreams.connection import Connection

# Share of the machine's memory for the answers being read.  The process rests at 45 MB, and the
# finished body takes its size once more, so a machine of 128 MB has room for a quarter.
ANSWER_MEMORY_SHARE = 0.25
MAX_ANSWER_BYTES = 64 * 1024 * 1024  # Of one answer on a machine of any size.
MEBIBYTE = 1024 * 1024


@attrs.define(eq=False)
class AnswerBuffer:
    """Body of one answer that is being read.

    Attributes:
      connection: Connection on which the body arrives.
      body: The bytes received.  As a list of parts, a body that trickles in would take many times
        the memory that is counted for it.
      given_up: Whether the answer was given up in favour of others.
    """

    connection: Connection
    body: bytearray = attrs.field(factory=bytearray)
    given_up: bool = False

    @property
    def size(self) -> int:
        """Number of bytes received."""
        return len(self.body)


@attrs.define(eq=False)
class AnswerMemory:
    """Memory for the bodies of the answers that are being read.

    Attributes:
      limit_bytes: Limit of all bodies together.
      held_bytes: Size of all bodies together.
    """

    limit_bytes: int
    held_bytes: int = 0
    _buffers: set[AnswerBuffer] = attrs.field(factory=set)

    @property
    def max_answer_bytes(self) -> int:
        """Limit of one body."""
        return min(MAX_ANSWER_BYTES, self.limit_bytes)

    async def read_body(self, connection: Connection, content: StreamReader) -> bytes:
        """Reads a whole body.

        Raises:
          UnknownOutcomeError: The body is too large, or the largest when there is no more room.
          ClientError: The connection broke.
        """
        buffer = AnswerBuffer(connection)
        self._buffers.add(buffer)
        try:
            while part := await content.readany():
                self._append(buffer, part)
            if buffer.given_up:
                raise UnknownOutcomeError(Reason.TOO_LARGE)
            return bytes(buffer.body)
        except ClientError as error:
            if buffer.given_up:
                raise UnknownOutcomeError(Reason.TOO_LARGE) from error
            raise
        finally:
            self._drop(buffer)

    def _append(self, buffer: AnswerBuffer, part: bytes) -> None:
        if buffer.given_up or buffer.size + len(part) > self.max_answer_bytes:
            raise UnknownOutcomeError(Reason.TOO_LARGE)
        while self.held_bytes + len(part) > self.limit_bytes:
            largest = max(self._buffers, key=lambda other: other.size)
            if largest.size <= buffer.size:
                raise UnknownOutcomeError(Reason.TOO_LARGE)
            largest.given_up = True
            largest.connection.fail()
            self._drop(largest)
        buffer.body += part
        self.held_bytes += len(part)

    def _drop(self, buffer: AnswerBuffer) -> None:
        """Releases the memory of a body that is complete or given up."""
        self._buffers.discard(buffer)
        self.held_bytes -= buffer.size
        buffer.body.clear()


def create_answer_memory(memory_mb: float) -> AnswerMemory:
    """Returns the memory for answers on a machine of the given size."""
    return AnswerMemory(int(memory_mb * MEBIBYTE * ANSWER_MEMORY_SHARE))
