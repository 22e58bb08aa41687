"""Loopback proxy between sidecars, and between sidecars and the store, that impairs connections.

In the soak, a sidecar dials the IP number of a peer's host and its own links port.  The proxy
listens there, and the peer's process accepts links on another loopback address with the same port.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from ibisrack.links.frames import LINK_ERRORS, read_message, write_message
from ibisrack.standins.resets import reset

STORE = 0  # The store's number among the ends of paths; sidecars are numbered from 1.
CHUNK_BYTES = 64 * 1024
CLOSE_TIMEOUT_S = 1.0

Ends = tuple[int, int]


@attrs.define(eq=False)
class Path:
    """One direction between two ends, shared by their connections.

    Attributes:
      delay_s: Additional time in transit.
      blocks: Number of faults that hold back the traffic.
      changed: Set at the next change of blocks, which replaces it by a new event.
    """

    delay_s: float = 0.0
    blocks: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def block(self, change: int) -> None:
        """Adds to the number of faults that hold back the traffic."""
        self.blocks += change
        self.changed.set()
        self.changed = asyncio.Event()

    async def pass_through(self) -> None:
        """Waits for as long as something that is sent now is in transit."""
        sent_at_s = time.monotonic()
        while True:
            remaining_s = sent_at_s + self.delay_s - time.monotonic()
            if self.blocks:
                await self.changed.wait()
            elif remaining_s > 0:
                await asyncio.sleep(remaining_s)
            else:
                return


@attrs.define(eq=False)
class Network:
    """All paths and the open connections on them.

    Attributes:
      numbers: Number of each sidecar by the host in its Hello.
    """

    numbers: dict[str, int]
    _paths: dict[Ends, Path] = attrs.field(factory=dict)
    _writers: dict[Ends, set[asyncio.StreamWriter]] = attrs.field(factory=dict)
    _relays: set[asyncio.Task] = attrs.field(factory=set)

    def path(self, source: int, target: int) -> Path:
        """Returns the path from one end to another."""
        return self._paths.setdefault((source, target), Path())

    def reset(self, ends: Ends) -> None:
        """Resets the open connections from one end to another on both sides."""
        for writer in tuple(self._writers.get(ends, ())):
            reset(writer.transport)

    async def close(self) -> None:
        """Opens all paths and resets all connections."""
        for path in self._paths.values():
            path.delay_s = 0.0
            path.block(-path.blocks)
        for ends in self._writers:
            self.reset(ends)
        if self._relays:
            await asyncio.wait(self._relays, timeout=CLOSE_TIMEOUT_S)

    @asynccontextmanager
    async def relayed_links(
        self, target: int, host: str, address: tuple[str, int]
    ) -> AsyncIterator[None]:
        """Relays links that peers open to a sidecar's host to the address of its process."""

        async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                hello = await read_message(reader)  # Names the sidecar that dials.
            except LINK_ERRORS:
                writer.transport.abort()
                return
            ends = (self.numbers[hello.host], target)
            await self._relay(ends, address, reader, writer, lambda w: write_message(w, hello))

        async with await asyncio.start_server(relay, host, address[1]):
            yield

    @asynccontextmanager
    async def relayed(
        self, ends: Ends, host: str, port: int, address: tuple[str, int]
    ) -> AsyncIterator[int]:
        """Relays connections to a host and port to an address; yields the port.

        Port 0 picks a free one.
        """

        async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay(ends, address, reader, writer, lambda w: None)

        async with await asyncio.start_server(relay, host, port) as server:
            yield server.sockets[0].getsockname()[1]

    async def _relay(
        self,
        ends: Ends,
        address: tuple[str, int],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        begin: Callable[[asyncio.StreamWriter], None],
    ) -> None:
        """Connects to the target, begins the connection and relays it until it ends."""
        forth, back = self.path(*ends), self.path(*reversed(ends))
        open_writers = self._writers.setdefault(ends, set())
        open_writers.add(writer)
        self._relays.add(asyncio.current_task())
        try:
            await forth.pass_through()
            target_reader, target_writer = await asyncio.open_connection(*address)
            open_writers.add(target_writer)
            begin(target_writer)
            await asyncio.gather(
                _pump(forth, reader, target_writer), _pump(back, target_reader, writer)
            )
            open_writers.discard(target_writer)
        except OSError:  # The target refuses connections.
            await back.pass_through()
            reset(writer.transport)
        finally:
            open_writers.discard(writer)
            self._relays.discard(asyncio.current_task())


async def _pump(path: Path, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copies one direction of a connection, and its end, with the path's impairments."""
    try:
        while data := await reader.read(CHUNK_BYTES):
            await path.pass_through()
            writer.write(data)
            await writer.drain()
    except OSError:
        await path.pass_through()
        reset(writer.transport)
    else:
        await path.pass_through()
        writer.close()


@attrs.define(eq=False)
class TcpProxy:
    """Proxy of one address, for tests that cut its connections.

    Attributes:
      port: TCP port of the proxy.
    """

    port: int
    _network: Network
    _ends: Ends = (1, 2)

    def fall_silent(self) -> None:
        """Stops forwarding; both sides keep their connections."""
        self._block(1)

    def cut(self) -> None:
        """Resets all connections and accepts new ones without forwarding them."""
        self._block(1)
        self._network.reset(self._ends)

    def reset(self) -> None:
        """Resets all connections and forwards new ones."""
        self._network.reset(self._ends)

    def resume(self) -> None:
        """Forwards again."""
        self._block(-1)

    def delay_pieces(self, delay_s: float) -> None:
        """Delays each piece of up to CHUNK_BYTES, one after the other."""
        for ends in (self._ends, self._ends[::-1]):
            self._network.path(*ends).delay_s = delay_s

    def _block(self, change: int) -> None:
        for ends in (self._ends, self._ends[::-1]):
            self._network.path(*ends).block(change)


@asynccontextmanager
async def run_proxy(host: str, target_port: int) -> AsyncIterator[TcpProxy]:
    """Runs a proxy that forwards at first.

    Args:
      host: IP number of the target, on which the proxy listens too.
      target_port: TCP port of the target.
    """
    network = Network({})
    async with network.relayed((1, 2), host, 0, (host, target_port)) as port:
        try:
            yield TcpProxy(port, network)
        finally:
            await network.close()
