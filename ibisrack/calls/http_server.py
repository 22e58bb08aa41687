"""The options of the HTTP server for calls."""

from aiohttp import web

from ibisrack.calls.server import CallServer


def http_server(calls: CallServer) -> web.Server:
    """Returns the server for the call port.

    Bodies stay as they came: their Content-Encoding header is passed on with them.
    """
    return web.Server(
        calls.handle, access_log=None, handler_cancellation=True, auto_decompress=False
    )
