"""Gives screens the fleet view at a bounded cost, however many of them ask."""

import asyncio

import attrs

from ibisrack.clocks import read_clocks
from ibisrack.exchange.channels import ChannelCache
from ibisrack.exchange.exchanger import Exchanger, try_exchange
from ibisrack.membership.election import elect_collectors
from ibisrack.room.fleet import FleetView, fleet_view
from ibisrack.room.partners import own_collectors

CACHE_S = 1.0
FRESHER_BY_S = 0.5


@attrs.define
class FleetSource:
    """Holds the view for a second; a node that is no collector asks the collector of its zone.

    Attributes:
      exchanger: Carries the exchanges.
    """

    exchanger: Exchanger
    _channels: ChannelCache = attrs.field(factory=ChannelCache)
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _view: FleetView | None = None
    _made_at_s: float = 0.0

    async def view(self) -> FleetView:
        """Returns the view, at most CACHE_S old at this node."""
        async with self._lock:
            if self._view is None or read_clocks().monotonic_s - self._made_at_s >= CACHE_S:
                await self._ask_collector()
                self._make()
        return self._view

    async def _ask_collector(self) -> None:
        """Asks the collectors of the zone in turn until one answers."""
        node = self.exchanger.node
        own = node.members.own()
        if own in elect_collectors(own.zone, node.members.all()):
            return
        collectors = [m.peer_address for m in own_collectors(own, node.members.all())]
        await self._channels.close_others(collectors)
        opening = (node.room.wanted(read_clocks().monotonic_s, FRESHER_BY_S),)
        for address in collectors:
            channel = self._channels.get(address)
            timeout_s = node.settings.exchange.timeout_s
            if await try_exchange(self.exchanger, channel, timeout_s, opening):
                return

    def _make(self) -> None:
        node, now_s = self.exchanger.node, read_clocks().monotonic_s
        members = node.members
        self._view = fleet_view(members.own_id, node.room, members.all(), now_s)
        self._made_at_s = now_s
