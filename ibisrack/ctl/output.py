"""What a command prints: text for people, JSON for programs, and an exit code."""

from collections.abc import Iterable
from typing import Any

import attrs
import msgspec

from ibisrack.bin.common import EXIT_OK


@attrs.frozen
class Result:
    """The result of a command.

    Attributes:
      lines: Text for people.
      data: The same for programs; it is printed as JSON.
      exit_code: Exit code of the process.
      errors: Problems, for standard error.
      json_lines: Whether the data is a list that is printed one element a line.
    """

    lines: tuple[str, ...]
    data: Any
    exit_code: int = EXIT_OK
    errors: tuple[str, ...] = ()
    json_lines: bool = False

    def text(self, as_json: bool) -> str:
        """Returns what goes to standard output."""
        if not as_json:
            return "\n".join(self.lines)
        if self.json_lines:
            return "\n".join(msgspec.json.encode(item).decode() for item in self.data)
        return msgspec.json.format(msgspec.json.encode(self.data), indent=2).decode()


def table(rows: Iterable[tuple[str, ...]]) -> list[str]:
    """Aligns rows of texts in columns."""
    rows = [tuple(row) for row in rows]
    if not rows:
        return []
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return ["  ".join(c.ljust(w) for c, w in zip(r, widths, strict=True)).rstrip() for r in rows]


def printable(text: str) -> str:
    """Replaces control characters, so that data of a node can't steer the terminal."""
    return "".join(char if char.isprintable() else "\N{REPLACEMENT CHARACTER}" for char in text)
