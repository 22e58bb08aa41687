"""Reads the bodies of callers' requests into memory that is accounted for."""

import asyncio
from contextlib import suppress

import attrs
from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestPayloadError

from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import RequestError
from ibisrack.memory.account import Holding, Kind, MemoryAccount
from ibisrack.memory.held_body import HeldBody

# While a body arrives, the system, the parser and the library hold up to this much beside it: see
# CallerConnection.  Bodies in small chunks take the most, as each chunk is an object.
READ_AHEAD_BYTES = 64 * 1024
CHUNKED_READ_AHEAD_BYTES = 96 * 1024
# Room for a body of unknown length: at first, and each time that it needs more.
FIRST_BYTES = 16 * 1024
GROWTH_BYTES = 128 * 1024
# A client that takes longer for PROGRESS_BYTES sends less than 280 bytes a second.
BODY_PROGRESS_TIMEOUT_S = 60.0
# When the account is full.  Requests are answered within seconds, and stalled bodies make room.
FULL_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class BodyReading:
    """A request body that is being read.

    Attributes:
      body: What has arrived.
      max_bytes: Limit on its size.
      timeout: Ends the reading.
    """

    body: HeldBody
    max_bytes: int
    timeout: asyncio.Timeout = attrs.field(factory=lambda: asyncio.timeout(None))

    def give_up(self) -> bool:
        """Ends the reading in favour of other holdings."""
        self.body.drop()
        with suppress(RuntimeError):  # It ends already, because it has taken too long.
            self.timeout.reschedule(asyncio.get_running_loop().time())
        return True

    async def read(self, content: StreamReader) -> bytes:
        """Reads the whole body; see ``read_held_body``."""
        try:
            async with self.timeout:
                self._prolong()
                while part := await content.readany():
                    self._append(part)
        except TimeoutError as error:
            if self.body.holding.has_given_up:
                raise _no_room() from error
            raise RequestError("the body does not arrive", 408) from error
        if self.body.holding.has_given_up:
            raise _no_room()
        return self.body.content()

    def _append(self, part: bytes) -> None:
        if self.body.size_bytes + len(part) > self.max_bytes:
            raise _too_large(self.max_bytes)
        progress_at_s = self.body.holding.progress_at_s
        if not self.body.append(part, read_monotonic_s()):
            raise _no_room()
        if self.body.holding.progress_at_s != progress_at_s:
            self._prolong()

    def _prolong(self) -> None:
        self.timeout.reschedule(asyncio.get_running_loop().time() + BODY_PROGRESS_TIMEOUT_S)


async def read_held_body(
    request: web.BaseRequest, max_bytes: int, account: MemoryAccount
) -> tuple[bytes, Holding | None]:
    """Reads the body of a request; returns it and its holding, None without a body.

    Nothing is read of a body that is announced as too large, or for which there is no room.

    Raises:
      RequestError: The body is too large, malformed or does not arrive, or there is no room.
    """
    if not request.can_read_body:
        return b"", None
    length = request.content_length
    if (length or 0) > max_bytes:
        raise _too_large(max_bytes)
    reading = _open_reading(length, max_bytes, account)
    try:
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = await reading.read(request.content)
    except RequestPayloadError as error:
        reading.body.drop()
        raise RequestError("the body is not valid HTTP") from error
    except BaseException:
        reading.body.drop()
        raise
    now_s, holding = read_monotonic_s(), reading.body.holding
    holding.change(Kind.REQUEST, None, now_s)
    holding.resize(len(body), now_s)
    return body, holding


def _open_reading(length: int | None, max_bytes: int, account: MemoryAccount) -> BodyReading:
    """Opens the holding of a body; raises RequestError if there is no room."""
    if length is None:
        size_bytes = FIRST_BYTES + CHUNKED_READ_AHEAD_BYTES
    else:
        size_bytes = length + min(length, READ_AHEAD_BYTES)
    holding = account.open(Kind.REQUEST, size_bytes, read_monotonic_s(), grows=length is None)
    if holding is None:
        raise _no_room()
    body = HeldBody(holding, CHUNKED_READ_AHEAD_BYTES, GROWTH_BYTES, max_bytes)
    reading = BodyReading(body, max_bytes)
    account.change(holding, Kind.REQUEST, reading.give_up)
    return reading


def _too_large(max_bytes: int) -> RequestError:
    return RequestError(f"the body is larger than {max_bytes} bytes", 413)


def _no_room() -> RequestError:
    return RequestError("not run: no memory for the body", 503, FULL_RETRY_AFTER_S)
