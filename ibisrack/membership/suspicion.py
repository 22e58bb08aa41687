"""When a suspected member is declared dead.

Source: Das, Gupta, Motivala, "SWIM", 2002.  A suspected node has a fixed time to refute by a higher
incarnation.  A node that has itself heard from the suspect since does not declare it dead.
"""

import attrs

from ibisrack.membership.records import Liveness, MemberRecord

SUSPICION_TIMEOUT_S = 3.0


@attrs.frozen
class _Suspicion:
    """A running suspicion of one incarnation."""

    incarnation: int
    since_s: float


@attrs.define
class Suspicions:
    """Owner of the running suspicions."""

    _running: dict[str, _Suspicion] = attrs.field(factory=dict)
    _heard_at_s: dict[str, float] = attrs.field(factory=dict)

    def note(self, record: MemberRecord, now_s: float) -> None:
        """Starts or ends a suspicion after a record was kept."""
        if record.liveness is not Liveness.SUSPECT:
            self._running.pop(record.node_id, None)
            return
        running = self._running.get(record.node_id)
        if running is None or running.incarnation != record.incarnation:
            self._running[record.node_id] = _Suspicion(record.incarnation, now_s)

    def heard(self, node_id: str, now_s: float) -> None:
        """Notes a message that came from the node itself."""
        self._heard_at_s[node_id] = now_s

    def expired(self, now_s: float) -> tuple[str, ...]:
        """Ends the suspicions that nothing refuted in time and returns their node ids."""
        due = [n for n, s in self._running.items() if now_s - s.since_s >= SUSPICION_TIMEOUT_S]
        dead = tuple(n for n in due if self._heard_at_s.get(n, -1.0) < self._running[n].since_s)
        for node_id in due:
            suspicion = self._running.pop(node_id)
            if node_id not in dead:
                self._running[node_id] = attrs.evolve(suspicion, since_s=now_s)
        return dead

    def restart(self, now_s: float) -> None:
        """Gives every suspect its full time again, after this process did not run for a while."""
        for node_id, suspicion in self._running.items():
            self._running[node_id] = attrs.evolve(suspicion, since_s=now_s)

    def forget(self, node_id: str) -> None:
        """Drops what is known of a node."""
        self._running.pop(node_id, None)
        self._heard_at_s.pop(node_id, None)
