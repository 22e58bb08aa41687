"""Server side of call connections; malformed requests are answered with an outcome and reason."""

from http import HTTPStatus

from aiohttp import web

from ibisrack.calls.headers import OUTCOME, REASON
from ibisrack.calls.http_connection import HttpConnection
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.calls.server import CallServer

MAX_LINE_BYTES = 8190  # Limit of the request line and of each header.
MAX_HEADERS = 128


class CallConnection(HttpConnection):
    """A connection from a caller or another node."""

    __slots__ = ()

    def malformed_request_response(self, status: int) -> web.Response:
        """Returns the answer to a request that could not be parsed and therefore did not run."""
        return web.Response(
            status=HTTPStatus.BAD_REQUEST,
            text=f"{Outcome.NOT_RUN.value}: the request is not valid HTTP\n",
            headers={OUTCOME: Outcome.NOT_RUN.value, REASON: Reason.BAD_REQUEST.value},
        )

    def internal_error_response(self, response: web.StreamResponse) -> web.StreamResponse:
        """Adds the outcome unknown to the answer after an internal error."""
        response.headers[OUTCOME] = Outcome.UNKNOWN.value
        return response


class CallConnections(web.Server):
    """Creates a CallConnection for each accepted connection."""

    def __init__(self, calls: CallServer) -> None:
        super().__init__(calls.handle, handler_cancellation=True)

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection.

        Bodies are forwarded unchanged, so they are not decompressed.
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
