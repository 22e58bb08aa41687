"""HTTP servers for callers on this host and for the platform's readiness check."""

import logging
from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage

from ibisrack.calls.messages import Answer
from ibisrack.calls.relay import forwardable_headers
from ibisrack.clocks import read_monotonic_s
from ibisrack.decimals import parse_count
from ibisrack.dispatch.replies import Failure, NoRoute, Refusal, Reply
from ibisrack.dispatch.request import Request
from ibisrack.errors import RequestError
from ibisrack.memory.connections import ConnectionLimit
from ibisrack.pipelining.recorder import PipeliningRecorder
from ibisrack.pipelining.state import MIN_EXPECTED_ANSWER_BYTES, Stage
from ibisrack.platform.caller_connection import CallerConnection
from ibisrack.platform.headers import DEADLINE_MS, REQUEST_ID, RETRY_AFTER, SET_BY_NODES, as_latin1
from ibisrack.platform.reading_connection import CallerRequest
from ibisrack.platform.request_bodies import read_held_body
from ibisrack.platform.responses import HeldResponse
from ibisrack.routing.model import MAX_TIME_S, Limits

READY_PATH = "/-/readyz"
DEFAULT_DEADLINE_MS = 3_600_000  # Without the header, only the route's timeout applies.
MAX_DEADLINE_MS = int(MAX_TIME_S * 1000)

_LOGGER = logging.getLogger("ibisrack.sidecar")

ServeRequest = Callable[[Request], Awaitable[Reply]]


class CallerServer(web.Server):
    """Serves callers, with one task per connection and one per pipelined request.

    Attributes:
      serve: Routes a request and returns its reply.
      limits: Returns the limits of the configuration in force.
      caller_service: Returns the name of the service on this host.
      is_instance: Returns whether the host from which a connection comes is the instance.
      is_leaving: Returns whether the node is shutting down; each connection is then closed after
        the responses to the requests that have been passed on.
      may_repeat: Returns whether the requests for a host and a path may run more than once.
      pipelining: Counts and logs requests that run before their turn.
      connection_limit: Admits connections; its account also counts the bodies of requests.
    """

    def __init__(
        self,
        serve: ServeRequest,
        connection_limit: ConnectionLimit,
        limits: Callable[[], Limits],
        caller_service: Callable[[], str],
        is_instance: Callable[[str | None], bool],
        is_leaving: Callable[[], bool],
        may_repeat: Callable[[str, str], bool],
        pipelining: PipeliningRecorder,
    ) -> None:
        super().__init__(self._handle, handler_cancellation=True)
        self.serve = serve
        self.connection_limit = connection_limit
        self.limits = limits
        self.caller_service = caller_service
        self.is_instance = is_instance
        self.is_leaving = is_leaving
        self.may_repeat = may_repeat
        self.pipelining = pipelining

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

    def _make_request(
        self, message: Any, payload: StreamReader, protocol: CallerConnection, *args: Any
    ) -> web.BaseRequest:
        protocol.begin_turn(message, payload)
        return super()._make_request(message, payload, protocol, *args)

    async def _handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        connection, response = http_request.protocol, None
        queued = connection.pipeline.oldest
        if queued.task is not None:
            response = await connection.early_response(queued)
        if response is None:
            response = await self.respond(http_request, queued)
        if self.is_leaving() and not connection.pipeline.next_has_started:
            response.force_close()
        return response

    def may_launch(self, request: CallerRequest) -> bool:
        """Returns whether a request, all before which have started, may start before its turn.

        A body for which the caller waits to be asked is read in its turn, and a request that is not
        valid is answered in its turn.
        """
        headers = request.message.headers
        if self.is_leaving() or "Expect" in headers:
            return False
        try:
            _check_head(request.message, self.limits())
        except RequestError:
            return False
        path = request.message.path.partition("?")[0]
        return self.may_repeat(headers.get("Host", ""), path)

    async def respond(
        self, http_request: web.BaseRequest, queued: CallerRequest
    ) -> web.Response | None:
        """Runs a request; returns None if it must wait for its turn."""
        connection = http_request.protocol
        try:
            request = queued.request or await self._read_request(http_request, queued.received_at_s)
        except RequestError as error:
            if queued is connection.pipeline.oldest:
                connection.refuse_rest(http_request.content, http_request.content_length)
            if error.retry_after_s is not None:
                self._log_refused(http_request)
            return _error_response(error)
        # The configuration may have changed since the request was launched.
        may_repeat = self.may_repeat(request.host, request.path)
        if queued is not connection.pipeline.oldest:
            if not may_repeat:
                queued.stage, queued.request = Stage.WAITING, request
                return None
            self.pipelining.early_starts += 1
        queued.start(may_repeat)
        if connection.pipeline.queue:
            connection.launch_next()
        try:
            response = to_response(await self.serve(request))
        finally:
            if request.holding is not None:
                request.holding.release()
        response.headers.setdefault(REQUEST_ID, request.request_id)
        answer_bytes = len(response.body or b"")
        if queued.task is not None or answer_bytes > MIN_EXPECTED_ANSWER_BYTES:
            connection.pipeline.record_answer(queued, answer_bytes, read_monotonic_s())
        return response

    def _log_refused(self, http_request: web.BaseRequest) -> None:
        account = self.connection_limit.account
        extra = {
            "request_id": http_request.headers.get(REQUEST_ID, ""),
            "bytes": http_request.content_length,
            "held": {str(kind): size for kind, size in account.held_by_kind.items()},
            "limit": account.limit_bytes,
        }
        _LOGGER.info("body refused", extra=extra)

    async def _read_request(self, http_request: web.BaseRequest, received_at_s: float) -> Request:
        """Reads a request with its whole body.

        Raises:
          RequestError: The request is malformed.
        """
        headers, limits = http_request.headers, self.limits()
        _check_head(http_request._message, limits)
        body, holding = await read_held_body(
            http_request, limits.max_body_bytes, self.connection_limit.account
        )
        forwarded_headers = tuple(
            as_latin1(forwardable_headers(headers), without=SET_BY_NODES).items()
        )
        return Request(
            request_id=headers[REQUEST_ID],
            method=http_request.method,
            host=headers.get("Host", ""),
            target=http_request._message.path,  # As sent: the public accessors normalise it.
            headers=forwarded_headers,
            body=body,
            caller_service=self.caller_service(),
            received_at_s=received_at_s,
            deadline_at_s=received_at_s + _parse_deadline_ms(headers.get(DEADLINE_MS)) / 1000,
            holding=holding,
            is_nested=self.is_instance(http_request.remote),
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
    return HeldResponse(reply)


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


def _error_response(error: RequestError) -> web.Response:
    """Returns the response to a request that was refused before it was read completely."""
    response = web.Response(status=error.status, text=f"{error}\n")
    if error.retry_after_s is not None:
        response.headers[RETRY_AFTER] = f"{error.retry_after_s:.3f}"
    response.force_close()
    return response


def _check_head(message: RawRequestMessage, limits: Limits) -> None:
    """Checks the head of a request.

    Raises:
      RequestError: The head is too large, or lacks what is needed to pass the request on.
    """
    headers, target = message.headers, message.path
    request_id, host = headers.get(REQUEST_ID, ""), headers.get("Host", "")
    if not request_id or not target.isascii() or not target.startswith("/"):
        raise RequestError(f"a request needs {REQUEST_ID} and a path")
    # Other bytes are no text that links and requests to instances hold.
    if not (request_id.isascii() and host.isascii()):
        raise RequestError(f"{REQUEST_ID} and Host must be ASCII")
    if _head_bytes(message) > limits.max_header_bytes:
        raise RequestError(f"the head is larger than {limits.max_header_bytes} bytes", 431)


def _head_bytes(message: RawRequestMessage) -> int:
    """Returns the size of the target and the headers in bytes, without separators."""
    return len(message.path) + sum(len(name) + len(value) for name, value in message.raw_headers)


def _parse_deadline_ms(text: str | None) -> int:
    if text is None:
        return DEFAULT_DEADLINE_MS
    deadline_ms = parse_count(text)
    if deadline_ms is None:
        raise RequestError(f"{DEADLINE_MS} must be a whole number")
    return min(deadline_ms, MAX_DEADLINE_MS)
