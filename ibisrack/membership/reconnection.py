"""Choice of peers to contact outside the links, so that a healed partition merges again."""

from collections.abc import Iterable, Sequence

from ibisrack.membership.records import Liveness, MemberRecord


def reconnect_candidates(members: Iterable[MemberRecord], seeds: Sequence[str]) -> list[str]:
    """Returns the peer addresses of dead members and of seeds that no live member has.

    Members that are both dead and leaving are left out, as they are not expected back.
    """
    known = list(members)
    live = {m.peer_address for m in known if m.liveness is not Liveness.DEAD}
    dead = [m.peer_address for m in known if m.liveness is Liveness.DEAD and not m.leaving]
    gone = {m.peer_address for m in known if m.liveness is Liveness.DEAD and m.leaving}
    return dead + [s for s in seeds if s not in live and s not in gone and s not in dead]
