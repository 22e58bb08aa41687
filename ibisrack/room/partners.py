"""Chooses the collectors that a node reports to and exchanges summaries with.

Partners are at fixed offsets in a ring of all collectors, so every collector is chosen by as many
others as it chooses.  A choice by weight gave some collectors twice the mean number of partners and
put them over their limit for control traffic.
"""

from collections.abc import Iterable

from ibisrack.membership.election import elect_collectors
from ibisrack.membership.overlay import rendezvous_weight
from ibisrack.membership.records import MemberRecord

PARTNER_OFFSETS = (1, 2, 5)  # In a ring of 24 collectors every other one is at most six hops away.


def own_collectors(own: MemberRecord, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the collectors of the node's own zone, without the node itself."""
    return tuple(m for m in elect_collectors(own.zone, members) if m.node_id != own.node_id)


def partners(own: MemberRecord, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Returns the collectors of other zones that a collector exchanges summaries with."""
    everyone = list(members)
    zones = sorted({m.zone for m in everyone})
    ring = [m for zone in zones for m in elect_collectors(zone, everyone)]
    ring.sort(key=lambda member: rendezvous_weight("summaries", member.node_id))
    if own not in ring:
        return ()
    position = ring.index(own)
    chosen = [ring[(position + offset) % len(ring)] for offset in PARTNER_OFFSETS]
    return tuple(m for m in dict.fromkeys(chosen) if m.zone != own.zone)
