"""Reads the bodies of an instance's answers into memory that is accounted for.

An endless body can't be told from a long one, so a limit is what ends it.  When there is no more
room, the largest body that is being read is given up: an endless one soon is the largest, and the
others go on.  If they waited for room instead, a body that never ends would hold up all others.
"""

from functools import partial

import attrs
from aiohttp import ClientError, StreamReader

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import UnknownOutcomeError
from ibisrack.memory.account import Holding, Kind, MemoryAccount
from ibisrack.memory.held_body import HeldBody
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
        body = HeldBody(holding)
        try:
            while part := await content.readany():
                self._append(body, part)
            if holding.has_given_up:
                raise UnknownOutcomeError(Reason.TOO_LARGE)
        except BaseException as error:
            body.drop()
            if isinstance(error, ClientError) and holding.has_given_up:
                raise UnknownOutcomeError(Reason.TOO_LARGE) from error
            raise
        holding.change(Kind.ANSWER, None, read_monotonic_s())
        return body.content(), holding

    def _append(self, body: HeldBody, part: bytes) -> None:
        is_too_large = body.size_bytes + len(part) > self.max_answer_bytes
        if is_too_large or not body.append(part, read_monotonic_s()):
            raise UnknownOutcomeError(Reason.TOO_LARGE)


def _fail(connection: Connection) -> bool:
    """Closes a connection whose answer is given up."""
    connection.fail()
    return True
