"""Proxies that pass on what a machine sends and receives at the bandwidth of its link."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from review.common.fleet import Machine

CHUNK_BYTES = 16 * 1024
BYTES_PER_S_PER_MBPS = 125_000


@attrs.define(eq=False)
class SlowLink:
    """Link of a machine, one bandwidth for each direction.

    Attributes:
      machine: The machine; its process accepts links on another address.
    """

    machine: "Machine"
    _locks: tuple[asyncio.Lock, asyncio.Lock] = attrs.field(
        factory=lambda: (asyncio.Lock(), asyncio.Lock())
    )

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relays one connection of a peer."""
        address = self.machine.accepts_links_on, self.machine.ports.inbound
        try:
            target_reader, target_writer = await asyncio.open_connection(*address)
        except OSError:  # Nothing listens there.
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, target_writer, self._locks[0]),
            self._pump(target_reader, writer, self._locks[1]),
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: asyncio.Lock
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                async with link:
                    rate = self.machine.link_mbps * BYTES_PER_S_PER_MBPS
                    await asyncio.sleep(len(data) / rate)
                writer.write(data)
                await writer.drain()
        writer.close()


@asynccontextmanager
async def slow_links(machines: list["Machine"]) -> AsyncIterator[None]:
    """Serves the links of machines, whose processes must not run yet."""
    async with AsyncExitStack() as stack:
        for machine in machines:
            relay = SlowLink(machine).relay
            server = await asyncio.start_server(relay, machine.host, machine.ports.inbound)
            await stack.enter_async_context(server)
        yield
