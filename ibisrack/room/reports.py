"""The status reports of a zone and the summaries of all zones, as one node holds them."""

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
from ibisrack.room.stragglers import REFUSED, classify_member
from ibisrack.room.sums import add_ranks, add_rules
from ibisrack.room.timing import cut_off_after_s
from ibisrack.versions.chunks import VersionId

MAX_LISTED_STRAGGLERS = 20
MAX_ZONES = 64
# A report with an earlier wall clock is stored once the one held is this old: the host was replaced
# by one whose clock is behind.
REORDER_LIMIT_S = 45.0
MAX_ZONE_RANK_ROWS = 12


@attrs.frozen
class _Received:
    """A report with the monotonic time of its receipt."""

    report: StatusReport
    received_at_s: float


@attrs.frozen
class _HeldSummary:
    """A summary with the monotonic time of its receipt."""

    summary: ZoneSummary
    received_at_s: float

    def aged(self, now_s: float) -> ZoneSummary:
        """Returns the summary with its ages as of now."""
        elapsed_s = now_s - self.received_at_s
        newest = self.summary.newest_report_age_s
        return attrs.evolve(
            self.summary,
            age_s=self.summary.age_s + elapsed_s,
            newest_report_age_s=None if newest is None else newest + elapsed_s,
        )


@attrs.define
class RoomState:
    """The reports and summaries that this node holds.

    Attributes:
      zone: The node's own zone.
    """

    zone: str
    _reports: dict[str, _Received] = attrs.field(factory=dict)
    _summaries: dict[str, _HeldSummary] = attrs.field(factory=dict)

    def store_report(self, report: StatusReport, now_s: float) -> bool:
        """Stores a report unless a newer one of the node is held; returns whether it did."""
        held = self._reports.get(report.node_id)
        if held and now_s - held.received_at_s < REORDER_LIMIT_S:
            if report.reported_at_ms < held.report.reported_at_ms:
                return False
        self._reports[report.node_id] = _Received(report, now_s)
        return True

    def store_summary(self, summary: ZoneSummary, now_s: float) -> bool:
        """Stores a summary if it is fresher than the one held; returns whether it did."""
        held = self._summaries.get(summary.zone)
        if held is None and len(self._summaries) >= MAX_ZONES:
            return False
        if held and held.aged(now_s).age_s <= summary.age_s:
            return False
        self._summaries[summary.zone] = _HeldSummary(summary, now_s)
        return True

    def summaries(self, now_s: float) -> tuple[ZoneSummary, ...]:
        """Returns the summaries held, with their ages as of now."""
        return tuple(held.aged(now_s) for _, held in sorted(self._summaries.items()))

    def summaries_request(self, now_s: float, fresher_by_s: float) -> WantSummaries:
        """Returns a request for summaries that are fresher than those held."""
        ages_s = {summary.zone: round(summary.age_s, 1) for summary in self.summaries(now_s)}
        return WantSummaries(ages_s, fresher_by_s)

    def fresher_summaries(self, request: WantSummaries, now_s: float) -> ZoneSummaries | None:
        """Returns the summaries that are fresher than those of the requester, None without any."""
        peer_ages_s = request.held_ages_s
        fresher = tuple(
            summary
            for summary in self.summaries(now_s)
            if summary.age_s + request.fresher_by_s < peer_ages_s.get(summary.zone, float("inf"))
        )
        return ZoneSummaries(fresher) if fresher else None

    def requester_is_fresher(self, request: WantSummaries, now_s: float) -> bool:
        """Returns whether the requester holds a fresher summary of any zone than this node."""
        own_ages_s = {summary.zone: summary.age_s for summary in self.summaries(now_s)}
        return any(
            age_s + request.fresher_by_s < own_ages_s.get(zone, float("inf"))
            for zone, age_s in request.held_ages_s.items()
        )

    def accepted_version(self) -> VersionId | None:
        """Returns the highest version that any node reported as in force."""
        reported = [received.report.in_force for received in self._reports.values()]
        summarized = [c.version_id for h in self._summaries.values() for c in h.summary.by_version]
        return max((v for v in (*reported, *summarized) if v), default=None)

    def summarize(self, own: MemberRecord, members: Iterable[MemberRecord], now_s: float) -> None:
        """Stores a summary of the node's own zone, made from the reports held.

        Reports of nodes that are no longer members are dropped.
        """
        zone_members = {m.node_id: m for m in members if m.zone == self.zone}
        self._reports = {n: r for n, r in self._reports.items() if n in zone_members}
        stragglers = self._stragglers(zone_members, now_s)
        reports = [received.report for received in self._reports.values()]
        newest_at_s = max((r.received_at_s for r in self._reports.values()), default=None)
        summary = ZoneSummary(
            zone=self.zone,
            region=own.region,
            collector=own.node_id,
            members=len(zone_members),
            by_version=_by_version(reports),
            by_state=dict(Counter(report.state for report in reports)),
            straggler_count=len(stragglers),
            stragglers=tuple(stragglers[:MAX_LISTED_STRAGGLERS]),
            ranks=add_ranks((row for r in reports for row in r.ranks), MAX_ZONE_RANK_ROWS),
            rules=add_rules(row for r in reports for row in r.rules),
            newest_report_age_s=None if newest_at_s is None else now_s - newest_at_s,
            age_s=0.0,
        )
        self._summaries[self.zone] = _HeldSummary(summary, now_s)

    def _stragglers(self, zone_members: dict[str, MemberRecord], now_s: float) -> list[Straggler]:
        accepted = self.accepted_version()
        revision = accepted.revision if accepted else 0
        silence_limit_s = cut_off_after_s(len(zone_members))
        candidates = []
        for node_id, member in sorted(zone_members.items()):
            received = self._reports.get(node_id)
            report = received.report if received else None
            age_s = now_s - received.received_at_s if received else 0.0
            candidates.append(classify_member(member, report, age_s, silence_limit_s, revision))
        # Refusals by nodes on the highest revision come last: when one is among the first
        # MAX_LISTED_STRAGGLERS, all that are left out are refusals too.
        stragglers = (s for s in candidates if s)
        return sorted(stragglers, key=lambda s: (s.revision, s.cause == REFUSED, s.node_id))


def _by_version(reports: Iterable[StatusReport]) -> tuple[VersionCount, ...]:
    counts = Counter(report.in_force for report in reports)
    ordered = sorted(counts.items(), key=lambda item: -(item[0].revision if item[0] else 0))
    return tuple(VersionCount(version_id, nodes) for version_id, nodes in ordered)
