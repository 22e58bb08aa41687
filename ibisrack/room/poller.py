"""Polls the fleet on behalf of all screens.

In each round the poller sends GET /fleet to one node, fails over to the next one, and keeps the
answer in memory.  It probes silent nodes directly, at most MAX_PROBES in a round.  The cost for the
fleet depends on these bounds, not on the number of nodes or screens.
"""

import asyncio

import attrs

from ibisrack.admin.client import AdminClient, AdminError, AdminFailure
from ibisrack.admin.messages import DEAD, Member, RulesText, Status
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import RulesError
from ibisrack.room.fleet import FleetView
from ibisrack.room.merge import merge_answers
from ibisrack.room.screen_view import PolledState, screen_view
from ibisrack.room.stragglers import ASLEEP, CUT_OFF
from ibisrack.room.view import ScreenView
from ibisrack.rules.ruleset import parse_rule_set

MAX_PROBES = 10
MEMBERS_INTERVAL_S = 30.0  # The member table of 1,300 nodes has about 300 KB of JSON.
# Used while nodes are silent, so that their leaving marks are read within seconds.
MEMBERS_INTERVAL_WHILE_SILENT_S = 5.0
MAX_FALLBACK_ADDRESSES = 5


@attrs.define
class Poller:
    """Keeps the data that screens show up to date.

    Attributes:
      client: Client of the nodes' admin ports.
      addresses: Admin addresses to poll; other members are tried when none of them answers.
      interval_s: Time between two rounds.
      stale_s: Age above which a zone is shown as out of date.
      polled: The data read so far.
    """

    client: AdminClient
    addresses: tuple[str, ...]
    interval_s: float = 2.0
    stale_s: float = 15.0
    polled: PolledState = PolledState()
    _fleet_at_s: float = 0.0
    _members: tuple[Member, ...] = ()
    _members_at_s: float | None = None
    _source: str = ""

    def view(self) -> ScreenView:
        """Returns the view with its ages as of now."""
        age_s = read_monotonic_s() - self._fleet_at_s
        return screen_view(attrs.evolve(self.polled, fleet_age_s=age_s), self.stale_s)

    async def run(self) -> None:
        """Polls in rounds until cancelled."""
        while True:
            next_round_at_s = read_monotonic_s() + self.interval_s
            await self.read_round()
            await asyncio.sleep(max(0.0, next_round_at_s - read_monotonic_s()))

    async def read_round(self) -> None:
        """Reads the fleet view, changed rules and members, and probes silent nodes."""
        if not await self._read_fleet():
            return
        await self._read_rules()
        await self._read_members()
        await self._probe()

    def _candidates(self) -> list[str]:
        """Returns the addresses to try, starting with the one that answered last.

        When its answer was out of date, the next address goes first: the two nodes may be on
        different sides of a partition, and the freshest data of each zone is kept.
        """
        alive = [m.admin_address for m in self._members if m.liveness != DEAD]
        candidates = list(dict.fromkeys((*self.addresses, *alive[:MAX_FALLBACK_ADDRESSES])))
        if self._source not in candidates:
            return candidates
        first = candidates.index(self._source) + any(zone.stale for zone in self.view().zones)
        return candidates[first:] + candidates[:first]

    async def _read_fleet(self) -> bool:
        error: AdminError | None = None
        for address in self._candidates():
            try:
                fleet = await self.client.get(address, "/fleet", FleetView)
            except AdminError as caught:
                error = caught
                continue
            now_s = read_monotonic_s()
            fleet = merge_answers(self.polled.fleet, now_s - self._fleet_at_s, fleet)
            self._source, self._fleet_at_s = address, now_s
            self.polled = attrs.evolve(self.polled, fleet=fleet, error="")
            return True
        self.polled = attrs.evolve(self.polled, error=str(error))
        return False

    async def _read_rules(self) -> None:
        accepted = self.polled.fleet.accepted
        if accepted is None or accepted.revision == self.polled.rules_revision:
            return
        try:
            text = await self.client.get(self._source, "/rules", RulesText)
            rules = parse_rule_set(text.content.encode(), "rules")
        except (AdminError, RulesError):
            return  # The view states the revision of the rules that it shows.
        self.polled = attrs.evolve(self.polled, rules=rules, rules_revision=text.revision)

    async def _read_members(self) -> None:
        now_s = read_monotonic_s()
        interval_s = MEMBERS_INTERVAL_WHILE_SILENT_S if self._silent_nodes() else MEMBERS_INTERVAL_S
        if self._members_at_s is not None and now_s - self._members_at_s < interval_s:
            return
        try:
            self._members = await self.client.get(self._source, "/members", tuple[Member, ...])
        except AdminError:
            return  # Only fallback addresses, probes and leaving marks depend on it.
        self._members_at_s = now_s
        leaving = frozenset(m.node_id for m in self._members if m.leaving)
        self.polled = attrs.evolve(self.polled, leaving=leaving)

    def _silent_nodes(self) -> set[str]:
        """Returns the ids of the listed stragglers that are asleep or cut off."""
        listed = [node for zone in self.polled.fleet.zones for node in zone.stragglers]
        return {node.node_id for node in listed if node.cause in (ASLEEP, CUT_OFF)}

    async def _probe(self) -> None:
        """Probes silent nodes directly; the way in which a request fails refines the cause."""
        silent = self._silent_nodes() - self.polled.leaving
        targets = [m for m in self._members if m.node_id in silent][:MAX_PROBES]
        results = await asyncio.gather(*(self._probe_one(member) for member in targets))
        probes = {member.node_id: r for member, r in zip(targets, results, strict=True)}
        self.polled = attrs.evolve(self.polled, probes=probes)

    async def _probe_one(self, member: Member) -> AdminFailure | None:
        try:
            await self.client.get(member.admin_address, "/status", Status)
        except AdminError as error:
            return error.failure
        return None
