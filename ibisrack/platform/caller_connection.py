"""A caller's connection: runs pipelined requests before their turns, and ends them with itself."""

import asyncio
from typing import Any

from aiohttp import StreamReader, web

from ibisrack.clocks import read_monotonic_s
from ibisrack.pipelining.state import Stage
from ibisrack.platform.headers import REQUEST_ID
from ibisrack.platform.reading_connection import CallerRequest, ReadingConnection
from ibisrack.routing.model import Limits

# Bytes that arrive after the socket is closed reset the connection, and the caller may then lose
# the last response.  They are read and dropped for this long.
LINGER_S = 1.0


class CallerConnection(ReadingConnection):
    """A connection from a caller to a CallerServer, which decides whether a request may run early.

    The tasks of the requests that run before their turn are cancelled when the connection ends.
    """

    __slots__ = ("_is_lingering",)

    def __init__(self, manager: web.Server, limits: Limits, **options: Any) -> None:
        super().__init__(manager, limits, **options)
        self._is_lingering = False

    @property
    def is_serving(self) -> bool:
        """Whether a request has arrived whose response is not complete."""
        is_answering = self.pipeline.oldest is not None and not self._is_lingering
        return is_answering or bool(self._messages)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels everything that runs before its turn."""
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
