"""Reads the bodies of an instance's answers into memory that is accounted for.

An endless body can't be told from a long one, so a limit is what ends it.  When there is no more
room, the largest body that is being read is given up: an endless one soon is the largest, and the
others go on.  If they waited for room instead, a body that never ends would hold up all others.
"""

from functools import partial
from io import BytesIO

import attrs
from aiohttp import ClientError, StreamReader

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import UnknownOutcomeError
from ibisrack.memory.account import Holding, Kind, MemoryAccount
from ibisrack.upstreams.connection import Connection

MAX_ANSWER_BYTES = 64 * 1024 * 1024  # Of one answer on a machine of any size.


@attrs.define(eq=False)
class AnswerMemory:
    """Memory for the bodies of answers.

    Attributes:
      account: Account in which each body has a holding.
    """

    account: MemoryAccount

    @property
    def max_answer_bytes(self) -> int:
        """Limit of one body."""
        return min(MAX_ANSWER_BYTES, self.account.reading_limit_bytes)

    async def read_body(
        self, connection: Connection, content: StreamReader
    ) -> tuple[bytes, Holding]:
        """Reads a whole body; returns it and its holding.

        Raises:
          UnknownOutcomeError: The body is too large, or the largest when there is no more room.
          ClientError: The connection broke.
        """
        give_up = partial(_fail, connection)
        holding = self.account.open(Kind.READING, 0, read_monotonic_s(), give_up, grows=True)
        # As a list of parts, a body that trickles in would take many times the memory that is
        # counted for it, and a bytearray would be copied at the end.
        body = BytesIO()
        try:
            while part := await content.readany():
                self._append(body, part, holding)
            if holding.has_given_up:
                raise UnknownOutcomeError(Reason.TOO_LARGE)
        except BaseException as error:
            holding.release()
            if isinstance(error, ClientError) and holding.has_given_up:
                raise UnknownOutcomeError(Reason.TOO_LARGE) from error
            raise
        holding.change(Kind.ANSWER, None, read_monotonic_s())
        return body.getvalue(), holding

    def _append(self, body: BytesIO, part: bytes, holding: Holding) -> None:
        size_bytes, now_s = body.tell() + len(part), read_monotonic_s()
        is_too_large = size_bytes > self.max_answer_bytes
        if is_too_large or not holding.resize(size_bytes, now_s):
            raise UnknownOutcomeError(Reason.TOO_LARGE)
        body.write(part)
        holding.count_moved(len(part), now_s)


def _fail(connection: Connection) -> bool:
    """Closes a connection whose answer is given up."""
    connection.fail()
    return True
