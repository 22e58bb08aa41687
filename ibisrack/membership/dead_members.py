"""Tracks how long members have been dead, to decide which of them are forgotten."""

import attrs

from ibisrack.membership.records import Liveness, MemberRecord

FORGET_LEFT_AFTER_S = 60.0


@attrs.define
class DeadMembers:
    """The times at which members were declared dead.

    Only members that are both dead and leaving are forgotten.  The home of a keyed call is chosen
    among all instances in the member table, so a dead member stays in the table until the
    platform's host list marks it as leaving or omits it.
    """

    _dead_since_s: dict[str, float] = attrs.field(factory=dict)
    _leaving: set[str] = attrs.field(factory=set)

    def update(self, record: MemberRecord, now_s: float) -> None:
        """Updates the state of a member after the table accepted a record of it."""
        self.drop(record.node_id, keep_time=record.liveness is Liveness.DEAD)
        if record.liveness is Liveness.DEAD:
            self._dead_since_s.setdefault(record.node_id, now_s)
            if record.leaving:
                self._leaving.add(record.node_id)

    def dead_for_s(self, node_id: str, now_s: float) -> float:
        """Returns how long a member has been dead, 0 if it is not dead."""
        return now_s - self._dead_since_s.get(node_id, now_s)

    def forgettable(self, now_s: float) -> tuple[str, ...]:
        """Returns the dead and leaving members whose retention time has passed."""
        return tuple(n for n in self._leaving if self.dead_for_s(n, now_s) >= FORGET_LEFT_AFTER_S)

    def drop(self, node_id: str, keep_time: bool = False) -> None:
        """Removes the state of a member, except its time of death if keep_time is set."""
        self._leaving.discard(node_id)
        if not keep_time:
            self._dead_since_s.pop(node_id, None)
