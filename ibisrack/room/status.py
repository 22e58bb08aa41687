"""The status report of a node, and when it is due."""

from random import Random

import attrs

from ibisrack.clocks import Instant
from ibisrack.node.state import NodeState
from ibisrack.room.messages import RefusedVersion, StatusReport
from ibisrack.room.timing import report_interval_s
from ibisrack.versions.store import Refusal

MAX_FAULTS = 5
MAX_FAULT_CHARS = 200
CHANGE_DELAY_S = 0.5  # Spreads the reports of a zone after a change, and joins staging and swap.

RETRY_DELAY_S = 2.0


def _refused(refusal: Refusal | None) -> RefusedVersion | None:
    if refusal is None:
        return None
    faults = tuple(str(fault)[:MAX_FAULT_CHARS] for fault in refusal.faults[:MAX_FAULTS])
    return RefusedVersion(refusal.version_id, faults)


def status_report(node: NodeState, now: Instant) -> StatusReport:
    """Returns the report of a node as of now."""
    versions = node.versions.state()
    return StatusReport(
        node_id=node.members.own_id,
        state=node.lifecycle.state,
        in_force=versions.in_force,
        staged=versions.staged,
        refused=_refused(node.versions.refused),
        reported_at_ms=now.wall_ms,
        ranks=node.counters.ranks(now.monotonic_s),
        rules=node.counters.rules(now.monotonic_s),
    )


def _essence(node: NodeState) -> tuple:
    """Returns what makes a report due when it changes."""
    refusal = node.versions.refused
    refused_id = refusal.version_id if refusal else None
    return (node.lifecycle.state, node.versions.state(), refused_id)


@attrs.define
class ReportSchedule:
    """Decides when a report is due and which collectors receive it.

    A change goes to every collector; a report without a change goes to one collector in turn, which
    halves the messages that a collector of a large zone takes.

    Attributes:
      rng: Source of the jitter.
    """

    rng: Random
    _sent: tuple | None = None
    _change_due_s: float | None = None
    _steady_due_s: float = 0.0
    _turn: int = 0

    def due(self, node: NodeState, collectors: tuple[str, ...], now_s: float) -> tuple[str, ...]:
        """Returns the collectors that receive a report now.

        Args:
          node: The node's state.
          collectors: Collectors of the zone, without the node itself.
          now_s: Monotonic time.
        """
        if not collectors:
            return ()
        essence = _essence(node)
        if essence != self._sent and self._change_due_s is None:
            self._change_due_s = now_s + self.rng.uniform(0.0, CHANGE_DELAY_S)
        if self._change_due_s is not None and now_s >= self._change_due_s:
            self._sent = essence
            self._change_due_s = None
            self._plan_steady(node, now_s)
            return collectors
        if now_s >= self._steady_due_s:
            self._plan_steady(node, now_s)
            self._turn += 1
            return (collectors[self._turn % len(collectors)],)
        return ()

    def failed(self, now_s: float) -> None:
        """Makes a report due again some time after it did not arrive."""
        self._sent = None
        self._change_due_s = now_s + self.rng.uniform(0.5, 1.5) * RETRY_DELAY_S

    def _plan_steady(self, node: NodeState, now_s: float) -> None:
        zone = node.members.own().zone
        zone_members = sum(1 for member in node.members.all() if member.zone == zone)
        interval_s = report_interval_s(zone_members)
        self._steady_due_s = now_s + self.rng.uniform(0.9, 1.1) * interval_s
