"""Pools of HTTP connections, each to one server: the local upstream or another node.

A pool never hands out a connection with an unfinished answer.  It uses the connection protocol of
the aiohttp client without its session, because a session repeats GET requests when a kept-alive
connection breaks, which would run a non-idempotent call twice.
"""

import asyncio
from collections import deque
from http import HTTPStatus
from typing import Any

import attrs
from aiohttp import ServerDisconnectedError, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import EMPTY_BODY_STATUS_CODES
from aiohttp.http import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD

from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError
from ibisrack.upstreams.sizing import PoolSizing

CONNECT_TIMEOUT_S = 1.0
# Answers of any status that a server may send for one request: interim ones, late ones to earlier
# requests, and the one that counts.  A server that sends more is taken to send them without end.
MAX_ANSWERS_PER_REQUEST = 32
# Heads and the framing of chunks may take this many bytes for one request, and as many again as the
# bodies have.  Only chunks of a few bytes need more, and each costs as much time as a large one.
MAX_FRAMING_BYTES = 64 * 1024
MAX_SEGMENT_BYTES = 16 * 1024  # Of a packet that may hold framing; the limits are checked after it.
READ_BUFFER_BYTES = 64 * 1024  # The library stops reading at twice this size for a connection.
_SEPARATOR = b"\r\n\r\n"  # Ends a head, and the last chunk of a body with its trailers.


class Connection(ResponseHandler):
    """Connection that keeps complete answers apart from the bytes that follow them.

    The library parses a packet as a whole and drops the complete answers in it if malformed bytes
    follow.  This class passes a packet on in segments, none of which extends over the end of a head
    or of a body, and closes the connection when there are too many answers.  The library also
    treats any end of a connection as the end of an answer without a length, so the class records
    how the connection ended.

    Attributes:
      failed: Whether the connection ended with an error, such as a reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.failed = False
        self._received = b""  # Unparsed bytes, after the last few parsed ones.
        self._parsed_bytes = 0  # Number of bytes at the start of _received that are parsed.
        self._overlap_bytes = 0  # Number of parsed bytes that may begin a separator.
        self._due_bytes = 0  # Rest of a body with a declared length.
        self._answers = 0  # Number of answers since the request was sent.
        self._parsed_since_request_bytes = 0
        self._content = EMPTY_PAYLOAD  # Body of the last answer.
        self._earlier_body_bytes = 0  # Length of the bodies before it, since the request was sent.
        self._idle = False

    def set_response_params(self, **options: Any) -> None:
        """Prepares for the answers to a request; called before the request is written."""
        self._answers = 0
        self._parsed_since_request_bytes = 0
        self._content = EMPTY_PAYLOAD
        self._earlier_body_bytes = 0
        self._idle = False
        super().set_response_params(**{"read_bufsize": READ_BUFFER_BYTES, **options})

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records how the connection ended; called by the event loop."""
        self.failed = exc is not None
        super().connection_lost(exc)

    def mark_idle(self) -> None:
        """Closes the connection if anything arrives before the next request."""
        self._idle = True

    def data_received(self, data: bytes) -> None:
        """Parses data; empty data continues after the reader of a body caught up."""
        if self._idle:
            self.fail()
            return
        if not data or self._parser is None:
            super().data_received(data)
        else:
            self._received += data
        while self._has_unparsed and not self._reading_paused and self._exception is None:
            segment = self._take_segment()
            self._parsed_since_request_bytes += len(segment)
            super().data_received(segment)
            if self._framing_bytes() > MAX_FRAMING_BYTES:
                self.fail()
        self._drop_parsed()

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Queues an answer whose head was parsed; called by the library."""
        self._due_bytes = 0 if self._skip_payload else declared_bytes(data[0])
        self._answers += 1
        self._earlier_body_bytes += self._content.total_bytes
        self._content = data[1]
        super().feed_data(data, size)
        is_protocol_switch = (
            data[0].code == HTTPStatus.SWITCHING_PROTOCOLS
        )  # No request asks for it.
        if self._answers >= MAX_ANSWERS_PER_REQUEST or is_protocol_switch:
            self.fail()

    def fail(self) -> None:
        """Closes the connection at once; its reader gets an error after what is queued."""
        self.set_exception(ServerDisconnectedError("closed because of its answers"))
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(self._exception)
        if self.transport is not None:
            self.transport.abort()

    def _framing_bytes(self) -> int:
        """Returns how much longer the answers to a request are than twice their bodies."""
        body_bytes = self._earlier_body_bytes + self._content.total_bytes
        return self._parsed_since_request_bytes - 2 * body_bytes

    @property
    def _has_unparsed(self) -> bool:
        return self._parsed_bytes < len(self._received)

    def _take_segment(self) -> bytes:
        """Returns the unparsed bytes up to the next possible end of a head or body."""
        start, end = self._parsed_bytes, len(self._received)
        self._overlap_bytes = 0
        if self._due_bytes:
            end = min(start + self._due_bytes, end)
            self._due_bytes -= end - start
        else:
            end = min(start + MAX_SEGMENT_BYTES, end)
            position = self._received.find(_SEPARATOR, max(0, start - len(_SEPARATOR) + 1), end)
            if position >= 0:
                end = position + len(_SEPARATOR)
            else:
                self._overlap_bytes = min(end, len(_SEPARATOR) - 1)
        self._parsed_bytes = end
        return self._received[start:end]

    def _drop_parsed(self) -> None:
        """Drops parsed bytes, except for those that may begin a separator."""
        dropped_bytes = self._parsed_bytes - self._overlap_bytes
        self._received = self._received[dropped_bytes:]
        self._parsed_bytes = self._overlap_bytes


def declared_bytes(message: RawResponseMessage) -> int:
    """Returns the declared length of an answer's body, 0 if there is none."""
    if message.chunked or message.code < 200 or message.code in EMPTY_BODY_STATUS_CODES:
        return 0
    return int(message.headers.get("Content-Length", 0))


def has_verifiable_end(message: RawResponseMessage, method: str) -> bool:
    """Returns whether a truncated answer can be told from a complete one.

    An answer without a length ends with its connection, as does an answer whose sender crashes.
    """
    if method == "HEAD" or message.code in EMPTY_BODY_STATUS_CODES:
        return True
    return message.chunked or "Content-Length" in message.headers


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
    """

    host: str
    port: int
    sizing: PoolSizing
    _idle: list[Connection] = attrs.field(factory=list)
    _waiters: deque[asyncio.Future] = attrs.field(factory=deque)
    _opening: set[asyncio.Task] = attrs.field(factory=set)
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
