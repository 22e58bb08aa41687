"""Connections of an HTTP client session, with limits on answers that have no end."""

from functools import partial
from typing import Any

from aiohttp import TCPConnector
from aiohttp.client_reqrep import ConnectionKey

from ibisrack.upstreams.connection import Connection


class BoundedConnector(TCPConnector):
    """Connector with the connections that requests to upstreams use.

    The library's own connections read interim answers without a limit until the timeout, and what
    arrives on an idle one is taken for the answer to the next request.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(Connection, loop=self._loop)

    def _release(
        self, key: ConnectionKey, protocol: Connection, *, should_close: bool = False
    ) -> None:
        """Takes a connection back after an answer; called by the library."""
        super()._release(key, protocol, should_close=should_close)
        protocol.mark_idle()
