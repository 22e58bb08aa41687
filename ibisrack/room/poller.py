"""Reads the fleet for all screens together.

One poller asks one node for GET /fleet in each round, falls over to the next one, and keeps the
answer in memory.  Silent nodes are asked directly, at most MAX_PROBES in a round.  The cost for the
fleet depends on these bounds, not on the number of nodes or screens.
"""

import asyncio

import attrs

from ibisrack.admin.client import AdminClient, AdminError, AdminFailure
from ibisrack.admin.messages import DEAD, Member, RulesText, Status
from ibisrack.clocks import read_clocks
from ibisrack.errors import RulesError
from ibisrack.room.assemble import Known, assemble
from ibisrack.room.fleet import FleetView
from ibisrack.room.freshest import freshest
from ibisrack.room.stragglers import ASLEEP, CUT_OFF
from ibisrack.room.view import ScreenView
from ibisrack.rules.ruleset import check

MAX_PROBES = 10
MEMBERS_INTERVAL_S = 30.0  # The member table of 1,300 nodes has about 300 KB of JSON.
SILENT_INTERVAL_S = 5.0  # While nodes are silent: whether they are leaving is news of seconds.
MAX_FALLBACK_ADDRESSES = 5


@attrs.define
class Poller:
    """Keeps what screens show fresh.

    Attributes:
      client: Asks the nodes.
      addresses: Admin addresses to ask; other members follow when none of them answers.
      interval_s: Time between two rounds.
      stale_s: Age from which a zone is shown as out of date.
      known: What was read.
    """

    client: AdminClient
    addresses: tuple[str, ...]
    interval_s: float = 2.0
    stale_s: float = 15.0
    known: Known = Known()
    _fleet_at_s: float = 0.0
    _members: tuple[Member, ...] = ()
    _members_at_s: float | None = None
    _source: str = ""

    def view(self) -> ScreenView:
        """Returns the view with its ages as of now."""
        age_s = read_clocks().monotonic_s - self._fleet_at_s
        return assemble(attrs.evolve(self.known, fleet_age_s=age_s), self.stale_s)

    async def run(self) -> None:
        """Reads round after round until cancelled."""
        while True:
            ends_s = read_clocks().monotonic_s + self.interval_s
            await self.read_round()
            await asyncio.sleep(max(0.0, ends_s - read_clocks().monotonic_s))

    async def read_round(self) -> None:
        """Reads the fleet view, the rules when they changed, the members, and probes nodes."""
        if not await self._read_fleet():
            return
        await self._read_rules()
        await self._read_members()
        await self._probe()

    def _candidates(self) -> list[str]:
        """Returns the addresses to ask, the one that answered last first.

        When its answer was out of date, the next one goes first: the two may be on different sides
        of a partition, and the freshest answer for each zone is kept.
        """
        alive = [m.admin_address for m in self._members if m.liveness != DEAD]
        found = list(dict.fromkeys((*self.addresses, *alive[:MAX_FALLBACK_ADDRESSES])))
        if self._source not in found:
            return found
        first = found.index(self._source) + any(zone.stale for zone in self.view().zones)
        return found[first:] + found[:first]

    async def _read_fleet(self) -> bool:
        error: AdminError | None = None
        for address in self._candidates():
            try:
                fleet = await self.client.get(address, "/fleet", FleetView)
            except AdminError as caught:
                error = caught
                continue
            now_s = read_clocks().monotonic_s
            fleet = freshest(self.known.fleet, now_s - self._fleet_at_s, fleet)
            self._source, self._fleet_at_s = address, now_s
            self.known = attrs.evolve(self.known, fleet=fleet, error="")
            return True
        self.known = attrs.evolve(self.known, error=str(error))
        return False

    async def _read_rules(self) -> None:
        accepted = self.known.fleet.accepted
        if accepted is None or accepted.revision == self.known.rules_revision:
            return
        try:
            text = await self.client.get(self._source, "/rules", RulesText)
            rules = check(text.content.encode(), "rules")
        except (AdminError, RulesError):
            return  # The view names the revision of the rules that it shows.
        self.known = attrs.evolve(self.known, rules=rules, rules_revision=text.revision)

    async def _read_members(self) -> None:
        now_s = read_clocks().monotonic_s
        interval_s = SILENT_INTERVAL_S if self._silent() else MEMBERS_INTERVAL_S
        if self._members_at_s is not None and now_s - self._members_at_s < interval_s:
            return
        try:
            self._members = await self.client.get(self._source, "/members", tuple[Member, ...])
        except AdminError:
            return  # Only fallback addresses and probes depend on it.
        self._members_at_s = now_s
        leaving = frozenset(m.node_id for m in self._members if m.leaving)
        self.known = attrs.evolve(self.known, leaving=leaving)

    def _silent(self) -> set[str]:
        """Returns the listed nodes that do not answer their peers."""
        listed = [node for zone in self.known.fleet.zones for node in zone.stragglers]
        return {node.node_id for node in listed if node.cause in (ASLEEP, CUT_OFF)}

    async def _probe(self) -> None:
        """Asks silent nodes directly, as this process may see more of the cause."""
        silent = self._silent() - self.known.leaving
        found = [m for m in self._members if m.node_id in silent][:MAX_PROBES]
        results = await asyncio.gather(*(self._probe_one(member) for member in found))
        probes = {member.node_id: r for member, r in zip(found, results, strict=True)}
        self.known = attrs.evolve(self.known, probes=probes)

    async def _probe_one(self, member: Member) -> AdminFailure | None:
        try:
            await self.client.get(member.admin_address, "/status", Status)
        except AdminError as error:
            return error.failure
        return None
