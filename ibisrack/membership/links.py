"""Choice of the peers that a node exchanges with.

Rendezvous hashing gives every node the same links after a restart, so the peers that confirmed its
versions are those that it asks when it joins.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

from ibisrack.membership.records import Liveness, MemberRecord

ZONE_LINKS = 4
REGION_LINKS = 1
FAR_LINKS = 1


@lru_cache(maxsize=8192)
def weight(first: str, second: str) -> int:
    """Returns the rendezvous weight of a pair of names."""
    text = f"{first}|{second}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def _successor(own: MemberRecord, inside: list[MemberRecord]) -> list[MemberRecord]:
    """Returns the next node on the ring of the zone, ordered by hash.

    Without the ring about three of 1,300 nodes are nobody's link and hear news late.
    """

    def place(member: MemberRecord) -> tuple[int, str]:
        return (weight(own.zone, member.node_id), member.node_id)

    after = [m for m in inside if place(m) > place(own)]
    return [min(after or inside, key=place)] if inside else []


def choose_links(own: MemberRecord, members: Iterable[MemberRecord]) -> tuple[MemberRecord, ...]:
    """Chooses the links of a node: most in its zone, one in its region, one elsewhere.

    One of the links in the zone is the next node on the zone's ring; the others are chosen by
    rendezvous hashing.

    Args:
      own: The node's record.
      members: All known records.

    Returns:
      At most ZONE_LINKS + REGION_LINKS + FAR_LINKS records.  Classes that lack members are filled
      from the others.
    """
    others = [m for m in members if m.node_id != own.node_id and m.liveness is not Liveness.DEAD]
    others.sort(key=lambda member: weight(own.node_id, member.node_id))
    inside = [m for m in others if m.zone == own.zone]
    ring = _successor(own, inside)
    zone = ring + [m for m in inside if m not in ring][: ZONE_LINKS - len(ring)]
    region = [m for m in others if m.region == own.region and m.zone != own.zone]
    far = [m for m in others if m.region != own.region]
    chosen = zone + region[:REGION_LINKS] + far[:FAR_LINKS]
    spare = [m for m in others if m not in chosen]
    missing = ZONE_LINKS + REGION_LINKS + FAR_LINKS - len(chosen)
    # Links out of the zone come first among the spares: they carry versions into a zone that is
    # cut off from the platform.
    spare.sort(key=lambda member: member.zone == own.zone)
    return tuple(chosen + spare[:missing])
