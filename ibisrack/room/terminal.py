"""Renders the view as text for terminals."""

from ibisrack.room.view import RankView, RuleView, ScreenView, StragglerView, ZoneView
from ibisrack.text import format_table, replace_unprintable

MAX_STRAGGLERS = 20
MAX_RULES = 20


def headline(view: ScreenView) -> str:
    """Returns the state of the fleet in one line."""
    if not view.accepted_revision:
        return "UNKNOWN: no node has reported a version"
    state = "ON ALL NODES" if view.on_accepted == view.total else "NOT ON ALL NODES"
    counts = f"{view.on_accepted} of {view.total} nodes"
    return f"{state}: revision {view.accepted_revision} in force on {counts}"


def _zone_row(zone: ZoneView) -> tuple[str, ...]:
    mark = "ok" if zone.on_accepted == zone.total and not zone.stale else "!!"
    age = "no data" if zone.age_s is None else f"{zone.age_s:.0f} s old"
    counts = f"{zone.on_accepted} of {zone.total}"
    return (mark, zone.zone, zone.region, counts, f"OUT OF DATE, {age}" if zone.stale else age)


def _straggler_row(node: StragglerView) -> tuple[str, ...]:
    revision = f"last on {node.revision}" if node.revision else "no revision"
    return (node.cause.upper(), node.node_id, node.zone, revision, replace_unprintable(node.detail))


def _rank_row(rank: RankView) -> tuple[str, ...]:
    kept = "no calls" if rank.kept_percent is None else f"{rank.kept_percent:.1f}%"
    counts = (rank.demand, rank.served, rank.refused, rank.unknown)
    return (rank.service, rank.rank, f"{rank.share_percent}%", *map(str, counts), kept)


def _rule_row(rule: RuleView) -> tuple[str, ...]:
    counts = map(str, (rule.demand, rule.served, rule.refused, rule.unknown))
    return (str(rule.line), rule.route, *counts, rule.requester, rule.reason)


def _omitted_line(count: int, shown: int, noun: str) -> list[str]:
    return [f"and {count - shown} more {noun}"] if count > shown else []


def fleet_lines(view: ScreenView) -> list[str]:
    """Returns the lines about versions and nodes."""
    age = "no data" if view.age_s is None else f"data up to {view.age_s:.0f} s old"
    lines = [headline(view), f"{age}, from {view.source or 'nobody'}"]
    if view.leaving:
        lines.append(f"left as planned and not counted: {view.leaving}")
    lines += [f"NOTE {replace_unprintable(problem)}" for problem in view.problems]
    if view.refused:
        lines += ["", f"REFUSED: a newer version, by at least {view.refused.node_count} nodes"]
        lines += [
            f"  {replace_unprintable(fault)}" for fault in view.refused.faults[:MAX_STRAGGLERS]
        ]
    lines += ["", *format_table(map(_zone_row, view.zones))]
    if view.straggler_count:
        rows = list(map(_straggler_row, view.stragglers[:MAX_STRAGGLERS]))
        lines += ["", f"stragglers: {view.straggler_count}", *format_table(rows)]
    return lines


def call_lines(view: ScreenView) -> list[str]:
    """Returns the lines about the calls of the last minute."""
    rank_head = ("service", "rank", "share", "demand", "served", "refused", "unknown", "kept")
    rule_head = ("line", "route", "demand", "served", "refused", "unknown", "asked by", "why")
    return [
        "calls of the last minute",
        *format_table([rank_head, *map(_rank_row, view.ranks)]),
        *_omitted_line(view.rank_count, len(view.ranks), "ranks"),
        "",
        *format_table([rule_head, *map(_rule_row, view.rules[:MAX_RULES])]),
        *_omitted_line(view.rule_count, len(view.rules[:MAX_RULES]), "routes"),
    ]
