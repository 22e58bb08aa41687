"""HTTP servers for callers on this host and for the platform's readiness check."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatch
from http import HTTPStatus
from typing import Any

from aiohttp import web

from ibisrack.bodies import read_request_body
from ibisrack.calls.http_connection import HttpConnection
from ibisrack.calls.messages import Answer
from ibisrack.calls.relay import forwardable_headers
from ibisrack.clocks import read_monotonic_s
from ibisrack.decimals import parse_count
from ibisrack.dispatch.replies import Failure, NoRoute, Refusal, Reply
from ibisrack.dispatch.request import Request
from ibisrack.errors import RequestError
from ibisrack.platform.headers import DEADLINE_MS, REQUEST_ID, RETRY_AFTER, SET_BY_NODES, as_latin1
from ibisrack.routing.model import MAX_TIME_S, Limits

READY_PATH = "/-/readyz"
DEFAULT_DEADLINE_MS = 3_600_000  # Without the header, only the route's timeout applies.
MAX_DEADLINE_MS = int(MAX_TIME_S * 1000)
MAX_HEADER_FIELDS = 256

ServeRequest = Callable[[Request], Awaitable[Reply]]


class CallerConnection(HttpConnection):
    """A connection from a caller, with limits on the size and duration of a request head.

    Attributes:
      limits: The limits in force when the connection was opened.
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
            max_headers=MAX_HEADER_FIELDS,
            **options,
        )
        self.limits = limits
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def is_serving(self) -> bool:
        """Whether a request has arrived whose response is not complete."""
        return self._request_in_progress or bool(self._messages)

    def data_received(self, data: bytes) -> None:
        """Parses data; closes the connection if a head is too large or not complete in time."""
        super().data_received(data)
        if self._waiter is None or self._waiter.done():  # A complete head, or part of a body.
            self._reset_head()
            return
        self._head_bytes += len(data)
        if self._head_bytes > self.limits.max_header_bytes:
            self._reject_head(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self.limits.header_timeout_s, self._reject_head, HTTPStatus.REQUEST_TIMEOUT
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timeout of the request head."""
        self._reset_head()
        super().connection_lost(exc)

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


class CallerServer(web.Server):
    """Serves callers, with one task per connection.

    Attributes:
      limits: Returns the limits of the configuration in force.
      serve: Routes a request and returns its reply.
      caller_service: Returns the name of the service on this host.
      is_leaving: Returns whether the node is shutting down; each connection is then closed after
        its next response.
    """

    def __init__(
        self,
        serve: ServeRequest,
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
    def serving_connections(self) -> int:
        """Number of connections that have a request whose response is not complete."""
        return sum(
            connection.is_serving or transport.get_write_buffer_size() > 0
            for connection, transport in self._connections.items()
        )

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol object of a new connection."""
        return CallerConnection(self, self.limits(), loop=self._loop)

    async def _handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        received_at_s = read_monotonic_s()
        try:
            request = await self._read_request(http_request, received_at_s)
        except RequestError as error:
            response = web.Response(status=error.status, text=f"{error}\n")
            response.force_close()
            return response
        response = to_response(await self.serve(request))
        response.headers.setdefault(REQUEST_ID, request.request_id)
        if self.is_leaving():
            response.force_close()
        return response

    async def _read_request(self, http_request: web.BaseRequest, received_at_s: float) -> Request:
        """Reads a request with its whole body.

        Raises:
          RequestError: The request is malformed.
        """
        headers = http_request.headers
        target = http_request._message.path  # As sent: the public accessors normalise it.
        request_id = headers.get(REQUEST_ID, "")
        if not request_id or not target.isascii() or not target.startswith("/"):
            raise RequestError(f"a request needs {REQUEST_ID} and a path")
        host = headers.get("Host", "")
        # Other bytes are no text that links and requests to instances hold.
        if not (request_id.isascii() and host.isascii()):
            raise RequestError(f"{REQUEST_ID} and Host must be ASCII")
        limits = self.limits()
        if _head_bytes(http_request) > limits.max_header_bytes:
            raise RequestError(f"the head is larger than {limits.max_header_bytes} bytes", 431)
        body = await read_request_body(http_request, limits.max_body_bytes)
        forwarded_headers = tuple(
            as_latin1(forwardable_headers(headers), without=SET_BY_NODES).items()
        )
        return Request(
            request_id=request_id,
            method=http_request.method,
            host=host,
            target=target,
            headers=forwarded_headers,
            body=body,
            caller_service=self.caller_service(),
            received_at_s=received_at_s,
            deadline_at_s=received_at_s + _parse_deadline_ms(headers.get(DEADLINE_MS)) / 1000,
        )


class ReadyServer(web.Server):
    """Serves the platform's readiness check."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__(self._handle, access_log=None)
        self._is_ready = is_ready

    async def _handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        if http_request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)


@singledispatch
def to_response(reply: object) -> web.Response:
    """Returns the HTTP response that conveys a reply to the caller."""
    raise TypeError(f"unknown reply {type(reply).__name__}")


@to_response.register
def _(reply: Answer) -> web.Response:
    return web.Response(status=reply.status, headers=reply.headers, body=reply.body)


@to_response.register
def _(reply: Refusal) -> web.Response:
    headers = {RETRY_AFTER: f"{reply.retry_after_s:.3f}"}
    return web.Response(status=503, headers=headers, text=f"not run: {reply.reason}\n")


@to_response.register
def _(reply: NoRoute) -> web.Response:
    return web.Response(status=404, text="no route\n")


@to_response.register
def _(reply: Failure) -> web.Response:
    return web.Response(status=504 if reply.late else 502, text=f"unknown: {reply.reason}\n")


def _head_bytes(http_request: web.BaseRequest) -> int:
    """Returns the size of the target and the headers in bytes, without separators."""
    fields = http_request._message.raw_headers
    return len(http_request._message.path) + sum(len(name) + len(value) for name, value in fields)


def _parse_deadline_ms(text: str | None) -> int:
    if text is None:
        return DEFAULT_DEADLINE_MS
    deadline_ms = parse_count(text)
    if deadline_ms is None:
        raise RequestError(f"{DEADLINE_MS} must be a whole number")
    return min(deadline_ms, MAX_DEADLINE_MS)
