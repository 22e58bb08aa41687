"""Derives leaving marks for member records from the platform's host list.

The list lags, may be stale and may lose entries, and a leaving mark cannot be taken back within a
generation.  A mark in the list is therefore applied at once.  The absence of a host counts only
for members that have been dead for a while, and only in a list that has at least half of the
members that are alive and not leaving.
"""

from collections.abc import Iterable

import attrs

from ibisrack.membership.dead_members import DeadMembers
from ibisrack.membership.records import Liveness, MemberRecord
from ibisrack.platform.messages import HostList, ListedHost

ABSENT_DEAD_TIMEOUT_S = 60.0  # Longer than the list takes to show a host that was just started.
MIN_LISTED_SHARE = 0.5  # A list with a smaller share of the alive members that stay is incomplete.


def _marked(member: MemberRecord, host: ListedHost) -> MemberRecord | None:
    """Returns a member's record marked as leaving, None if the list entry does not mark it.

    An entry of a later generation means that the member's host has been replaced.
    """
    if host.generation > member.generation:
        return attrs.evolve(member, leaving=True)
    if host.leaving and host.generation == member.generation:
        return attrs.evolve(member, leaving=True)
    return None


def _is_complete(listed: dict[str, ListedHost], members: Iterable[MemberRecord]) -> bool:
    alive = [m for m in members if m.liveness is Liveness.ALIVE and not m.leaving]
    known = sum(1 for m in alive if m.node_id in listed)
    return known >= MIN_LISTED_SHARE * len(alive)


@attrs.define
class HostListView:
    """The newest host list that this node has read.

    Attributes:
      latest: The list, None before the first read.
    """

    latest: HostList | None = None

    def accept(self, hosts: HostList) -> bool:
        """Stores a list unless it is older than the stored one; returns whether it was stored."""
        if self.latest is not None and hosts.revision < self.latest.revision:
            return False
        self.latest = hosts
        return True

    def newly_leaving(
        self, members: Iterable[MemberRecord], dead_members: DeadMembers, now_s: float
    ) -> tuple[MemberRecord, ...]:
        """Returns the records of members that have to be marked as leaving.

        Args:
          members: The records of the member table.
          dead_members: How long members have been dead.
          now_s: Monotonic time.
        """
        if self.latest is None:
            return ()
        listed = {host.node_id: host for host in self.latest.hosts}
        staying = [m for m in members if not m.leaving]
        marked = [_marked(m, listed[m.node_id]) for m in staying if m.node_id in listed]
        found = [record for record in marked if record is not None]
        if _is_complete(listed, staying):
            absent = (m for m in staying if m.node_id not in listed)
            found += [
                attrs.evolve(m, leaving=True)
                for m in absent
                if dead_members.dead_for_s(m.node_id, now_s) >= ABSENT_DEAD_TIMEOUT_S
            ]
        return tuple(found)
