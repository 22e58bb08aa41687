"""Channels to a few peers, kept open between exchanges."""

from collections.abc import Collection

import attrs

from ibisrack.exchange.carrier import Channel, open_channel


@attrs.define
class ChannelCache:
    """Owner of the channels of one task."""

    _channels: dict[str, Channel] = attrs.field(factory=dict)

    def get(self, address: str) -> Channel:
        """Returns the channel to an address, IP:PORT."""
        if address not in self._channels:
            self._channels[address] = open_channel(address)
        return self._channels[address]

    async def keep(self, addresses: Collection[str]) -> None:
        """Closes the channels to all other addresses."""
        for address in [a for a in self._channels if a not in addresses]:
            await self._channels.pop(address).close()
