"""TCP proxy for tests, which can stop forwarding like a network that drops all packets."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import attrs

READ_BYTES = 64 * 1024


@attrs.define(eq=False)
class TcpProxy:
    """Forwards connections to an address.

    Attributes:
      host: IP number of the target, on which the proxy listens too.
      target_port: TCP port of the target.
      port: TCP port of the proxy.
      flowing: Whether bytes, new connections and ends of connections are forwarded.
    """

    host: str
    target_port: int
    port: int = 0
    flowing: asyncio.Event = attrs.field(factory=asyncio.Event)
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def fall_silent(self) -> None:
        """Stops forwarding; both sides keep their connections."""
        self.flowing.clear()

    def cut(self) -> None:
        """Aborts all connections and accepts new ones without forwarding them."""
        self.flowing.clear()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one connection until either side ends it."""
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        # asyncio would report the cancellation of a connection's task as an error.
        with suppress(asyncio.CancelledError):
            await self.flowing.wait()
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.target_port
            )
            self._writers.add(target_writer)
            back = asyncio.create_task(self._forward(target_reader, writer))
            self._tasks.add(back)
            await self._forward(reader, target_writer)
        self._tasks.discard(asyncio.current_task())
        self._writers.discard(writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while part := await reader.read(READ_BYTES):
                await self.flowing.wait()
                writer.write(part)
        await self.flowing.wait()
        writer.transport.abort()
        self._writers.discard(writer)

    def close(self) -> None:
        """Ends all connections."""
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()


@asynccontextmanager
async def run_proxy(host: str, target_port: int) -> AsyncIterator[TcpProxy]:
    """Runs a proxy that forwards at first.

    Args:
      host: IP number of the target, on which the proxy listens too.
      target_port: TCP port of the target.
    """
    proxy = TcpProxy(host, target_port)
    proxy.flowing.set()
    server = await asyncio.start_server(proxy.serve, host, 0)
    proxy.port = server.sockets[0].getsockname()[1]
    try:
        yield proxy
    finally:
        server.close()
        proxy.close()
