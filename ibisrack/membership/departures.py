"""How long members have been dead, to decide which of them are forgotten."""

import attrs

from ibisrack.membership.records import Liveness, MemberRecord

FORGET_AFTER_S = 60.0


@attrs.define
class Departures:
    """Owner of the times since which members are dead.

    Only members that are dead and leaving are forgotten: the home of a keyed call is chosen among
    all listed instances, so a dead member stays until the platform's list lets it go.
    """

    _since_s: dict[str, float] = attrs.field(factory=dict)
    _leaving: set[str] = attrs.field(factory=set)

    def note(self, record: MemberRecord, now_s: float) -> None:
        """Takes over a record that was kept."""
        self.drop(record.node_id, keep_time=record.liveness is Liveness.DEAD)
        if record.liveness is Liveness.DEAD:
            self._since_s.setdefault(record.node_id, now_s)
            if record.leaving:
                self._leaving.add(record.node_id)

    def dead_for_s(self, node_id: str, now_s: float) -> float:
        """Returns how long a member has been dead, 0 for others."""
        return now_s - self._since_s.get(node_id, now_s)

    def forgettable(self, now_s: float) -> tuple[str, ...]:
        """Returns the members that are forgotten now."""
        return tuple(n for n in self._leaving if self.dead_for_s(n, now_s) >= FORGET_AFTER_S)

    def drop(self, node_id: str, keep_time: bool = False) -> None:
        """Drops what is known of a node."""
        self._leaving.discard(node_id)
        if not keep_time:
            self._since_s.pop(node_id, None)
