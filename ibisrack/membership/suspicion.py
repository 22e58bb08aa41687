"""Decides when a suspected member is declared dead.

Source: Das, Gupta, Motivala, "SWIM", 2002.  A suspected node has a fixed time to refute the
suspicion with a higher incarnation.  A node that has received a message from the suspect since the
suspicion began does not declare it dead.
"""

import attrs

from ibisrack.membership.records import Liveness, MemberRecord

SUSPICION_TIMEOUT_S = 3.0


@attrs.frozen
class _Suspicion:
    """An active suspicion of one incarnation."""

    incarnation: int
    since_s: float


@attrs.define
class Suspicions:
    """The active suspicions and the last direct contact with each member."""

    _active: dict[str, _Suspicion] = attrs.field(factory=dict)
    _last_contact_s: dict[str, float] = attrs.field(factory=dict)

    def update(self, record: MemberRecord, now_s: float) -> None:
        """Starts or ends a suspicion after the table accepted a record."""
        if record.liveness is not Liveness.SUSPECT:
            self._active.pop(record.node_id, None)
            return
        active = self._active.get(record.node_id)
        if active is None or active.incarnation != record.incarnation:
            self._active[record.node_id] = _Suspicion(record.incarnation, now_s)

    def record_contact(self, node_id: str, now_s: float) -> None:
        """Records the time of a message that came from the node itself."""
        self._last_contact_s[node_id] = now_s

    def expired(self, now_s: float) -> tuple[str, ...]:
        """Ends the suspicions that nothing refuted in time and returns their node ids.

        The suspicion of a member that was in contact since it began starts over.
        """
        due = [n for n, s in self._active.items() if now_s - s.since_s >= SUSPICION_TIMEOUT_S]
        dead = tuple(n for n in due if self._last_contact_s.get(n, -1.0) < self._active[n].since_s)
        for node_id in due:
            suspicion = self._active.pop(node_id)
            if node_id not in dead:
                self._active[node_id] = attrs.evolve(suspicion, since_s=now_s)
        return dead

    def restart(self, now_s: float) -> None:
        """Restarts the timeout of every suspicion after this process was paused."""
        for node_id, suspicion in self._active.items():
            self._active[node_id] = attrs.evolve(suspicion, since_s=now_s)

    def forget(self, node_id: str) -> None:
        """Removes the state of a node."""
        self._active.pop(node_id, None)
        self._last_contact_s.pop(node_id, None)
