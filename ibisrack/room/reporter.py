"""The task that reports a node's status and, on a collector, exchanges zone summaries."""

import asyncio

import attrs

from ibisrack.clocks import read_clocks, read_monotonic_s
from ibisrack.exchange.channels import ChannelCache
from ibisrack.exchange.exchanger import Exchanger, try_exchange
from ibisrack.membership.election import elect_collectors
from ibisrack.membership.records import MemberRecord
from ibisrack.room.partners import own_collectors, partners
from ibisrack.room.status import ReportSchedule, status_report

CHECK_INTERVAL_S = 0.5
STEPS_PER_SUMMARY_EXCHANGE = 12  # A collector exchanges summaries about every 6 s.
MIN_AGE_DIFFERENCE_S = 6.0  # Bounds how often the summary of a zone is sent to the same collector.


@attrs.define
class Reporter:
    """Sends the reports and summaries of one node.

    Attributes:
      exchanger: Exchanges messages with peers.
      schedule: Decides when a report is due.
    """

    exchanger: Exchanger
    schedule: ReportSchedule
    _report_channels: ChannelCache = attrs.field(factory=ChannelCache)
    _partner_channels: ChannelCache = attrs.field(factory=ChannelCache)

    async def run(self) -> None:
        """Sends reports and summaries until cancelled."""
        node = self.exchanger.node
        step = 0
        while True:
            await asyncio.sleep(node.rng.uniform(0.8, 1.2) * CHECK_INTERVAL_S)
            step += 1
            await self._report()
            if self._is_collector():
                self._summarize()
                if step % STEPS_PER_SUMMARY_EXCHANGE == 0:
                    await self._exchange_summaries()

    def _is_collector(self) -> bool:
        members = self.exchanger.node.members
        own = members.own()
        return own in elect_collectors(own.zone, members.all())

    async def _report(self) -> None:
        node = self.exchanger.node
        collectors = {
            m.peer_address: m for m in own_collectors(node.members.own(), node.members.all())
        }
        await self._report_channels.close_others(collectors)
        due = self.schedule.due(node, tuple(collectors), read_monotonic_s())
        if due:
            results = await asyncio.gather(*(self._send(address) for address in due))
            if not all(results):
                self.schedule.schedule_retry(read_monotonic_s())

    async def _send(self, address: str) -> bool:
        node = self.exchanger.node
        channel = self._report_channels.get(address)
        timeout_s = node.settings.exchange.timeout_s
        opening = (status_report(node, read_clocks()),)
        return await try_exchange(self.exchanger, channel, timeout_s, opening) is not None

    def _summarize(self) -> None:
        node, now = self.exchanger.node, read_clocks()
        node.room.store_report(status_report(node, now), now.monotonic_s)
        node.room.summarize(node.members.own(), node.members.all(), now.monotonic_s)

    async def _exchange_summaries(self) -> None:
        node = self.exchanger.node
        chosen: tuple[MemberRecord, ...] = partners(node.members.own(), node.members.all())
        await self._partner_channels.close_others({m.peer_address for m in chosen})
        if not chosen:
            return
        channel = self._partner_channels.get(node.rng.choice(chosen).peer_address)
        opening = (node.room.summaries_request(read_monotonic_s(), MIN_AGE_DIFFERENCE_S),)
        await try_exchange(self.exchanger, channel, node.settings.exchange.timeout_s, opening)
