"""Which reader transfers a new value, so that the platform's bytes are spread over all readers.

Every reader is told of a new revision, but a value of 170 KB read by each of them, 780 times a day,
would cost a reader 1.5 KB/s.  One reader, another one for each revision, reads at once; the others
wait for the version to come over their links and read only when it does not.
"""

from collections.abc import Iterable
from random import Random

from ibisrack.membership.election import elect_readers
from ibisrack.membership.overlay import rendezvous_weight
from ibisrack.membership.records import MemberRecord

WAIT_LOW_S = 1.0  # A version takes less than this to reach all readers.
WAIT_HIGH_S = 2.0


def reads_first(own_id: str, members: Iterable[MemberRecord], revision: int) -> bool:
    """Tells whether a node is the reader that reads a revision at once.

    Nodes whose member tables differ may name different readers or none that lives; the others read
    after their wait, so a revision is never missed.
    """
    known = list(members)
    readers = [m for zone in {m.zone for m in known} for m in elect_readers(zone, known)]
    names = [m.node_id for m in readers]
    return bool(names) and own_id == max(
        names, key=lambda name: rendezvous_weight(f"revision-{revision}", name)
    )


def wait_before_read_s(
    own_id: str, members: Iterable[MemberRecord], revision: int, rng: Random
) -> float:
    """Returns how long a reader waits for its links before it reads a revision itself."""
    if reads_first(own_id, members, revision):
        return 0.0
    return rng.uniform(WAIT_LOW_S, WAIT_HIGH_S)
