"""Connections of an HTTP client session, with limits on answers that have no end."""

from functools import partial
from typing import Any

from aiohttp import TCPConnector

from ibisrack.upstreams.connection import Connection


class BoundedConnector(TCPConnector):
    """Connector with the connections that requests to upstreams use.

    The library's own connections read interim answers without a limit until the timeout.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(Connection, loop=self._loop)
