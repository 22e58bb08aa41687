"""Reads the fleet for all screens together.

One poller asks every listed node in turn, at most max_reads_per_s nodes a second, and keeps the
answers in memory.  The cost for the fleet depends on that bound, not on the number of screens.
"""

import asyncio
from collections.abc import Iterator

import attrs

from ibisrack.admin.client import AdminClient, AdminError
from ibisrack.admin.messages import DEAD, Member, Report, RulesText
from ibisrack.clocks import read_clocks
from ibisrack.errors import RulesError
from ibisrack.room.assemble import assemble
from ibisrack.room.readings import Readings
from ibisrack.room.view import FleetView
from ibisrack.rules.ruleset import check

PACE_S = 1.0
MAX_FALLBACK_ADDRESSES = 5


@attrs.define
class Poller:
    """Keeps readings fresh.

    Attributes:
      client: Asks the nodes.
      addresses: Admin addresses to ask for the list of nodes; other members follow as a fallback.
      max_reads_per_s: Bound on the reads of nodes.
      interval_s: Least time between two reads of a node.
      stale_s: Least age from which a node's answer is no longer counted as current.
      readings: What was read.
    """

    client: AdminClient
    addresses: tuple[str, ...]
    max_reads_per_s: int = 100
    interval_s: float = 2.0
    stale_s: float = 10.0
    readings: Readings = attrs.field(factory=Readings)

    def view(self) -> FleetView:
        """Returns the view of the present readings."""
        return assemble(self.readings, read_clocks().monotonic_s, self.stale_after_s())

    def stale_after_s(self) -> float:
        """Returns the age of stale answers; a round over a large fleet takes longer."""
        rounds_s = len(self.readings.members) / self.max_reads_per_s + self.interval_s
        return max(self.stale_s, 2 * rounds_s)

    async def run(self) -> None:
        """Reads round after round until cancelled."""
        while True:
            ends_s = read_clocks().monotonic_s + self.interval_s
            await self.read_round()
            await asyncio.sleep(max(0.0, ends_s - read_clocks().monotonic_s))

    async def read_round(self) -> None:
        """Reads the list of nodes, then every node once, then new rules."""
        await self._read_members()
        for batch in _batches(self.readings.members, self.max_reads_per_s):
            ends_s = read_clocks().monotonic_s + PACE_S
            await asyncio.gather(*(self._read_node(member) for member in batch))
            if len(batch) == self.max_reads_per_s:
                await asyncio.sleep(max(0.0, ends_s - read_clocks().monotonic_s))
        await self._read_rules()

    async def _read_members(self) -> None:
        alive = [m.admin_address for m in self.readings.members if m.liveness != DEAD]
        addresses = dict.fromkeys((*self.addresses, *alive[:MAX_FALLBACK_ADDRESSES]))
        try:
            members, source = await self.client.members(addresses)
        except AdminError as error:
            self.readings.source_error = error
            return
        self.readings.take_members(members, source, read_clocks().monotonic_s)

    async def _read_node(self, member: Member) -> None:
        answer: Report | AdminError
        try:
            answer = await self.client.get(member.admin_address, "/report", Report)
        except AdminError as error:
            answer = error
        self.readings.take_report(member.node_id, answer, read_clocks().monotonic_s)

    async def _read_rules(self) -> None:
        accepted, _ = self.readings.accepted()
        if accepted == self.readings.rules_revision:
            return
        address = next(self._holders(accepted), None)
        if address is None:
            return
        try:
            text = await self.client.get(address, "/rules", RulesText)
            self.readings.take_rules(check(text.content.encode(), "rules"), text.revision)
        except (AdminError, RulesError):
            return  # The view tells which rules it shows; the next round asks again.

    def _holders(self, revision: int) -> Iterator[str]:
        for member in self.readings.members:
            reading = self.readings.nodes.get(member.node_id)
            if reading and reading.error is None and reading.report:
                if reading.report.status.revision == revision:
                    yield member.admin_address


def _batches(members: tuple[Member, ...], size: int) -> Iterator[tuple[Member, ...]]:
    for start in range(0, len(members), size):
        yield members[start : start + size]
