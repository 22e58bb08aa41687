"""Reads the requests of a connection ahead of their turns, within bounds on number and size."""

import asyncio
import re
from http import HTTPStatus
from itertools import islice
from typing import Any

import attrs
from aiohttp import StreamReader, web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from ibisrack.calls.http_connection import HttpConnection
from ibisrack.clocks import read_monotonic_s
from ibisrack.dispatch.request import Request
from ibisrack.pipelining.state import Pipeline, PipelinedRequest
from ibisrack.platform.sockets import has_peer_closed
from ibisrack.routing.model import Limits

MAX_HEADER_FIELDS = 256
HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,9})[ \t]*\r\n", re.IGNORECASE)
# While reading is paused, the end of the connection is not read; it is looked for this often.
PEER_CHECK_INTERVAL_S = 0.2


@attrs.define(eq=False)
class CallerRequest(PipelinedRequest):
    """A request as the parser returned it.

    Attributes:
      message: Its head, or the error of the parser.
      payload: Its body.
      task: Runs it before its turn, None unless it has been launched.
      request: The request, if it was read and then had to wait for its turn.
    """

    message: Any = attrs.field(kw_only=True)
    payload: StreamReader = attrs.field(kw_only=True)
    task: asyncio.Task[web.Response | None] | None = None
    request: Request | None = None

    @property
    def is_error(self) -> bool:
        """Whether it could not be parsed."""
        return isinstance(self.message, _ErrInfo)

    @property
    def missing_body_bytes(self) -> int:
        """Size of the part of its body that has not arrived, 0 if it is not known."""
        length = self.message.headers.get("Content-Length")
        if self.message.chunked or not length:
            return 0
        return int(length) - self.payload.total_bytes


class ReadingConnection(HttpConnection):
    """A connection that reads requests before their turns, with limits on their heads.

    Attributes:
      limits: The limits in force when the connection was opened.
      pipeline: The unanswered requests.
    """

    __slots__ = (
        "_body",
        "_has_dropped_data",
        "_head_bytes",
        "_head_timer",
        "_is_last_read",
        "_last_bytes",
        "_latest",
        "_peer_timer",
        "_read_at_s",
        "_unread",
        "limits",
        "pipeline",
    )

    def __init__(self, manager: web.Server, limits: Limits, **options: Any) -> None:
        super().__init__(
            manager,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            max_headers=MAX_HEADER_FIELDS,
            **options,
        )
        self.limits = limits
        self.pipeline = Pipeline()
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._peer_timer: asyncio.TimerHandle | None = None
        self._has_dropped_data = False  # Data that followed the last request of the connection.
        self._latest: CallerRequest | None = None  # Request that was read last.
        self._body: StreamReader | None = None  # Its body while that has not arrived whole.
        self._is_last_read = False  # Whether the connection closes with its response.
        self._unread = b""  # Read from the socket and not given to the parser yet.
        self._read_at_s = 0.0  # Monotonic time at which it was read.
        self._last_bytes = b""  # Last bytes given to the parser, if a head may end behind them.

    def data_received(self, data: bytes) -> None:
        """Parses data; closes the connection if a head is too large or not complete in time."""
        if self._waits_for_head and _is_one_request(data):
            # The usual case; the request is added when its turn begins.
            self._read_at_s = read_monotonic_s()
            super().data_received(data)
            return
        if not data:  # The parser goes on after a pause.
            super().data_received(data)
        self._note_progress(0)
        if self._unread:
            data = self._unread + data
        else:
            self._read_at_s = read_monotonic_s()
        self._parse(data)

    @property
    def _waits_for_head(self) -> bool:
        """Whether the connection is idle, and nothing of the next request has been read."""
        is_idle = self._waiter is not None and not self._messages
        return is_idle and not self._head_bytes and self._body is None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timers."""
        self._reset_head()
        if self._peer_timer is not None:
            self._peer_timer.cancel()
        super().connection_lost(exc)

    @property
    def has_data_behind(self) -> bool:
        """Whether the caller has sent more than the request that is being answered."""
        return bool(self.pipeline.queue or self._unread) or self._has_dropped_data

    def begin_turn(self, message: Any, payload: StreamReader) -> None:
        """Makes the next request the oldest one, and reads what the pipeline then allows.

        Args:
          message: Head of the request.
          payload: Its body.
        """
        if self.pipeline.queue:
            self.pipeline.begin_turn()
        else:
            self.pipeline.oldest = self._add_request(message, payload)
            self._body = None if payload.is_eof() else payload
        if self._messages or self._unread or self._buffer_paused:
            self.read_on()

    def read_on(self) -> None:
        """Reads what the state of the pipeline allows now: a turn has begun or ended."""
        self._note_progress(0)
        self._parse(self._unread)

    def end_turn(self) -> None:
        """Removes the oldest request, which has been answered, and reads on."""
        self.pipeline.oldest = None
        if self._messages or self._unread or self._buffer_paused:
            self.read_on()

    def request_received(self) -> None:
        """Called when a request has been received with its body."""

    def _resume_reading_if_drained(self) -> None:
        """Does nothing: reading goes on when a turn begins or ends."""

    def _drops_data(self) -> bool:
        """Whether what arrives now is not read: the connection closes with an earlier response."""
        if self.pipeline.is_closing and self._latest is not self.pipeline.oldest:
            return True
        return self._body is None and (self._is_last_read or self.pipeline.is_closing)

    def _parse(self, data: bytes) -> None:
        """Gives data to the parser while more may be read, and pauses reading otherwise."""
        if self._force_close or self._close:
            return
        position = 0
        while position < len(data) and not self._force_close:
            if self._drops_data():
                data, self._has_dropped_data = b"", True
                break
            if self._reading_paused or self._upgraded or not self.pipeline.may_read:
                break
            end = self._part_end(data, position)
            self._feed(data[position:end])
            position = end
        self._unread = data[position:]
        must_pause = self._unread or not (self.pipeline.may_read or self._drops_data())
        if must_pause and not self._buffer_paused:
            self._pause_reading_for_buffer()
            if self._peer_timer is None:
                self._peer_timer = self._loop.call_later(PEER_CHECK_INTERVAL_S, self._watch_peer)
        elif self._buffer_paused and not must_pause:
            self._resume_reading_for_buffer()

    def _part_end(self, data: bytes, start: int) -> int:
        """Returns the end of the next part of the data for the parser.

        A part holds the end of one head at most: if the parser finds an error, it drops the
        requests that it has found before in the same part.
        """
        if self._body is not None and (missing_bytes := self._latest.missing_body_bytes) > 0:
            return min(len(data), start + missing_bytes)
        if self._last_bytes:
            last_head_end = (self._last_bytes + data[start : start + 3]).find(HEAD_END)
            if last_head_end >= 0:
                return start + last_head_end + len(HEAD_END) - len(self._last_bytes)
        head_end = data.find(HEAD_END, start)
        return len(data) if head_end < 0 else head_end + len(HEAD_END)

    def _feed(self, part: bytes) -> None:
        is_body = self._body is not None
        super().data_received(part)
        self._last_bytes = b"" if part.endswith(HEAD_END) else (self._last_bytes + part)[-3:]
        if not self._note_progress(len(part)) and not is_body:
            self._check_head(len(part))

    def _note_progress(self, part_bytes: int) -> bool:
        """Adds the requests that the parser has found, and notes the end of the latest body.

        Args:
          part_bytes: Size of the part that was given to the parser.

        Returns:
          Whether there were any requests.
        """
        new_messages = tuple(islice(self._messages, len(self.pipeline.queue), None))
        for message, payload in new_messages:
            self._add_request(message, payload).read_bytes = self._head_bytes + part_bytes
            self.pipeline.queue.append(self._latest)
            self._reset_head()
        if self._body is not None:
            if not new_messages:
                self._latest.read_bytes += part_bytes
            if self._body.is_eof():
                self._body = None
                self.request_received()
        return bool(new_messages)

    def _add_request(self, message: Any, payload: StreamReader) -> CallerRequest:
        self._latest = CallerRequest(self._read_at_s, message=message, payload=payload)
        self._body = payload
        self._is_last_read = getattr(message, "should_close", True)
        return self._latest

    def _check_head(self, part_bytes: int) -> None:
        """Checks the size and the duration of a head that is not complete."""
        is_idle = self._waiter is not None and not self._waiter.done()
        self._head_bytes += part_bytes
        if self._head_bytes > self.limits.max_header_bytes:
            if is_idle:
                self._reject_head(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            else:  # Answered in its turn.
                error = LineTooLong(b"", self.limits.max_header_bytes)
                self._messages.append((_ErrInfo(400, error, ""), EMPTY_PAYLOAD))
                self._note_progress(0)
        elif is_idle and self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self.limits.header_timeout_s, self._reject_head, HTTPStatus.REQUEST_TIMEOUT
            )

    def _reset_head(self) -> None:
        self._head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject_head(self, status: HTTPStatus) -> None:
        self._reset_head()
        if self.transport is not None:
            head = f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: 0\r\n"
            self.transport.write(f"{head}Connection: close\r\n\r\n".encode())
        self.force_close()

    def _watch_peer(self) -> None:
        """Closes the connection if the caller has closed it while reading is paused."""
        if self.transport is None or not self._buffer_paused:
            self._peer_timer = None
        elif has_peer_closed(self.transport):
            self.transport.abort()
        else:
            self._peer_timer = self._loop.call_later(PEER_CHECK_INTERVAL_S, self._watch_peer)


def _is_one_request(data: bytes) -> bool:
    """Returns whether data that begins with a head holds nothing behind its request."""
    head_end = data.find(HEAD_END)
    if head_end < 0:
        return False
    body_start = head_end + len(HEAD_END)
    if body_start == len(data):
        return True
    length = CONTENT_LENGTH.search(data, 0, body_start)
    return length is not None and body_start + int(length[1]) >= len(data)
