"""Joins the calls of the last minute with the rules that they met; pure functions."""

from collections.abc import Iterable

from ibisrack.room.messages import RankCounts, RuleCounts
from ibisrack.room.sums import OTHER
from ibisrack.room.view import RankView, RuleView
from ibisrack.rules.model import RankRule, RouteRule
from ibisrack.rules.ruleset import RuleSet


def _kept_percent(row: RankCounts) -> float | None:
    return round(100 * row.served / row.offered, 1) if row.offered else None


def rank_views(rules: RuleSet | None, rows: Iterable[RankCounts]) -> tuple[RankView, ...]:
    """Joins the calls by rank with the rules; ranks that keep least come first.

    Ranks without calls are listed last.  Rows that the rules do not name, and the sum of the rows
    that a node left out, are kept.
    """
    services = rules.services.values() if rules else ()
    declared = {(rank.service, rank.rank): rank for s in services for rank in s.ranks}
    counted = {(row.service, row.rank): row for row in rows}
    if (OTHER, OTHER) not in counted:
        for key in declared.keys() - counted.keys():
            counted[key] = RankCounts(*key, 0, 0, 0, 0)
    views = [_rank_view(declared.get(key), row) for key, row in counted.items()]
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
    kept = 101.0 if view.kept_percent is None else view.kept_percent
    return (kept, view.service, view.order, view.rank)


def rule_views(rules: RuleSet | None, rows: Iterable[RuleCounts]) -> tuple[RuleView, ...]:
    """Joins the calls by line with the routes; routes that refused most come first."""
    counted = {row.line: row for row in rows}
    routes = [route for found in rules.routes.values() for route in found] if rules else []
    views = [_rule_view(r, counted.get(r.line, RuleCounts(r.line, 0, 0, 0, 0))) for r in routes]
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
