"""Which collectors a node reports to and exchanges summaries with.

Partners are neighbours in a ring of all collectors, so every collector is the partner of as many
others as it has itself.  Choice by weight gave some collectors twice the mean and put them over
their bytes.
"""

from collections.abc import Iterable

from ibisrack.membership.election import elect_collectors
from ibisrack.membership.overlay import rendezvous_weight
from ibisrack.membership.records import MemberRecord

PARTNER_OFFSETS = (1, 2, 5)  # In a ring of 24 collectors, any other is at most six steps away.


def own_collectors(own: MemberRecord, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the other collectors of the own zone."""
    return tuple(m for m in elect_collectors(own.zone, members) if m.node_id != own.node_id)


def partners(own: MemberRecord, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the collectors of other zones that a collector exchanges summaries with."""
    known = list(members)
    zones = sorted({m.zone for m in known})
    ring = [m for zone in zones for m in elect_collectors(zone, known)]
    ring.sort(key=lambda member: rendezvous_weight("summaries", member.node_id))
    if own not in ring:
        return ()
    place = ring.index(own)
    chosen = [ring[(place + offset) % len(ring)] for offset in PARTNER_OFFSETS]
    return tuple(m for m in dict.fromkeys(chosen) if m.zone != own.zone)
