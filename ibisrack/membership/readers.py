"""Election of the nodes of a zone that read the platform.

Every node computes the election from its own member table.  Views that differ give one reader too
many or too few for a moment, which does no harm; no lock is taken.
"""

from collections.abc import Iterable

from ibisrack.membership.links import weight
from ibisrack.membership.records import Liveness, MemberRecord

READERS_PER_ZONE = 2


def elect(zone: str, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the readers of a zone, the highest weight first."""
    eligible = [
        m for m in members if m.zone == zone and m.liveness is Liveness.ALIVE and not m.leaving
    ]
    eligible.sort(key=lambda member: weight(zone, member.node_id), reverse=True)
    return tuple(eligible[:READERS_PER_ZONE])
