"""Election of the nodes of a zone that read the platform, and of those that collect status.

The duties go to different nodes where a zone has enough of them, because each takes a good part of
the bytes that a node may spend for control.

Every node computes the election from its own member table.  Views that differ give one reader too
many or too few for a moment, which does no harm; no lock is taken.
"""

from collections.abc import Iterable

from ibisrack.membership.links import weight
from ibisrack.membership.records import Liveness, MemberRecord

READERS_PER_ZONE = 2
COLLECTORS_PER_ZONE = 2


def _eligible(zone: str, members: Iterable[MemberRecord]) -> list[MemberRecord]:
    """Returns the nodes of a zone that may have a duty, the highest weight first."""
    eligible = [
        m for m in members if m.zone == zone and m.liveness is Liveness.ALIVE and not m.leaving
    ]
    eligible.sort(key=lambda member: weight(zone, member.node_id), reverse=True)
    return eligible


def elect(zone: str, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the readers of a zone, the highest weight first."""
    return tuple(_eligible(zone, members)[:READERS_PER_ZONE])


def elect_collectors(zone: str, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the collectors of a zone's status, the lowest weight first."""
    return tuple(_eligible(zone, members)[: -COLLECTORS_PER_ZONE - 1 : -1])
