"""A caller's HTTP connection on any interface: answers to requests that can't be read."""

from http import HTTPStatus

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong


class HttpConnection(web.RequestHandler):
    """One connection; subclasses say what an answer of their interface carries."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that could not be parsed, or that a programming error ended.

        Only the former certainly did not run.
        """
        if status != HTTPStatus.BAD_REQUEST:
            return self.internal_error_response(super().handle_error(request, status, exc, message))
        # The parser's message quotes the request; it is not repeated to the sender.
        too_long = isinstance(exc, LineTooLong)
        response = self.malformed_request_response(431 if too_long else status)
        response.force_close()
        return response

    def malformed_request_response(self, status: int) -> web.Response:
        """Returns the answer to a request that could not be parsed."""
        return web.Response(status=status, text="the request is not valid HTTP\n")

    def internal_error_response(self, response: web.StreamResponse) -> web.StreamResponse:
        """Completes the answer to a request that a programming error ended."""
        return response
