"""A caller's connection: limits on request heads, and pipelined requests that run early."""

import asyncio
from collections.abc import Iterator
from http import HTTPStatus
from itertools import islice
from typing import Any, Protocol

import attrs
from aiohttp import StreamReader, web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from ibisrack.calls.http_connection import HttpConnection
from ibisrack.clocks import read_monotonic_s
from ibisrack.pipelining.recorder import PipeliningRecorder
from ibisrack.pipelining.state import Pipeline, PipelinedRequest, Stage
from ibisrack.platform.headers import REQUEST_ID
from ibisrack.platform.sockets import has_peer_closed
from ibisrack.routing.model import Limits

MAX_HEADER_FIELDS = 256
HEAD_END = b"\r\n\r\n"
# While reading is paused, the end of the connection is not read; it is looked for this often.
PEER_CHECK_INTERVAL_S = 0.2
# Bytes that arrive after the socket is closed reset the connection, and the caller may then lose
# the last answer.  They are read and dropped for this long.
LINGER_S = 1.0


@attrs.define(eq=False)
class CallerRequest(PipelinedRequest):
    """A request as the parser returned it.

    Attributes:
      message: Its head, or the error of the parser.
      payload: Its body.
      task: Runs it before its turn, None unless it has been launched.
    """

    message: Any = attrs.field(kw_only=True)
    payload: StreamReader = attrs.field(kw_only=True)
    task: asyncio.Task[web.Response | None] | None = None

    @property
    def is_error(self) -> bool:
        """Whether it could not be parsed."""
        return isinstance(self.message, _ErrInfo)

    @property
    def is_last(self) -> bool:
        """Whether nothing is read behind it, as the connection closes with its response."""
        return self.is_error or self.message.should_close

    @property
    def missing_body_bytes(self) -> int:
        """Size of the part of its body that has not arrived, 0 if it is not known."""
        length = self.message.headers.get("Content-Length")
        if self.message.chunked or not length:
            return 0
        return int(length) - self.payload.total_bytes


class EarlyResponder(Protocol):
    """What a connection needs from its server to run requests before their turn."""

    pipelining: PipeliningRecorder

    def may_launch(self, request: CallerRequest) -> bool:
        """Returns whether a request, all before which have started, may start before its turn."""

    async def respond(
        self, http_request: web.BaseRequest, request: CallerRequest
    ) -> web.Response | None:
        """Runs a request; returns None if it must wait for its turn."""


class CallerConnection(HttpConnection):
    """A connection from a caller, with limits on the size and duration of a request head.

    Attributes:
      limits: The limits in force when the connection was opened.
      pipeline: The unanswered requests.
    """

    __slots__ = (
        "_has_dropped_data",
        "_head_bytes",
        "_head_timer",
        "_is_lingering",
        "_latest",
        "_peer_timer",
        "_read_at_s",
        "_seam",
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
        self._is_lingering = False
        self._has_dropped_data = False  # Data that followed the last request of the connection.
        self._latest: CallerRequest | None = None  # Request that was read last.
        self._unread = b""  # Read from the socket and not given to the parser yet.
        self._read_at_s = 0.0  # Monotonic time at which it was read.
        self._seam = b""  # Last bytes given to the parser, if a head may end behind them.

    @property
    def is_serving(self) -> bool:
        """Whether a request has arrived whose response is not complete."""
        is_answering = self.pipeline.oldest is not None and not self._is_lingering
        return is_answering or bool(self._messages)

    def data_received(self, data: bytes) -> None:
        """Parses data; closes the connection if a head is too large or not complete in time."""
        if not data:  # The parser goes on after a pause.
            super().data_received(data)
            self._add_requests(0)
        if not self._unread:
            self._read_at_s = read_monotonic_s()
        self._parse(self._unread + data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timers and everything that runs before its turn."""
        self._reset_head()
        if self._peer_timer is not None:
            self._peer_timer.cancel()
        if self.pipeline.oldest is not None and self.pipeline.oldest.task is not None:
            self.pipeline.oldest.task.cancel()  # Its turn may not have awaited it yet.
        self._cancel_queued()
        super().connection_lost(exc)

    def begin_turn(self) -> None:
        """Makes the next request the oldest; called when its response is begun."""
        self.pipeline.begin_turn()
        self._parse(self._unread)
        self.launch_next()

    def launch_next(self) -> None:
        """Starts the next request before its turn if it may be; it then starts the one behind."""
        if not self.pipeline.queue or self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        request = self.pipeline.next_to_start(unsent_bytes)
        if request is None or request.is_error or not request.payload.is_eof():
            return
        if self._manager.may_launch(request):
            request.stage = Stage.LAUNCHED
            request.task = self._loop.create_task(self._run_early(request))

    async def early_response(self) -> web.Response | None:
        """Returns the response to the oldest request if it was launched before its turn."""
        request = self.pipeline.oldest
        if request.task is None:
            return None
        turn_at_s = read_monotonic_s()
        response = await request.task
        if response is not None and request.answered_at_s <= turn_at_s:
            request_id = response.headers.get(REQUEST_ID, "")
            self._manager.pipelining.record_turn(request_id, request, turn_at_s)
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Sends a response; one that closes the connection cancels the requests behind it."""
        closes = resp.keep_alive is False or not request.keep_alive
        if closes:
            self.pipeline.is_closing = True
            self._cancel_queued()
        result = await super().finish_response(request, resp, start_time)
        if closes and (self.pipeline.queue or self._unread or self._has_dropped_data):
            await self._linger()
        return result

    async def _handle_request(self, *args: Any) -> tuple[web.StreamResponse, bool]:
        try:
            return await super()._handle_request(*args)
        finally:
            self.pipeline.end_turn()
            self._add_requests(0)
            self._parse(self._unread)

    async def _run_early(self, request: CallerRequest) -> web.Response | None:
        task = asyncio.current_task()
        http_request = web.BaseRequest(
            request.message, request.payload, self, None, task, self._loop
        )
        response = await self._manager.respond(http_request, request)
        if response is not None:
            self.pipeline.record_answer(request, len(response.body or b""), read_monotonic_s())
            self.launch_next()
        return response

    def _cancel_queued(self) -> None:
        for request in self.pipeline.queue:
            if request.task is not None:
                request.task.cancel()
                request.task = None
                self._manager.pipelining.cancelled += 1

    async def _linger(self) -> None:
        """Drops what the caller still sends until it closes the connection, for a limited time."""
        self._is_lingering = True
        self._parse(self._unread)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()
            await asyncio.sleep(LINGER_S)  # The end of the connection cancels this task.

    def _resume_reading_if_drained(self) -> None:
        """Does nothing: reading goes on when a turn begins or ends."""

    def _is_reading_body(self) -> bool:
        return self._latest is not None and not self._latest.payload.is_eof()

    @property
    def _drops_data(self) -> bool:
        """Whether what arrives now is not read: the connection closes with an earlier answer."""
        is_last = self._latest is not None and self._latest.is_last
        return (is_last or self.pipeline.is_closing) and not self._is_reading_body()

    def _parse(self, data: bytes) -> None:
        """Gives data to the parser while more may be read, and pauses reading otherwise."""
        if self._force_close or self._close:
            return
        position = 0
        while position < len(data) and not self._drops_data:
            if self._reading_paused or self._upgraded or not self.pipeline.may_read:
                break
            end = self._part_end(data, position)
            self._feed(data[position:end])
            position = end
        self._unread = data[position:]
        if self._unread and self._drops_data:
            self._unread, self._has_dropped_data = b"", True
        must_pause = bool(self._unread) or not (self.pipeline.may_read or self._drops_data)
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
        if self._is_reading_body() and (missing_bytes := self._latest.missing_body_bytes) > 0:
            return min(len(data), start + missing_bytes)
        seam_end = (self._seam + data[start : start + 3]).find(HEAD_END) if self._seam else -1
        if seam_end >= 0:
            return start + seam_end + len(HEAD_END) - len(self._seam)
        head_end = data.find(HEAD_END, start)
        return len(data) if head_end < 0 else head_end + len(HEAD_END)

    def _feed(self, part: bytes) -> None:
        is_body = self._is_reading_body()
        super().data_received(part)
        self._seam = b"" if part.endswith(HEAD_END) else (self._seam + part)[-3:]
        if self._add_requests(self._head_bytes + len(part)):
            self._reset_head()
            self.launch_next()
        elif is_body:
            self._latest.read_bytes += len(part)
            if not self._is_reading_body():
                self.launch_next()
        else:
            self._check_head(len(part))

    def _add_requests(self, read_bytes: int) -> bool:
        """Adds the requests that the parser has found; returns whether there were any."""
        found = False
        for message, payload in self._new_messages():
            self._latest = CallerRequest(
                self._read_at_s, read_bytes, message=message, payload=payload
            )
            self.pipeline.queue.append(self._latest)
            found = True
        return found

    def _new_messages(self) -> Iterator[tuple[Any, StreamReader]]:
        return islice(self._messages, len(self.pipeline.queue), None)

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
                self._add_requests(0)
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
