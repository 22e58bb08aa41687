"""Cache of channels that stay open between exchanges."""

from collections.abc import Collection

import attrs

from ibisrack.exchange.http_transport import Channel, open_channel


@attrs.define
class ChannelCache:
    """The open channels of one task, by peer address."""

    _channels: dict[str, Channel] = attrs.field(factory=dict)

    def get(self, address: str) -> Channel:
        """Returns the channel to an address, IP:PORT; opens it if necessary."""
        if address not in self._channels:
            self._channels[address] = open_channel(address)
        return self._channels[address]

    async def close_others(self, addresses: Collection[str]) -> None:
        """Closes all channels except those to the given addresses."""
        for address in [a for a in self._channels if a not in addresses]:
            await self._channels.pop(address).close()
