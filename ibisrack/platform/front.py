"""The HTTP front end for callers on this machine, and the readiness check of the platform."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatch
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from ibisrack.calls.http_connection import HttpConnection
from ibisrack.calls.messages import Answer
from ibisrack.calls.relay import forwardable_headers
from ibisrack.clocks import read_clocks
from ibisrack.dispatch.replies import Failure, NoRoute, Refusal, Reply
from ibisrack.dispatch.request import Request
from ibisrack.errors import RequestError
from ibisrack.platform.headers import DEADLINE_MS, REQUEST_ID, RETRY_AFTER, SET_BY_NODES, plain
from ibisrack.routing.model import Limits

READY_PATH = "/-/readyz"
NO_DEADLINE_MS = 3_600_000  # A caller that names no deadline is bound by the route's timeout.
MAX_HEADERS = 256

Serve = Callable[[Request], Awaitable[Reply]]


class CallerConnection(HttpConnection):
    """One connection of a caller.

    Attributes:
      limits: Bounds of the time and size of a request's head, as they were when it was opened.
    """

    __slots__ = ("_head_bytes", "_head_timer", "limits")

    def __init__(self, manager: web.Server, limits: Limits, **options: Any) -> None:
        super().__init__(
            manager,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            max_headers=MAX_HEADERS,
            **options,
        )
        self.limits = limits
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def is_serving(self) -> bool:
        """Whether a request has come that is not answered in full."""
        return self._current_request is not None or bool(self._messages)

    def data_received(self, data: bytes) -> None:
        """Takes bytes; a head that is too long, or not whole in time, ends the connection."""
        super().data_received(data)
        if self._waiter is None or self._waiter.done():  # A whole head came, or part of a body.
            self._end_head()
            return
        self._head_bytes += len(data)
        if self._head_bytes > self.limits.max_header_bytes:
            self._refuse_head(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self.limits.header_timeout_s, self._refuse_head, HTTPStatus.REQUEST_TIMEOUT
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the connection."""
        self._end_head()
        super().connection_lost(exc)

    def _end_head(self) -> None:
        self._head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_head(self, status: HTTPStatus) -> None:
        self._end_head()
        if self.transport is not None:
            head = f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: 0\r\n"
            self.transport.write(f"{head}Connection: close\r\n\r\n".encode())
        self.force_close()


class CallerServer(web.Server):
    """Serves callers: one task for each connection.

    Attributes:
      limits: Returns the limits of the configuration in force.
      serve: Serves a request.
      caller_service: Returns the service on this machine.
      is_leaving: Returns whether connections should end with their next answer.
    """

    def __init__(
        self,
        serve: Serve,
        limits: Callable[[], Limits],
        caller_service: Callable[[], str],
        is_leaving: Callable[[], bool],
    ) -> None:
        super().__init__(self._handle, handler_cancellation=True)
        self.serve = serve
        self.limits = limits
        self.caller_service = caller_service
        self.is_leaving = is_leaving

    @property
    def is_serving(self) -> bool:
        """Whether a connection has a request that is not answered in full."""
        return any(connection.is_serving for connection in self.connections)

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return CallerConnection(self, self.limits(), loop=self._loop)

    async def _handle(self, message: web.BaseRequest) -> web.StreamResponse:
        received_at_s = read_clocks().monotonic_s
        try:
            request = await self._request(message, received_at_s)
        except RequestError as error:
            response = web.Response(status=error.status, text=f"{error}\n")
            response.force_close()
            return response
        response = respond(await self.serve(request))
        response.headers.setdefault(REQUEST_ID, request.request_id)
        if self.is_leaving():
            response.force_close()
        return response

    async def _request(self, message: web.BaseRequest, received_at_s: float) -> Request:
        """Reads a request.

        Raises:
          RequestError: The request is malformed.
        """
        headers = message.headers
        target = message._message.path  # The bytes as sent: every accessor normalises them.
        request_id = headers.get(REQUEST_ID, "")
        if not request_id or not target.isascii() or not target.startswith("/"):
            raise RequestError(f"a request needs {REQUEST_ID} and a path")
        limits = self.limits()
        if _head_bytes(message) > limits.max_header_bytes:
            raise RequestError(f"the head is larger than {limits.max_header_bytes} bytes", 431)
        body = await _read_body(message, limits.max_body_bytes)
        forwarded = tuple(plain(forwardable_headers(headers), without=SET_BY_NODES).items())
        return Request(
            request_id=request_id,
            method=message.method,
            host=headers.get("Host", ""),
            target=target,
            headers=forwarded,
            body=body,
            caller_service=self.caller_service(),
            received_at_s=received_at_s,
            deadline_at_s=received_at_s + _deadline_ms(headers.get(DEADLINE_MS)) / 1000,
        )


class ReadyServer(web.Server):
    """Answers the platform's readiness check."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__(self._handle, access_log=None)
        self._is_ready = is_ready

    async def _handle(self, message: web.BaseRequest) -> web.StreamResponse:
        if message.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)


@singledispatch
def respond(verdict: object) -> web.Response:
    """Returns the HTTP response of a verdict."""
    raise TypeError(f"unknown verdict {type(verdict).__name__}")


@respond.register
def _(verdict: Answer) -> web.Response:
    return web.Response(status=verdict.status, headers=verdict.headers, body=verdict.body)


@respond.register
def _(verdict: Refusal) -> web.Response:
    headers = {RETRY_AFTER: f"{verdict.retry_after_s:.3f}"}
    return web.Response(status=503, headers=headers, text=f"not run: {verdict.reason}\n")


@respond.register
def _(verdict: NoRoute) -> web.Response:
    return web.Response(status=404, text="no route\n")


@respond.register
def _(verdict: Failure) -> web.Response:
    return web.Response(status=504 if verdict.late else 502, text=f"unknown: {verdict.reason}\n")


def _head_bytes(message: web.BaseRequest) -> int:
    """Returns the size of a request's head, without what separates its parts."""
    fields = message._message.raw_headers
    return len(message._message.path) + sum(len(name) + len(value) for name, value in fields)


def _deadline_ms(text: str | None) -> int:
    if text is None:
        return NO_DEADLINE_MS
    if not text.isascii() or not text.isdigit() or len(text) > 10:
        raise RequestError(f"{DEADLINE_MS} must be a whole number")
    return int(text)


async def _read_body(message: web.BaseRequest, limit_bytes: int) -> bytes:
    if not message.can_read_body:
        return b""
    if (message.content_length or 0) > limit_bytes:
        raise RequestError(f"the body is larger than {limit_bytes} bytes", 413)
    if message.headers.get("Expect", "").lower() == "100-continue":
        message.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    parts: list[bytes] = []
    size = 0
    try:
        while part := await message.content.readany():
            parts.append(part)
            size += len(part)
            if size > limit_bytes:
                raise RequestError(f"the body is larger than {limit_bytes} bytes", 413)
    except RequestPayloadError as error:
        raise RequestError("the body is not valid HTTP") from error
    return b"".join(parts)
