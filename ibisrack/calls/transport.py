"""Sends a call over HTTP to an upstream or to another node and reads the whole answer."""

from collections.abc import AsyncIterator, Mapping

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError, UnknownOutcomeError

HELD_ANSWER_BYTES = 256 * 1024  # Answers up to this size are held until they are complete.
CONNECT_TIMEOUT_S = 1.0


async def send(
    session: ClientSession, base_url: str, call: Call, headers: Mapping[str, str], budget_s: float
) -> Answer:
    """Sends a call and returns its answer.

    Args:
      session: HTTP client session.
      base_url: http://IP:PORT of the receiver.
      call: The call.
      headers: Headers to send.
      budget_s: Time that is left for the call.

    Raises:
      NotRunError: No connection could be made, so the receiver never saw the call.
      UnknownOutcomeError: The connection broke or the time ran out after the call was sent.
    """
    timeout = ClientTimeout(total=budget_s, connect=min(CONNECT_TIMEOUT_S, budget_s))
    try:
        response = await session.request(
            call.method,
            base_url + call.path,
            headers=headers,
            data=call.body or None,
            timeout=timeout,
            allow_redirects=False,
        )
        return await _read(response)
    except (ClientConnectorError, ConnectionTimeoutError) as error:
        raise NotRunError(Reason.UPSTREAM_UNREACHABLE) from error
    except TimeoutError as error:
        raise UnknownOutcomeError(Reason.DEADLINE) from error
    except (ClientError, OSError) as error:
        raise UnknownOutcomeError(Reason.CONNECTION_LOST) from error


async def _read(response: ClientResponse) -> Answer:
    """Reads an answer; one that is larger than HELD_ANSWER_BYTES is streamed."""
    try:
        body = await _read_held(response)
    except BaseException:
        response.close()
        raise
    rest = None
    if not response.content.at_eof():
        rest = _stream(response)
    return Answer(response.status, response.headers, body, rest=rest)


async def _read_held(response: ClientResponse) -> bytes:
    length = response.content_length
    if length is not None and length <= HELD_ANSWER_BYTES:
        return await response.read()
    parts: list[bytes] = []
    size = 0
    while size < HELD_ANSWER_BYTES:
        part = await response.content.readany()
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b"".join(parts)


async def _stream(response: ClientResponse) -> AsyncIterator[bytes]:
    """Yields the rest of an answer; the connection is never used again after a break."""
    try:
        async for part in response.content.iter_any():
            yield part
    except (TimeoutError, ClientError, OSError) as error:
        raise UnknownOutcomeError(Reason.CONNECTION_LOST) from error
    finally:
        response.close()
