"""Connections of callers: the aiohttp server with typed answers to malformed requests."""

from http import HTTPStatus

from aiohttp import web

from ibisrack.calls.headers import OUTCOME, REASON
from ibisrack.calls.http_connection import HttpConnection
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.calls.server import CallServer

MAX_LINE_BYTES = 8190  # Of the request line and of one header.
MAX_HEADERS = 128


class CallConnection(HttpConnection):
    """One connection of a caller or of another node."""

    __slots__ = ()

    def malformed_request_response(self, status: int) -> web.Response:
        """Returns the answer to a request that could not be parsed; it did not run."""
        return web.Response(
            status=HTTPStatus.BAD_REQUEST,
            text=f"{Outcome.NOT_RUN.value}: the request is not valid HTTP\n",
            headers={OUTCOME: Outcome.NOT_RUN.value, REASON: Reason.BAD_REQUEST.value},
        )

    def internal_error_response(self, response: web.StreamResponse) -> web.StreamResponse:
        """Completes the answer to a request of unknown outcome."""
        response.headers[OUTCOME] = Outcome.UNKNOWN.value
        return response


class CallConnections(web.Server):
    """Creates a CallConnection for each accepted connection."""

    def __init__(self, calls: CallServer) -> None:
        super().__init__(calls.handle, handler_cancellation=True)

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection.

        Bodies are passed on as they came, so they are not decompressed.
        """
        return CallConnection(
            self,
            loop=self._loop,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
        )
