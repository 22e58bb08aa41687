"""A caller's connection: runs pipelined requests before their turns, and ends them with itself."""

import asyncio
import socket
from typing import Any

import attrs
from aiohttp import StreamReader, web

from ibisrack.clocks import read_monotonic_s
from ibisrack.memory.account import Holding
from ibisrack.pipelining.state import Stage
from ibisrack.platform.headers import REQUEST_ID
from ibisrack.platform.reading_connection import CallerRequest, ReadingConnection
from ibisrack.routing.model import Limits

# What is read ahead of a connection: bytes that the system holds, and bytes that the library has
# parsed.  The system doubles its value and holds about as much as is stated here.
RECEIVE_BUFFER_BYTES = 32 * 1024
READ_BUFFER_BYTES = 2 * 1024  # The library stops reading at twice this size.
# Bytes that arrive after the socket is closed reset the connection, and the caller may then lose
# the last response.  They are read and dropped for this long.
LINGER_S = 1.0
LINGER_BYTES = 4 * 1024 * 1024  # Of a request that was refused before its end.


@attrs.define(eq=False)
class RefusedRest:
    """The rest of a request that was refused.

    Attributes:
      content: Body of the request.
      due_bytes: Number of its bytes that are still to come, None if that is not known.
      dropped_bytes: Number of bytes that came since the refusal.
    """

    content: StreamReader
    due_bytes: int | None
    dropped_bytes: int = 0

    def drop(self, size: int) -> bool:
        """Drops bytes; returns False if the connection is to be closed."""
        self.dropped_bytes += size
        is_whole = self.due_bytes is not None and self.dropped_bytes >= self.due_bytes
        if is_whole and not self.content.is_eof():
            self.content.feed_eof()
        return self.dropped_bytes <= LINGER_BYTES


class CallerConnection(ReadingConnection):
    """A connection from a caller to a CallerServer, which decides whether a request may run early.

    The tasks of the requests that run before their turn are cancelled when the connection ends.

    Attributes:
      holding: Holding of the connection in the account of memory, None before it is admitted.
    """

    __slots__ = ("_is_lingering", "_refused", "holding")

    def __init__(self, manager: web.Server, limits: Limits, **options: Any) -> None:
        super().__init__(
            manager, limits, lingering_time=LINGER_S, read_bufsize=READ_BUFFER_BYTES, **options
        )
        self.holding: Holding | None = None
        self._refused: RefusedRest | None = None
        self._is_lingering = False

    @property
    def is_serving(self) -> bool:
        """Whether a request has arrived whose response is not complete."""
        is_answering = self.pipeline.oldest is not None and not self._is_lingering
        return is_answering or bool(self._messages)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bounds what the system holds; closes the connection if there are too many."""
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        super().connection_made(transport)
        self.holding = self._manager.connection_limit.admit(self.close_if_idle, read_monotonic_s())
        if self.holding is None:
            self.force_close()

    def close_if_idle(self) -> bool:
        """Closes the connection unless it has a request or a response, and returns whether."""
        if self.transport is None or self.is_serving or self.transport.get_write_buffer_size():
            return False
        self.force_close()
        return True

    def refuse_rest(self, content: StreamReader, length: int | None) -> None:
        """Drops what still arrives of a request that was refused.

        Args:
          content: Body of the request.
          length: Its announced length, None without one.
        """
        if content.is_eof():
            return
        due_bytes = None if length is None else length - content.total_bytes
        self._refused = RefusedRest(content, due_bytes)
        self._parser = None  # It holds what it has not parsed.
        unread_bytes, self._unread = len(self._unread), b""
        self._drop_refused(unread_bytes)
        if self._buffer_paused:
            self._resume_reading_for_buffer()

    def data_received(self, data: bytes) -> None:
        """Reads requests; drops the rest of one that was refused."""
        if self._refused is not None:
            self._drop_refused(len(data))
            return
        if self.holding is not None:
            self.holding.mark_progress(read_monotonic_s())
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels everything that runs before its turn, and releases what the connection holds."""
        if self.holding is not None:
            self.holding.release()
        if self.pipeline.oldest is not None and self.pipeline.oldest.task is not None:
            self.pipeline.oldest.task.cancel()  # Its turn may not have awaited it yet.
        self._cancel_queued()
        super().connection_lost(exc)

    def begin_turn(self, message: Any, payload: StreamReader) -> None:
        """Makes the next request the oldest one; the one behind it may start then."""
        super().begin_turn(message, payload)
        if self.pipeline.queue:
            self.launch_next()

    def request_received(self) -> None:
        """Starts the request before its turn if it may be."""
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

    async def early_response(self, request: CallerRequest) -> web.Response | None:
        """Returns the response to the oldest request, which was launched before its turn.

        Returns:
          The response, or None if the request has waited for its turn all the same.
        """
        turn_at_s = read_monotonic_s()
        response = await request.task
        if response is not None:
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
        if closes and self.has_data_behind:
            await self._linger()
        self.end_turn()
        return result

    def _drop_refused(self, size: int) -> None:
        if not self._refused.drop(size):
            self.force_close()

    async def _run_early(self, request: CallerRequest) -> web.Response | None:
        task = asyncio.current_task()
        http_request = web.BaseRequest(
            request.message, request.payload, self, None, task, self._loop
        )
        response = await self._manager.respond(http_request, request)
        self.launch_next()  # Its response may be smaller than expected.
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
        self.read_on()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()
            await asyncio.sleep(LINGER_S)  # The end of the connection cancels this task.
