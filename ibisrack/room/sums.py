"""Sums of call counts with a bounded number of rows."""

from collections.abc import Iterable

from ibisrack.room.messages import RankCounts, RuleCounts

OTHER = "other"
MAX_RANK_ROWS = 24  # Keeps a report with its frame below about 600 bytes compressed.
MAX_RULE_ROWS = 10


def _counts(row: RankCounts | RuleCounts) -> tuple[int, int, int, int]:
    return (row.offered, row.served, row.not_run, row.unknown)


def _add(totals: dict, key: tuple, row: RankCounts | RuleCounts) -> None:
    total = totals.get(key, (0, 0, 0, 0))
    totals[key] = tuple(a + b for a, b in zip(total, _counts(row), strict=True))


def _row_order(item: tuple[tuple, tuple[int, int, int, int]]) -> tuple:
    """Sort key: rows with the most refused or unknown calls first, then by demand."""
    key, (offered, _, not_run, unknown) = item
    return (-(not_run + unknown), -offered, key)


def add_ranks(rows: Iterable[RankCounts], limit: int = MAX_RANK_ROWS) -> tuple[RankCounts, ...]:
    """Sums rows by service and rank.

    Rows beyond the limit are added to a row named OTHER, so the sum over all rows stays exact.
    """
    totals: dict[tuple, tuple[int, int, int, int]] = {}
    remainder: dict[tuple, tuple[int, int, int, int]] = {}
    for row in rows:
        target = remainder if row.service == OTHER else totals
        _add(target, (row.service, row.rank), row)
    ordered = sorted(totals.items(), key=_row_order)
    for _, counts in ordered[limit:]:
        _add(remainder, (OTHER, OTHER), RankCounts(OTHER, OTHER, *counts))
    kept = ordered[:limit] + list(remainder.items())
    return tuple(RankCounts(*key, *counts) for key, counts in kept)


def add_rules(rows: Iterable[RuleCounts], limit: int = MAX_RULE_ROWS) -> tuple[RuleCounts, ...]:
    """Sums rows by line and keeps those with the most refused or unknown calls, then by demand."""
    totals: dict[tuple, tuple[int, int, int, int]] = {}
    for row in rows:
        _add(totals, (row.line,), row)
    ordered = sorted(totals.items(), key=_row_order)
    return tuple(RuleCounts(*key, *counts) for key, counts in ordered[:limit])
