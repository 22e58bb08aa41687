"""Joins the call counts of the last minute with the rules in force; pure functions."""

from collections.abc import Iterable

from ibisrack.room.messages import RankCounts, RuleCounts
from ibisrack.room.sums import OTHER
from ibisrack.room.view import RankView, RuleView
from ibisrack.rules.model import RankRule, RouteRule
from ibisrack.rules.ruleset import RuleSet


def _kept_percent(row: RankCounts) -> float | None:
    return round(100 * row.served / row.offered, 1) if row.offered else None


def rank_views(rules: RuleSet | None, rows: Iterable[RankCounts]) -> tuple[RankView, ...]:
    """Joins the counts by rank with the rules.

    Ranks with the lowest share of served calls come first, ranks without calls last.  Rows of ranks
    that the rules do not declare are kept, and so is the sum of the rows beyond a node's limit.
    While there is such a sum, declared ranks without a row are not listed: it may contain their
    calls.
    """
    services = rules.services.values() if rules else ()
    declared = {(rank.service, rank.rank): rank for s in services for rank in s.ranks}
    counts = {(row.service, row.rank): row for row in rows}
    if (OTHER, OTHER) not in counts:
        for key in declared.keys() - counts.keys():
            counts[key] = RankCounts(*key, 0, 0, 0, 0)
    views = [_rank_view(declared.get(key), row) for key, row in counts.items()]
    return tuple(sorted(views, key=_rank_order))


def _rank_view(rank: RankRule | None, row: RankCounts) -> RankView:
    return RankView(
        service=row.service,
        rank=row.rank,
        order=rank.order if rank else 0,
        share_percent=rank.share_percent if rank else 0,
        demand=row.offered,
        served=row.served,
        refused=row.not_run,
        unknown=row.unknown,
        kept_percent=_kept_percent(row),
    )


def _rank_order(view: RankView) -> tuple:
    sort_percent = 101.0 if view.kept_percent is None else view.kept_percent
    return (sort_percent, view.service, view.order, view.rank)


def rule_views(rules: RuleSet | None, rows: Iterable[RuleCounts]) -> tuple[RuleView, ...]:
    """Joins the counts by line with the routes.

    Routes with the most refused or unknown calls come first, then those with the most demand.
    """
    counts = {row.line: row for row in rows}
    routes = [route for group in rules.routes.values() for route in group] if rules else []
    views = [_rule_view(r, counts.get(r.line, RuleCounts(r.line, 0, 0, 0, 0))) for r in routes]
    return tuple(sorted(views, key=lambda v: (-v.refused - v.unknown, -v.demand, v.line)))


def _rule_view(route: RouteRule, row: RuleCounts) -> RuleView:
    return RuleView(
        line=route.line,
        route=f"{route.method} {route.match}",
        rank=route.rank,
        requester=route.requester,
        reason=route.reason,
        demand=row.offered,
        served=row.served,
        refused=row.not_run,
        unknown=row.unknown,
    )
