"""Pools of HTTP connections, each to one server: the local upstream or another node.

A pool never hands out a connection with an unfinished answer.  It uses the connection protocol of
the aiohttp client without its session, because a session repeats GET requests when a kept-alive
connection breaks, which would run a non-idempotent call twice.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError
from ibisrack.upstreams.connection import Connection
from ibisrack.upstreams.sizing import PoolSizing

CONNECT_TIMEOUT_S = 1.0


def is_reusable(connection: Connection) -> bool:
    """Returns whether a connection is open, with no unfinished or unexpected answer."""
    return connection.is_connected() and not connection.should_close


@attrs.define(eq=False)
class ConnectionPool:
    """Pool of connections to one server.

    Attributes:
      host: IP number of the server.
      port: TCP port of the server.
      sizing: Decides how many connections to open.
      on_all_closed: Called when no connection is open any more, so that the next one may lead to
        another process than before.
    """

    host: str
    port: int
    sizing: PoolSizing
    on_all_closed: Callable[[], None] = attrs.field(default=lambda: None)
    _idle: list[Connection] = attrs.field(factory=list)
    _waiters: deque[asyncio.Future] = attrs.field(factory=deque)
    _opening: set[asyncio.Task] = attrs.field(factory=set)
    _has_opened: bool = False
    _closed: bool = False

    def take_idle(self) -> Connection | None:
        """Returns the most recently used idle connection, None if there is none."""
        while self._idle:
            connection = self._idle.pop()
            self.sizing.idle -= 1
            if is_reusable(connection):
                self.sizing.busy += 1
                return connection
            connection.abort()
        return None

    async def acquire(self) -> Connection:
        """Returns an idle connection or waits for one.

        Raises:
          NotRunError: The server could not be reached.
        """
        connection = self.take_idle()
        if connection is not None:
            return connection
        if self._has_opened and not self.sizing.total:
            self.on_all_closed()
        future = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        self._open_needed()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon_wait(future)
            raise

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool; aborts one with an unfinished answer."""
        self.sizing.busy -= 1
        if self._closed or not is_reusable(connection):
            connection.abort()
        else:
            self._assign(connection)
        self._close_surplus()
        self._open_needed()

    def discard(self, connection: Connection) -> None:
        """Aborts a connection that must not be used again."""
        connection.abort()
        self.release(connection)

    def resize(self, limit: int, warm: int) -> None:
        """Applies new sizes; busy connections over the limit are closed when their calls end."""
        self.sizing.limit = limit
        self.sizing.warm = min(warm, limit)
        self._close_surplus()

    def keep_warm(self) -> None:
        """Drops idle connections that the server closed and opens new ones up to the warm size."""
        usable = [connection for connection in self._idle if is_reusable(connection)]
        self.sizing.idle = len(usable)
        self._idle = usable
        self._open_needed()

    def close(self) -> None:
        """Closes the idle connections; busy ones are closed when their calls end."""
        self._closed = True
        for task in self._opening:
            task.cancel()
        while self._idle:
            self._idle.pop().close()
        self.sizing.idle = 0

    def _assign(self, connection: Connection) -> None:
        """Assigns a connection to the longest-waiting call, or keeps it idle."""
        while self._waiters:
            future = self._waiters.popleft()
            if not future.done():
                self.sizing.busy += 1
                future.set_result(connection)
                self.sizing.waiting = len(self._waiters)
                return
        self.sizing.waiting = 0
        connection.mark_idle()
        self._idle.append(connection)
        self.sizing.idle += 1

    def _open_needed(self) -> None:
        self.sizing.waiting = len(self._waiters)
        if self._closed:
            return
        for _ in range(self.sizing.connections_to_open()):
            self.sizing.opening += 1
            task = asyncio.get_running_loop().create_task(self._open_connection())
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _open_connection(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(loop), self.host, self.port
                )
        except OSError:  # Includes TimeoutError.
            self.sizing.opening -= 1
            self._fail_waiters()
            return
        except asyncio.CancelledError:
            self.sizing.opening -= 1
            raise
        self.sizing.opening -= 1
        self._has_opened = True
        self._assign(connection)
        self._open_needed()

    def _fail_waiters(self) -> None:
        """Fails every waiting call because the server cannot be reached."""
        while self._waiters:
            future = self._waiters.popleft()
            if not future.done():
                future.set_exception(NotRunError(Reason.UPSTREAM_UNREACHABLE))
        self.sizing.waiting = 0

    def _abandon_wait(self, future: asyncio.Future) -> None:
        """Leaves the queue; a connection that was already assigned returns to the pool."""
        if future in self._waiters:
            self._waiters.remove(future)
            self.sizing.waiting = len(self._waiters)
        elif future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result())

    def _close_surplus(self) -> None:
        for _ in range(self.sizing.surplus()):
            self._idle.pop(0).close()
            self.sizing.idle -= 1


@attrs.define
class PeerPools:
    """Connection pools for the nodes that calls are forwarded to, one pool for each node.

    Attributes:
      limit: Maximum number of connections to one node.
    """

    limit: int
    _pools: dict[tuple[str, int], ConnectionPool] = attrs.field(factory=dict)

    def at(self, host: str, port: int) -> ConnectionPool:
        """Returns the pool for a node; creates it on first use."""
        pool = self._pools.get((host, port))
        if pool is None:
            pool = ConnectionPool(host, port, PoolSizing(self.limit))
            self._pools[(host, port)] = pool
        return pool

    def close(self) -> None:
        """Closes all pools."""
        for pool in self._pools.values():
            pool.close()
