"""The record of a script: what was sent, answered and run, one line each."""

import time
from pathlib import Path

import attrs


@attrs.define(eq=False)
class Record:
    """Writes the lines of ``record.txt``.

    Attributes:
      path: The file.
      started_at_s: Monotonic time of its first line.
    """

    path: Path
    started_at_s: float = attrs.field(factory=time.monotonic)
    _lines: list[str] = attrs.field(factory=list)

    def write(self, kind: str, **fields: object) -> None:
        """Adds a line with the time since the start in seconds."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{self.now_s():8.3f} {kind} {text}".rstrip())

    def now_s(self) -> float:
        """Returns the time since the start."""
        return time.monotonic() - self.started_at_s

    def save(self) -> None:
        """Writes all lines to the file."""
        self.path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
