"""Formatting of plain text for terminals."""

from collections.abc import Iterable


def format_table(rows: Iterable[tuple[str, ...]]) -> list[str]:
    """Formats rows of cells as lines with left-aligned columns."""
    rows = [tuple(row) for row in rows]
    if not rows:
        return []
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return ["  ".join(c.ljust(w) for c, w in zip(r, widths, strict=True)).rstrip() for r in rows]


def replace_unprintable(text: str) -> str:
    """Replaces unprintable characters, so that data from a node cannot control the terminal."""
    return "".join(char if char.isprintable() else "\N{REPLACEMENT CHARACTER}" for char in text)
