"""The reports of a zone and the summaries of all zones, as one node holds them."""

from collections import Counter
from collections.abc import Iterable

import attrs

from ibisrack.membership.records import MemberRecord
from ibisrack.room.messages import (
    StatusReport,
    Straggler,
    VersionCount,
    WantSummaries,
    ZoneSummaries,
    ZoneSummary,
)
from ibisrack.room.stragglers import REFUSED, straggler
from ibisrack.room.sums import add_ranks, add_rules
from ibisrack.room.timing import silent_after_s
from ibisrack.versions.chunks import VersionId

MAX_STRAGGLERS = 20
MAX_ZONES = 64
REORDER_LIMIT_S = 45.0  # After this a report of an earlier clock is taken: the host was replaced.
ZONE_RANK_ROWS = 12


@attrs.frozen
class _Received:
    """A report with the time of its receipt."""

    report: StatusReport
    at_s: float


@attrs.frozen
class _Held:
    """A summary with the time of its receipt."""

    summary: ZoneSummary
    at_s: float

    def aged(self, now_s: float) -> ZoneSummary:
        """Returns the summary with its ages as of now."""
        passed_s = now_s - self.at_s
        newest = self.summary.newest_report_age_s
        return attrs.evolve(
            self.summary,
            age_s=self.summary.age_s + passed_s,
            newest_report_age_s=None if newest is None else newest + passed_s,
        )


@attrs.define
class RoomState:
    """Owner of the reports and summaries that this node holds.

    Attributes:
      zone: The node's own zone.
    """

    zone: str
    _reports: dict[str, _Received] = attrs.field(factory=dict)
    _summaries: dict[str, _Held] = attrs.field(factory=dict)

    def take(self, report: StatusReport, now_s: float) -> bool:
        """Keeps a report unless a newer one of the node is held; returns whether it was kept."""
        known = self._reports.get(report.node_id)
        if known and now_s - known.at_s < REORDER_LIMIT_S:
            if report.reported_at_ms < known.report.reported_at_ms:
                return False
        self._reports[report.node_id] = _Received(report, now_s)
        return True

    def hold(self, summary: ZoneSummary, now_s: float) -> bool:
        """Keeps a summary if it is fresher than the one held; returns whether it was kept."""
        known = self._summaries.get(summary.zone)
        if known is None and len(self._summaries) >= MAX_ZONES:
            return False
        if known and known.aged(now_s).age_s <= summary.age_s:
            return False
        self._summaries[summary.zone] = _Held(summary, now_s)
        return True

    def summaries(self, now_s: float) -> tuple[ZoneSummary, ...]:
        """Returns the summaries held, with their ages as of now."""
        return tuple(held.aged(now_s) for _, held in sorted(self._summaries.items()))

    def wanted(self, now_s: float, fresher_by_s: float) -> WantSummaries:
        """Returns the request for summaries that are fresher than those held."""
        ages_s = {summary.zone: round(summary.age_s, 1) for summary in self.summaries(now_s)}
        return WantSummaries(ages_s, fresher_by_s)

    def fresher(self, request: WantSummaries, now_s: float) -> ZoneSummaries | None:
        """Returns the summaries that a peer asked for, None when there are none."""
        held = request.held_ages_s
        chosen = tuple(
            summary
            for summary in self.summaries(now_s)
            if summary.age_s + request.fresher_by_s < held.get(summary.zone, float("inf"))
        )
        return ZoneSummaries(chosen) if chosen else None

    def lacks(self, request: WantSummaries, now_s: float) -> bool:
        """Tells whether the peer that asks holds a summary that is fresher than the own one."""
        own_ages_s = {summary.zone: summary.age_s for summary in self.summaries(now_s)}
        return any(
            age_s + request.fresher_by_s < own_ages_s.get(zone, float("inf"))
            for zone, age_s in request.held_ages_s.items()
        )

    def accepted(self) -> VersionId | None:
        """Returns the highest version that is in force on any node heard of."""
        reported = [received.report.in_force for received in self._reports.values()]
        counted = [c.version_id for h in self._summaries.values() for c in h.summary.by_version]
        return max((v for v in (*reported, *counted) if v), default=None)

    def summarize(self, own: MemberRecord, members: Iterable[MemberRecord], now_s: float) -> None:
        """Makes the summary of the own zone from the reports held and keeps it.

        Reports of nodes that are no longer members are dropped.
        """
        inside = {m.node_id: m for m in members if m.zone == self.zone}
        self._reports = {n: r for n, r in self._reports.items() if n in inside}
        found = self._stragglers(inside, now_s)
        reports = [received.report for received in self._reports.values()]
        newest_s = max((r.at_s for r in self._reports.values()), default=None)
        summary = ZoneSummary(
            zone=self.zone,
            region=own.region,
            collector=own.node_id,
            members=len(inside),
            by_version=_by_version(reports),
            by_state=dict(Counter(report.state for report in reports)),
            straggler_count=len(found),
            stragglers=tuple(found[:MAX_STRAGGLERS]),
            ranks=add_ranks((row for r in reports for row in r.ranks), ZONE_RANK_ROWS),
            rules=add_rules(row for r in reports for row in r.rules),
            newest_report_age_s=None if newest_s is None else now_s - newest_s,
            age_s=0.0,
        )
        self._summaries[self.zone] = _Held(summary, now_s)

    def _stragglers(self, inside: dict[str, MemberRecord], now_s: float) -> list[Straggler]:
        accepted = self.accepted()
        revision = accepted.revision if accepted else 0
        limit_s = silent_after_s(len(inside))
        found = []
        for node_id, member in sorted(inside.items()):
            received = self._reports.get(node_id)
            report = received.report if received else None
            age_s = now_s - received.at_s if received else 0.0
            found.append(straggler(member, report, age_s, limit_s, revision))
        # Refusals last: when one of them is listed, all that are left out are refusals too.
        listed = (s for s in found if s)
        return sorted(listed, key=lambda s: (s.revision, s.cause == REFUSED, s.node_id))


def _by_version(reports: Iterable[StatusReport]) -> tuple[VersionCount, ...]:
    counts = Counter(report.in_force for report in reports)
    ordered = sorted(counts.items(), key=lambda item: -(item[0].revision if item[0] else 0))
    return tuple(VersionCount(version_id, nodes) for version_id, nodes in ordered)
