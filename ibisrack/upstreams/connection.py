"""One HTTP connection to a server, with limits on what arrives on it.

A server in trouble may send bytes that are no answer, or bytes without end.  A connection that
receives more than an answer can have closes itself, and complete answers before that still count.
"""

import asyncio
import socket
from http import HTTPStatus
from typing import Any

from aiohttp import ServerDisconnectedError, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import EMPTY_BODY_STATUS_CODES
from aiohttp.http import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD

# Answers of any status that a server may send for one request: interim ones, late ones to earlier
# requests, and the one that counts.  A server that sends more is taken to send them without end.
MAX_ANSWERS_PER_REQUEST = 32
# Heads and the framing of chunks may take this many bytes for one request, and as many again as the
# bodies have.  Only chunks of a few bytes need more, and each costs as much time as a large one.
MAX_FRAMING_BYTES = 64 * 1024
MAX_SEGMENT_BYTES = 16 * 1024  # Of a packet that may hold framing; the limits are checked after it.
READ_BUFFER_BYTES = 64 * 1024  # The library stops reading at twice this size for a connection.
MIN_HTTP_STATUS, MAX_HTTP_STATUS = 100, 599
# Bytes that the system holds unread count towards the memory of the machine, and may be megabytes
# for each connection.  The system doubles the value and holds about as much as is stated here.
RECEIVE_BUFFER_BYTES = 128 * 1024
_SEPARATOR = b"\r\n\r\n"  # Ends a head, and the last chunk of a body with its trailers.


class Connection(ResponseHandler):
    """Connection that keeps complete answers apart from the bytes that follow them.

    The library parses a packet as a whole and drops the complete answers in it if malformed bytes
    follow.  This class passes a packet on in segments, none of which extends over the end of a head
    or of a body, and closes the connection when there are too many answers.  The library also
    treats any end of a connection as the end of an answer without a length, so the class records
    how the connection ended.

    Attributes:
      failed: Whether the connection ended with an error, such as a reset.
      requests: Number of requests sent on it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.failed = False
        self.requests = 0
        self._received = b""  # Unparsed bytes, after the last few parsed ones.
        self._parsed_bytes = 0  # Number of bytes at the start of _received that are parsed.
        self._overlap_bytes = 0  # Number of parsed bytes that may begin a separator.
        self._due_bytes = 0  # Rest of a body with a declared length.
        self._answers = 0  # Number of answers since the request was sent.
        self._parsed_since_request_bytes = 0
        self._content = EMPTY_PAYLOAD  # Body of the last answer.
        self._earlier_body_bytes = 0  # Length of the bodies before it, since the request was sent.
        self._idle = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bounds what the system holds; called by the event loop."""
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        super().connection_made(transport)

    def set_response_params(self, **options: Any) -> None:
        """Prepares for the answers to a request; called before the request is written."""
        self.requests += 1
        self._answers = 0
        self._parsed_since_request_bytes = 0
        self._content = EMPTY_PAYLOAD
        self._earlier_body_bytes = 0
        self._idle = False
        super().set_response_params(**{"read_bufsize": READ_BUFFER_BYTES, **options})

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records how the connection ended; called by the event loop."""
        self.failed = exc is not None
        super().connection_lost(exc)

    def mark_idle(self) -> None:
        """Closes the connection if anything arrives before the next request."""
        self._idle = True

    def data_received(self, data: bytes) -> None:
        """Parses data; empty data continues after the reader of a body caught up."""
        if self._idle:
            if data:
                self.fail()
            return
        if not data or self._parser is None:
            super().data_received(data)
        else:
            self._received += data
        while self._has_unparsed and not self._reading_paused and self._exception is None:
            segment = self._take_segment()
            self._parsed_since_request_bytes += len(segment)
            super().data_received(segment)
            if self._framing_bytes() > MAX_FRAMING_BYTES:
                self.fail()
        self._drop_parsed()

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Queues an answer whose head was parsed; called by the library."""
        self._due_bytes = 0 if self._skip_payload else declared_bytes(data[0])
        self._answers += 1
        self._earlier_body_bytes += self._content.total_bytes
        self._content = data[1]
        super().feed_data(data, size)
        # No request asks for another protocol.
        switches_protocol = data[0].code == HTTPStatus.SWITCHING_PROTOCOLS
        if self._answers >= MAX_ANSWERS_PER_REQUEST or switches_protocol:
            self.fail()

    def fail(self) -> None:
        """Closes the connection at once; its reader gets an error after what is queued."""
        self.set_exception(ServerDisconnectedError("closed because of its answers"))
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(self._exception)
        if self.transport is not None:
            self.transport.abort()

    def _framing_bytes(self) -> int:
        """Returns how much longer the answers to a request are than twice their bodies."""
        body_bytes = self._earlier_body_bytes + self._content.total_bytes
        return self._parsed_since_request_bytes - 2 * body_bytes

    @property
    def _has_unparsed(self) -> bool:
        return self._parsed_bytes < len(self._received)

    def _take_segment(self) -> bytes:
        """Returns the unparsed bytes up to the next possible end of a head or body."""
        start, end = self._parsed_bytes, len(self._received)
        self._overlap_bytes = 0
        if self._due_bytes:
            end = min(start + self._due_bytes, end)
            self._due_bytes -= end - start
        else:
            end = min(start + MAX_SEGMENT_BYTES, end)
            position = self._received.find(_SEPARATOR, max(0, start - len(_SEPARATOR) + 1), end)
            if position >= 0:
                end = position + len(_SEPARATOR)
            else:
                self._overlap_bytes = min(end, len(_SEPARATOR) - 1)
        self._parsed_bytes = end
        return self._received[start:end]

    def _drop_parsed(self) -> None:
        """Drops parsed bytes, except for those that may begin a separator."""
        dropped_bytes = self._parsed_bytes - self._overlap_bytes
        self._received = self._received[dropped_bytes:]
        self._parsed_bytes = self._overlap_bytes


def declared_bytes(message: RawResponseMessage) -> int:
    """Returns the declared length of an answer's body, 0 if there is none."""
    if message.chunked or message.code < 200 or message.code in EMPTY_BODY_STATUS_CODES:
        return 0
    return int(message.headers.get("Content-Length", 0))


def has_http_status(message: RawResponseMessage) -> bool:
    """Returns whether the status of an answer is one of the five classes that HTTP has.

    The library parses any three digits.  A server in trouble may send 000, which is below the
    interim statuses and would be skipped like one of them.
    """
    return MIN_HTTP_STATUS <= message.code <= MAX_HTTP_STATUS


def has_verifiable_end(message: RawResponseMessage, method: str) -> bool:
    """Returns whether a truncated answer can be told from a complete one.

    An answer without a length ends with its connection, as does an answer whose sender crashes.
    """
    if method == "HEAD" or message.code in EMPTY_BODY_STATUS_CODES:
        return True
    return message.chunked or "Content-Length" in message.headers
