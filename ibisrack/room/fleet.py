"""The fleet view that screens read, built from the summaries of the zones."""

from collections import Counter
from collections.abc import Iterable

import attrs

from ibisrack.membership.records import MemberRecord
from ibisrack.room.messages import RankCounts, RuleCounts, Straggler, ZoneSummary
from ibisrack.room.reports import RoomState
from ibisrack.room.sums import add_ranks, add_rules
from ibisrack.versions.chunks import VersionId


@attrs.frozen
class VersionView:
    """A version in the answer of ``GET /fleet``."""

    revision: int
    digest: str


@attrs.frozen
class VersionNodes:
    """Number of nodes with a revision in force; revision 0 for nodes without a version."""

    revision: int
    digest: str
    nodes: int


@attrs.frozen
class FleetZone:
    """State of one zone.

    Without a summary of the zone both ages are None; newest_report_age_s is also None while the
    collector has no report.
    """

    zone: str
    region: str
    collector: str
    members: int
    age_s: float | None
    newest_report_age_s: float | None
    by_version: tuple[VersionNodes, ...]
    by_state: dict[str, int]
    straggler_count: int
    stragglers: tuple[Straggler, ...]


@attrs.frozen
class FleetView:
    """Answer of ``GET /fleet``."""

    node_id: str
    accepted: VersionView | None
    members: int
    straggler_count: int
    zones: tuple[FleetZone, ...]
    ranks: tuple[RankCounts, ...]
    rules: tuple[RuleCounts, ...]


def _version_nodes(version_id: VersionId | None, nodes: int) -> VersionNodes:
    if version_id is None:
        return VersionNodes(0, "", nodes)
    return VersionNodes(version_id.revision, version_id.digest.hex(), nodes)


def _rounded(age_s: float | None) -> float | None:
    return None if age_s is None else round(age_s, 1)


def _fleet_zone(summary: ZoneSummary) -> FleetZone:
    return FleetZone(
        zone=summary.zone,
        region=summary.region,
        collector=summary.collector,
        members=summary.members,
        age_s=_rounded(summary.age_s),
        newest_report_age_s=_rounded(summary.newest_report_age_s),
        by_version=tuple(_version_nodes(c.version_id, c.nodes) for c in summary.by_version),
        by_state=summary.by_state,
        straggler_count=summary.straggler_count,
        stragglers=summary.stragglers,
    )


def _zones_without_summary(
    members: Iterable[MemberRecord], summarized: set[str]
) -> list[FleetZone]:
    """Returns views of the zones that have members but no summary."""
    counts = Counter((m.zone, m.region) for m in members if m.zone not in summarized)
    return [
        FleetZone(zone, region, "", count, None, None, (), {}, 0, ())
        for (zone, region), count in counts.items()
    ]


def fleet_view(
    own_id: str, room: RoomState, members: Iterable[MemberRecord], now_s: float
) -> FleetView:
    """Returns the fleet view of one node.

    Args:
      own_id: Id of the node.
      room: Its reports and summaries.
      members: Its member table, for zones without a summary.
      now_s: Monotonic time.
    """
    summaries = room.summaries(now_s)
    zones = [_fleet_zone(summary) for summary in summaries]
    zones += _zones_without_summary(members, {summary.zone for summary in summaries})
    accepted = room.accepted_version()
    return FleetView(
        node_id=own_id,
        accepted=VersionView(accepted.revision, accepted.digest.hex()) if accepted else None,
        members=sum(zone.members for zone in zones),
        straggler_count=sum(zone.straggler_count for zone in zones),
        zones=tuple(sorted(zones, key=lambda zone: zone.zone)),
        ranks=add_ranks(row for summary in summaries for row in summary.ranks),
        rules=add_rules(row for summary in summaries for row in summary.rules),
    )
