"""Channels to a few peers, kept open between exchanges."""

from collections.abc import Collection
from contextlib import AsyncExitStack

import attrs

from ibisrack.exchange.carrier import Channel, open_channel


@attrs.frozen
class _Opened:
    """A channel with what closes it."""

    channel: Channel
    stack: AsyncExitStack


@attrs.define
class ChannelCache:
    """Owner of the channels of one task."""

    _opened: dict[str, _Opened] = attrs.field(factory=dict)

    async def get(self, address: str) -> Channel:
        """Returns the channel to an address, IP:PORT."""
        if address not in self._opened:
            stack = AsyncExitStack()
            channel = await stack.enter_async_context(open_channel(address))
            self._opened[address] = _Opened(channel, stack)
        return self._opened[address].channel

    async def keep(self, addresses: Collection[str]) -> None:
        """Closes the channels to all other addresses."""
        for address in [a for a in self._opened if a not in addresses]:
            await self._opened.pop(address).stack.aclose()
