"""Choice of a node's links: the peers with which it exchanges frames.

Rendezvous hashing gives every node the same links after a restart, so a node that joins queries
the peers that confirmed its versions before.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

from ibisrack.membership.records import Liveness, MemberRecord

SAME_ZONE_LINKS = 4
SAME_REGION_LINKS = 1
OTHER_REGION_LINKS = 1


@lru_cache(maxsize=8192)
def rendezvous_weight(first: str, second: str) -> int:
    """Returns the rendezvous weight of a pair of names."""
    text = f"{first}|{second}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def _successor(own: MemberRecord, same_zone: list[MemberRecord]) -> list[MemberRecord]:
    """Returns the next node on the zone's hash ring, empty if the zone has no other node.

    Without the ring about three of 1,300 nodes are no other node's link and get changes late.
    """

    def position(member: MemberRecord) -> tuple[int, str]:
        return (rendezvous_weight(own.zone, member.node_id), member.node_id)

    after = [m for m in same_zone if position(m) > position(own)]
    return [min(after or same_zone, key=position)] if same_zone else []


def choose_links(own: MemberRecord, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Chooses the links of a node: most in its zone, one in its region, one elsewhere.

    One of the links in the zone is the next node on the zone's hash ring; the others are chosen by
    rendezvous hashing.

    Args:
      own: The node's record.
      members: All known records.

    Returns:
      At most SAME_ZONE_LINKS + SAME_REGION_LINKS + OTHER_REGION_LINKS records.  Groups that lack
      members are filled from the others.
    """
    others = [m for m in members if m.node_id != own.node_id and m.liveness is not Liveness.DEAD]
    others.sort(key=lambda member: rendezvous_weight(own.node_id, member.node_id))
    same_zone = [m for m in others if m.zone == own.zone]
    ring = _successor(own, same_zone)
    zone = ring + [m for m in same_zone if m not in ring][: SAME_ZONE_LINKS - len(ring)]
    region = [m for m in others if m.region == own.region and m.zone != own.zone]
    far = [m for m in others if m.region != own.region]
    chosen = zone + region[:SAME_REGION_LINKS] + far[:OTHER_REGION_LINKS]
    spare = [m for m in others if m not in chosen]
    missing = SAME_ZONE_LINKS + SAME_REGION_LINKS + OTHER_REGION_LINKS - len(chosen)
    # Spare links out of the zone come first: they bring versions into a zone that is cut off from
    # the platform.
    spare.sort(key=lambda member: member.zone == own.zone)
    return tuple(chosen + spare[:missing])
