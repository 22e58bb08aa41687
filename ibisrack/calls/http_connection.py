"""Base class of server-side HTTP connections, with answers to requests that cannot be parsed."""

from http import HTTPStatus

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong


class HttpConnection(web.RequestHandler):
    """A server-side connection; subclasses override the error responses of their interface."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that could not be parsed or whose handler failed.

        Only a request that could not be parsed certainly did not run.
        """
        if status != HTTPStatus.BAD_REQUEST:
            return self.internal_error_response(super().handle_error(request, status, exc, message))
        # The parser's message quotes the request and is not sent back.
        too_long = isinstance(exc, LineTooLong)
        response = self.malformed_request_response(431 if too_long else status)
        response.force_close()
        return response

    def malformed_request_response(self, status: int) -> web.Response:
        """Returns the answer to a request that could not be parsed."""
        return web.Response(status=status, text="the request is not valid HTTP\n")

    def internal_error_response(self, response: web.StreamResponse) -> web.StreamResponse:
        """Completes the answer to a request whose handler failed."""
        return response
