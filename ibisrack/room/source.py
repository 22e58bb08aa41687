"""Provides the fleet view at a cost that does not depend on the number of screens."""

import asyncio

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.exchange.channels import ChannelCache
from ibisrack.exchange.exchanger import Exchanger, try_exchange
from ibisrack.membership.election import elect_collectors
from ibisrack.room.fleet import FleetView, fleet_view
from ibisrack.room.partners import own_collectors

VIEW_CACHE_S = 1.0
MIN_AGE_DIFFERENCE_S = 0.5


@attrs.define
class FleetSource:
    """Caches the fleet view; a node that is not a collector gets summaries from one of its zone.

    Attributes:
      exchanger: Exchanges messages with peers.
    """

    exchanger: Exchanger
    _channels: ChannelCache = attrs.field(factory=ChannelCache)
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _view: FleetView | None = None
    _built_at_s: float = 0.0

    async def view(self) -> FleetView:
        """Returns the view, built at most VIEW_CACHE_S ago."""
        async with self._lock:
            if self._view is None or read_monotonic_s() - self._built_at_s >= VIEW_CACHE_S:
                await self._refresh_summaries()
                self._build_view()
        return self._view

    async def _refresh_summaries(self) -> None:
        """Requests summaries from the collectors of the zone in turn until one answers."""
        node = self.exchanger.node
        own = node.members.own()
        if own in elect_collectors(own.zone, node.members.all()):
            return
        collectors = [m.peer_address for m in own_collectors(own, node.members.all())]
        await self._channels.close_others(collectors)
        opening = (node.room.summaries_request(read_monotonic_s(), MIN_AGE_DIFFERENCE_S),)
        for address in collectors:
            channel = self._channels.get(address)
            timeout_s = node.settings.exchange.timeout_s
            if await try_exchange(self.exchanger, channel, timeout_s, opening):
                return

    def _build_view(self) -> None:
        node, now_s = self.exchanger.node, read_monotonic_s()
        members = node.members
        self._view = fleet_view(members.own_id, node.room, members.all(), now_s)
        self._built_at_s = now_s
