"""Assembles the view of a screen from what was read; pure functions."""

from collections.abc import Iterable, Mapping

from ibisrack.admin.messages import Member, RuleWork, Status
from ibisrack.room.readings import Reading, Readings
from ibisrack.room.judgement import Judgement, by_certainty, judge
from ibisrack.room.view import FleetView, RankView, RefusedVersion, RuleView, ZoneView
from ibisrack.rules.model import RankRule, RouteRule
from ibisrack.rules.ruleset import RuleSet

Counts = tuple[int, int, int, int]  # Demand, served, refused, unknown.
_NONE: Counts = (0, 0, 0, 0)


def assemble(readings: Readings, now_s: float, stale_s: float) -> FleetView:
    """Returns the view.

    Args:
      readings: Everything read so far.
      now_s: Monotonic time.
      stale_s: Age from which a node's answer is no longer counted as current.
    """
    revision, digest = readings.accepted()
    staying = [member for member in readings.members if not member.leaving]
    judged = {
        m.node_id: judge(m, readings.nodes.get(m.node_id, Reading()), revision, now_s, stale_s)
        for m in staying
    }
    current = {node_id: readings.nodes[node_id] for node_id, j in judged.items() if j.current}
    ages_s = [now_s - reading.report_at_s for reading in current.values()]
    work = [row for reading in current.values() for row in reading.report.work.rules]
    source_age_s = None if readings.members_at_s is None else now_s - readings.members_at_s
    stragglers = [j.straggler for j in judged.values() if j.straggler]
    return FleetView(
        accepted_revision=revision,
        accepted_digest=digest,
        total=len(staying),
        on_accepted=sum(j.on_accepted for j in judged.values()),
        leaving=len(readings.members) - len(staying),
        refused=refused_version((r.report.status for r in current.values()), revision),
        zones=zone_views(staying, judged),
        stragglers=tuple(sorted(stragglers, key=by_certainty)),
        ranks=rank_views(readings.rules, work) if readings.rules else (),
        rules=rule_views(readings.rules, readings.rules_revision, work) if readings.rules else (),
        work_nodes=len(current),
        age_s=round(max(ages_s), 1) if ages_s else None,
        source=readings.source,
        source_age_s=None if source_age_s is None else round(source_age_s, 1),
        problems=tuple(_problems(readings, len(staying), len(current), source_age_s, stale_s)),
    )


def refused_version(statuses: Iterable[Status], accepted: int) -> RefusedVersion | None:
    """Returns the newest version above the accepted one that nodes refused."""
    refusing = [status for status in statuses if status.refused_revision > accepted]
    if not refusing:
        return None
    revision = max(status.refused_revision for status in refusing)
    newest = [status for status in refusing if status.refused_revision == revision]
    return RefusedVersion(revision, len(newest), newest[0].refused_faults)


def zone_views(members: Iterable[Member], judged: Mapping[str, Judgement]) -> tuple[ZoneView, ...]:
    """Counts the nodes of each zone."""
    by_zone: dict[tuple[str, str], list[Judgement]] = {}
    for member in members:
        by_zone.setdefault((member.region, member.zone), []).append(judged[member.node_id])
    return tuple(
        ZoneView(
            zone=zone,
            region=region,
            total=len(nodes),
            on_accepted=sum(node.on_accepted for node in nodes),
            behind=sum(node.current and not node.on_accepted for node in nodes),
            silent=sum(not node.current for node in nodes),
        )
        for (region, zone), nodes in sorted(by_zone.items())
    )


def _add(sums: dict, key: object, row: RuleWork) -> None:
    known = sums.get(key, _NONE)
    new = (row.demand, row.served, row.refused, row.unknown)
    sums[key] = tuple(a + b for a, b in zip(known, new, strict=True))


def _kept_percent(counts: Counts) -> float | None:
    demand, served, _, _ = counts
    return round(100 * served / demand, 1) if demand else None


def rank_views(rules: RuleSet, work: Iterable[RuleWork]) -> tuple[RankView, ...]:
    """Sums calls by rank; ranks that keep least come first, ranks without calls last."""
    sums: dict[tuple[str, str], Counts] = {}
    for row in work:
        _add(sums, (row.service, row.rank), row)
    ranks = [rank for service in rules.services.values() for rank in service.ranks]
    views = [_rank_view(rank, sums.get((rank.service, rank.rank), _NONE)) for rank in ranks]
    return tuple(sorted(views, key=_rank_order))


def _rank_view(rank: RankRule, counts: Counts) -> RankView:
    kept = _kept_percent(counts)
    return RankView(rank.service, rank.rank, rank.order, rank.share_percent, *counts, kept)


def _rank_order(view: RankView) -> tuple:
    kept = 101.0 if view.kept_percent is None else view.kept_percent
    return (kept, view.service, view.order)


def rule_views(rules: RuleSet, revision: int, work: Iterable[RuleWork]) -> tuple[RuleView, ...]:
    """Sums calls by route; routes that refused most come first.

    Args:
      rules: The rules of the accepted version.
      revision: Their revision; line numbers of other revisions are not comparable.
      work: Figures of the nodes.
    """
    sums: dict[int, Counts] = {}
    for row in work:
        if row.revision == revision:
            _add(sums, row.line, row)
    routes = [route for found in rules.routes.values() for route in found]
    views = [_rule_view(route, sums.get(route.line, _NONE)) for route in routes]
    return tuple(sorted(views, key=lambda v: (-v.refused - v.unknown, -v.demand, v.line)))


def _rule_view(route: RouteRule, counts: Counts) -> RuleView:
    name = f"{route.method} {route.match}"
    return RuleView(route.line, name, route.rank, route.requester, route.reason, *counts)


def _problems(
    readings: Readings, total: int, current: int, source_age_s: float | None, stale_s: float
) -> Iterable[str]:
    if source_age_s is None:
        cause = f": {readings.source_error}" if readings.source_error else ""
        yield f"no node has given a list of nodes yet{cause}"
        return
    if source_age_s > stale_s:
        yield f"the list of nodes is {source_age_s:.0f} s old; no node asked gives a newer one"
    if current < total:
        yield f"{total - current} of {total} nodes do not answer; figures leave them out"
    if readings.rules is None:
        yield "the rules of the accepted version are not known yet"
    elif readings.rules_revision != readings.accepted()[0]:
        yield f"rules are shown from revision {readings.rules_revision}"
