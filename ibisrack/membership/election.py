"""Election of the nodes of a zone that read the platform and of those that collect status.

Different nodes take the two duties where a zone has enough of them, because each duty uses much of
the bytes that a node may spend on control traffic.

Every node computes the election from its own member table, without a lock.  Tables that differ
give one reader too many or too few for a moment, which does no harm.
"""

from collections.abc import Iterable

from ibisrack.membership.overlay import rendezvous_weight
from ibisrack.membership.records import Liveness, MemberRecord

READERS_PER_ZONE = 2
COLLECTORS_PER_ZONE = 2


def _eligible(zone: str, members: Iterable[MemberRecord]) -> list[MemberRecord]:
    """Returns the nodes of a zone that may take a duty, the highest weight first."""
    eligible = [
        m for m in members if m.zone == zone and m.liveness is Liveness.ALIVE and not m.leaving
    ]
    eligible.sort(key=lambda member: rendezvous_weight(zone, member.node_id), reverse=True)
    return eligible


def elect_readers(zone: str, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the readers of a zone, the highest weight first."""
    return tuple(_eligible(zone, members)[:READERS_PER_ZONE])


def elect_collectors(zone: str, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the collectors of a zone's status, the lowest weight first."""
    return tuple(_eligible(zone, members)[: -COLLECTORS_PER_ZONE - 1 : -1])
