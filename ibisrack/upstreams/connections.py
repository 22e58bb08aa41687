"""Pools of HTTP connections to one receiver each: the local upstream or another node.

A pool hands out connections that are certain to carry no unfinished answer.  It uses the connection
protocol of the aiohttp client without its session: a session sends GET requests a second time when
a kept connection breaks, which would run a non-idempotent call twice.
"""

import asyncio
from collections import deque

import attrs
from aiohttp.client_proto import ResponseHandler

from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError
from ibisrack.upstreams.sizing import PoolSizing

CONNECT_TIMEOUT_S = 1.0


class Connection(ResponseHandler):
    """A connection that remembers how it ended.

    The library takes any end of a connection for the end of an answer without a length.

    Attributes:
      broke: Whether it ended with an error, such as a reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.failed = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Notes how the connection ended; called by the event loop."""
        self.failed = exc is not None
        super().connection_lost(exc)


def is_reusable(connection: ResponseHandler) -> bool:
    """Tells whether a connection is open and carries no unfinished or surplus answer."""
    return connection.is_connected() and not connection.should_close


@attrs.define(eq=False)
class ConnectionPool:
    """Connections to one receiver.

    Attributes:
      host: IP number of the receiver.
      port: TCP port of the receiver.
      sizing: Decides how many connections to open.
    """

    host: str
    port: int
    sizing: PoolSizing
    _idle: list[ResponseHandler] = attrs.field(factory=list)
    _waiting: deque[asyncio.Future] = attrs.field(factory=deque)
    _opening: set[asyncio.Task] = attrs.field(factory=set)
    _closed: bool = False

    def take_idle(self) -> ResponseHandler | None:
        """Takes the idle connection that was used last, None when there is none."""
        while self._idle:
            connection = self._idle.pop()
            self.sizing.idle -= 1
            if is_reusable(connection):
                self.sizing.busy += 1
                return connection
            connection.abort()
        return None

    async def acquire(self) -> ResponseHandler:
        """Takes an idle connection or waits for one.

        Raises:
          NotRunError: The receiver could not be reached.
        """
        connection = self.take_idle()
        if connection is not None:
            return connection
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        self._open_more()
        try:
            return await future
        except asyncio.CancelledError:
            self._give_up(future)
            raise

    def release(self, connection: ResponseHandler) -> None:
        """Takes a connection back; one with an unfinished answer is aborted."""
        self.sizing.busy -= 1
        if self._closed or not is_reusable(connection):
            connection.abort()
        else:
            self._offer(connection)
        self._trim()
        self._open_more()

    def discard(self, connection: ResponseHandler) -> None:
        """Aborts a connection that must not be used again."""
        connection.abort()
        self.release(connection)

    def resize(self, limit: int, warm: int) -> None:
        """Takes new sizes; connections with calls are closed when their calls end."""
        self.sizing.limit = limit
        self.sizing.warm = min(warm, limit)
        self._trim()

    def keep_warm(self) -> None:
        """Drops idle connections that the receiver closed and opens up to the warm size."""
        usable = [connection for connection in self._idle if is_reusable(connection)]
        self.sizing.idle = len(usable)
        self._idle = usable
        self._open_more()

    def close(self) -> None:
        """Closes the idle connections; others follow when their calls end."""
        self._closed = True
        for task in self._opening:
            task.cancel()
        while self._idle:
            self._idle.pop().close()
        self.sizing.idle = 0

    def _offer(self, connection: ResponseHandler) -> None:
        """Hands a connection to the call that has waited longest, or keeps it idle."""
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                self.sizing.busy += 1
                future.set_result(connection)
                self.sizing.waiting = len(self._waiting)
                return
        self.sizing.waiting = 0
        self._idle.append(connection)
        self.sizing.idle += 1

    def _open_more(self) -> None:
        self.sizing.waiting = len(self._waiting)
        if self._closed:
            return
        for _ in range(self.sizing.connections_to_open()):
            self.sizing.opening += 1
            task = asyncio.get_running_loop().create_task(self._open_one())
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _open_one(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(loop), self.host, self.port
                )
        except OSError:  # TimeoutError is one of them.
            self.sizing.opening -= 1
            self._refuse_waiting()
            return
        except asyncio.CancelledError:
            self.sizing.opening -= 1
            raise
        self.sizing.opening -= 1
        self._offer(connection)
        self._open_more()

    def _refuse_waiting(self) -> None:
        """Tells every waiting call that the receiver cannot be reached."""
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_exception(NotRunError(Reason.UPSTREAM_UNREACHABLE))
        self.sizing.waiting = 0

    def _give_up(self, future: asyncio.Future) -> None:
        """Leaves the queue; a connection that was granted in the same moment is kept."""
        if future in self._waiting:
            self._waiting.remove(future)
            self.sizing.waiting = len(self._waiting)
        elif future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result())

    def _trim(self) -> None:
        for _ in range(self.sizing.surplus()):
            self._idle.pop(0).close()
            self.sizing.idle -= 1


@attrs.define
class PeerPools:
    """One pool for each node that calls are forwarded to.

    Attributes:
      limit: Most connections to one node.
    """

    limit: int
    _pools: dict[tuple[str, int], ConnectionPool] = attrs.field(factory=dict)

    def at(self, host: str, port: int) -> ConnectionPool:
        """Returns the pool of a node."""
        pool = self._pools.get((host, port))
        if pool is None:
            pool = ConnectionPool(host, port, PoolSizing(self.limit))
            self._pools[(host, port)] = pool
        return pool

    def close(self) -> None:
        """Closes all pools."""
        for pool in self._pools.values():
            pool.close()
