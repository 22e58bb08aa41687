"""Sends a call over HTTP to an upstream or to another node and reads its answer."""

import asyncio
from collections.abc import AsyncIterator, Mapping

import attrs
from aiohttp import ClientError, StreamReader
from aiohttp.http import RawResponseMessage, StreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from multidict import CIMultiDict

from ibisrack.calls.headers import CALL_ID
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.upstreams.connection import Connection, has_http_status, has_verifiable_end
from ibisrack.upstreams.connections import ConnectionPool

MAX_BUFFERED_ANSWER_BYTES = 256 * 1024  # Larger answers are streamed.
_TRANSPORT_ERRORS = (ClientError, HttpProcessingError, OSError)


async def send(
    pool: ConnectionPool, call: Call, hop_headers: Mapping[str, str], budget_s: float
) -> Answer:
    """Sends a call and returns its answer.

    Args:
      pool: Connections to the receiver.
      call: The call.
      hop_headers: Headers of this hop, added to those of the call.
      budget_s: Time left for the call.

    Raises:
      NotRunError: No connection could be acquired, so the receiver never saw the call.
      UnknownOutcomeError: After the call was sent, the connection broke, the time ran out, or the
        answer belonged to another call or had no verifiable end.
    """
    deadline_at_s = asyncio.get_running_loop().time() + budget_s
    connection = pool.take_idle()
    if connection is None:  # A connection without unread answers is falsy.
        connection = await _acquire(pool, deadline_at_s)
    try:
        async with asyncio.timeout_at(deadline_at_s):
            await _write(connection, call, hop_headers)
            answer = await _read(pool, connection, call, deadline_at_s)
    except TimeoutError as error:
        pool.discard(connection)
        raise UnknownOutcomeError(Reason.DEADLINE) from error
    except _TRANSPORT_ERRORS as error:
        pool.discard(connection)
        raise UnknownOutcomeError(Reason.CONNECTION_LOST) from error
    except BaseException:
        pool.discard(connection)
        raise
    if answer.rest is None:
        pool.release(connection)
    return answer


async def _acquire(pool: ConnectionPool, deadline_at_s: float) -> Connection:
    try:
        async with asyncio.timeout_at(deadline_at_s):
            return await pool.acquire()
    except TimeoutError as error:
        raise NotRunError(Reason.DEADLINE) from error


async def _write(connection: Connection, call: Call, hop_headers: Mapping[str, str]) -> None:
    """Writes head and body; from here on the receiver may run the call."""
    headers = CIMultiDict(call.headers)
    headers.update(hop_headers)
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(call.body))
    connection.set_response_params(skip_payload=call.method == "HEAD", auto_decompress=False)
    writer = StreamWriter(connection, asyncio.get_running_loop())
    await writer.write_headers(f"{call.method} {call.path} HTTP/1.1", headers)
    await writer.write_eof(call.body)


async def _read(
    pool: ConnectionPool, connection: Connection, call: Call, deadline_at_s: float
) -> Answer:
    message, content = await connection.read()
    while has_http_status(message) and message.code < 200:
        message, content = await connection.read()
    if not has_http_status(message):
        raise UnknownOutcomeError(Reason.WRONG_ANSWER)
    if message.headers.get(CALL_ID, call.call_id) != call.call_id:
        raise UnknownOutcomeError(Reason.WRONG_ANSWER)
    if not has_verifiable_end(message, call.method):
        raise UnknownOutcomeError(Reason.UNDELIMITED_ANSWER)
    body = await _read_buffered(message, content)
    rest = None
    if not content.at_eof():
        rest = AnswerStream(pool, connection, content, deadline_at_s)
    return Answer(message.code, message.headers, body, rest=rest)


async def _read_buffered(message: RawResponseMessage, content: StreamReader) -> bytes:
    length = message.headers.get("Content-Length")
    if length is not None and int(length) <= MAX_BUFFERED_ANSWER_BYTES:
        return await content.read()
    parts: list[bytes] = []
    size = 0
    while size < MAX_BUFFERED_ANSWER_BYTES:
        part = await content.readany()
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b"".join(parts)


@attrs.define(eq=False)
class AnswerStream(AsyncIterator[bytes]):
    """The rest of an answer that is too large to buffer.

    The consumer must close it.  Its connection is reused only after the whole answer was read.
    """

    pool: ConnectionPool
    connection: Connection
    content: StreamReader
    deadline_at_s: float
    closed: bool = False

    async def __anext__(self) -> bytes:
        """Returns the next part.

        Raises:
          UnknownOutcomeError: The answer was truncated or the time ran out.
        """
        try:
            async with asyncio.timeout_at(self.deadline_at_s):
                part = await self.content.readany()
        except TimeoutError as error:
            raise UnknownOutcomeError(Reason.DEADLINE) from error
        except _TRANSPORT_ERRORS as error:
            raise UnknownOutcomeError(Reason.CONNECTION_LOST) from error
        if not part:
            raise StopAsyncIteration
        return part

    def close(self) -> None:
        """Releases the connection, which is aborted if parts are unread."""
        if not self.closed:
            self.closed = True
            self.pool.release(self.connection)
