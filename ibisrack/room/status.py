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
# Spreads the reports of a zone after a change; staging and activating a version usually fall
# into one report.
MAX_CHANGE_DELAY_S = 0.5
MEAN_RETRY_DELAY_S = 2.0


def _refused_version(refusal: Refusal | None) -> RefusedVersion | None:
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
        refused=_refused_version(node.versions.refused),
        reported_at_ms=now.wall_ms,
        ranks=node.counters.ranks(now.monotonic_s),
        rules=node.counters.rules(now.monotonic_s),
    )


def _reportable_state(node: NodeState) -> tuple:
    """Returns the state whose change is reported ahead of the next periodic report."""
    refusal = node.versions.refused
    refused_id = refusal.version_id if refusal else None
    return (node.lifecycle.state, node.versions.state(), refused_id)


@attrs.define
class ReportSchedule:
    """Decides when a report is due and which collectors receive it.

    A change is reported to every collector.  Periodic reports go to the collectors in turn, which
    halves the messages that a collector of a large zone receives.

    Attributes:
      rng: Source of the jitter.
    """

    rng: Random
    _last_state: tuple | None = None
    _change_due_s: float | None = None
    _periodic_due_s: float = 0.0
    _periodic_count: int = 0

    def due(self, node: NodeState, collectors: tuple[str, ...], now_s: float) -> tuple[str, ...]:
        """Returns the collectors that receive a report now.

        Args:
          node: The node's state.
          collectors: Collectors of the zone, without the node itself.
          now_s: Monotonic time.
        """
        if not collectors:
            return ()
        state = _reportable_state(node)
        if state != self._last_state and self._change_due_s is None:
            self._change_due_s = now_s + self.rng.uniform(0.0, MAX_CHANGE_DELAY_S)
        if self._change_due_s is not None and now_s >= self._change_due_s:
            self._last_state = state
            self._change_due_s = None
            self._schedule_periodic(node, now_s)
            return collectors
        if now_s >= self._periodic_due_s:
            self._schedule_periodic(node, now_s)
            self._periodic_count += 1
            return (collectors[self._periodic_count % len(collectors)],)
        return ()

    def schedule_retry(self, now_s: float) -> None:
        """Schedules another report to every collector after one could not be delivered."""
        self._last_state = None
        self._change_due_s = now_s + self.rng.uniform(0.5, 1.5) * MEAN_RETRY_DELAY_S

    def _schedule_periodic(self, node: NodeState, now_s: float) -> None:
        zone = node.members.own().zone
        member_count = sum(1 for member in node.members.all() if member.zone == zone)
        interval_s = report_interval_s(member_count)
        self._periodic_due_s = now_s + self.rng.uniform(0.9, 1.1) * interval_s
