"""Which readers a node reports to and exchanges summaries with."""

from collections.abc import Iterable

from ibisrack.membership.links import weight
from ibisrack.membership.readers import elect
from ibisrack.membership.records import MemberRecord

PARTNERS = 3  # Pairs of 24 readers with three partners each are connected in two or three steps.


def own_readers(own: MemberRecord, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the other readers of the own zone."""
    return tuple(m for m in elect(own.zone, members) if m.node_id != own.node_id)


def partners(own: MemberRecord, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the readers of other zones that a reader exchanges summaries with."""
    known = list(members)
    zones = {m.zone for m in known} - {own.zone}
    readers = [m for zone in zones for m in elect(zone, known)]
    readers.sort(key=lambda member: weight(own.node_id, member.node_id))
    return tuple(readers[:PARTNERS])
