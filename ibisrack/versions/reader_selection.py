"""Selects the first reader of each revision, to spread the traffic over all readers.

Every reader learns of a new revision.  If each of them also read the value, 170 KB 780 times a
day, this would cost a reader 1.5 KB/s.  Instead one reader, chosen per revision, reads it at once.
The others wait for the version to arrive from their peers and read it only if it does not.
"""

from collections.abc import Iterable
from random import Random

from ibisrack.membership.election import elect_readers
from ibisrack.membership.overlay import rendezvous_weight
from ibisrack.membership.records import MemberRecord

MIN_READ_DELAY_S = 1.0  # A version reaches all readers in less than this.
MAX_READ_DELAY_S = 2.0


def is_first_reader(own_id: str, members: Iterable[MemberRecord], revision: int) -> bool:
    """Returns whether a node is the first reader of a revision, which reads it at once.

    Nodes whose member tables differ may select different readers, or one that is dead.  No revision
    is missed, because the other readers read it after their delay.
    """
    known = list(members)
    readers = [m for zone in {m.zone for m in known} for m in elect_readers(zone, known)]
    node_ids = [m.node_id for m in readers]
    return bool(node_ids) and own_id == max(
        node_ids, key=lambda node_id: rendezvous_weight(f"revision-{revision}", node_id)
    )


def read_delay_s(own_id: str, members: Iterable[MemberRecord], revision: int, rng: Random) -> float:
    """Returns how long a reader waits for its peers before it reads a revision itself."""
    if is_first_reader(own_id, members, revision):
        return 0.0
    return rng.uniform(MIN_READ_DELAY_S, MAX_READ_DELAY_S)
