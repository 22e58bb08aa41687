"""Sums of call counts, cut to a bounded number of rows."""

from collections.abc import Iterable

from ibisrack.room.messages import RankCounts, RuleCounts

OTHER = "other"
MAX_RANK_ROWS = 24  # Keeps a report with its frame below about 600 bytes compressed.
MAX_RULE_ROWS = 10


def _counts(row: RankCounts | RuleCounts) -> tuple[int, int, int, int]:
    return (row.offered, row.served, row.not_run, row.unknown)


def _add(totals: dict, key: tuple, row: RankCounts | RuleCounts) -> None:
    known = totals.get(key, (0, 0, 0, 0))
    totals[key] = tuple(a + b for a, b in zip(known, _counts(row), strict=True))


def _importance(item: tuple[tuple, tuple[int, int, int, int]]) -> tuple:
    """Orders rows with refused or unknown calls first, then by demand."""
    key, (offered, _, not_run, unknown) = item
    return (-(not_run + unknown), -offered, key)


def add_ranks(rows: Iterable[RankCounts], limit: int = MAX_RANK_ROWS) -> tuple[RankCounts, ...]:
    """Adds up rows by service and rank.

    Rows beyond the limit are added to one row named OTHER, so the sum over all rows stays exact.
    """
    totals: dict[tuple, tuple[int, int, int, int]] = {}
    left_out: dict[tuple, tuple[int, int, int, int]] = {}
    for row in rows:
        target = left_out if row.service == OTHER else totals
        _add(target, (row.service, row.rank), row)
    ordered = sorted(totals.items(), key=_importance)
    for _, counts in ordered[limit:]:
        _add(left_out, (OTHER, OTHER), RankCounts(OTHER, OTHER, *counts))
    kept = ordered[:limit] + list(left_out.items())
    return tuple(RankCounts(*key, *counts) for key, counts in kept)


def add_rules(rows: Iterable[RuleCounts], limit: int = MAX_RULE_ROWS) -> tuple[RuleCounts, ...]:
    """Adds up rows by line and keeps those that matter most."""
    totals: dict[tuple, tuple[int, int, int, int]] = {}
    for row in rows:
        _add(totals, (row.line,), row)
    ordered = sorted(totals.items(), key=_importance)
    return tuple(RuleCounts(*key, *counts) for key, counts in ordered[:limit])
