"""The result of a command: text for people, JSON for programs, and an exit code."""

from typing import Any

import attrs
import msgspec

from ibisrack.bin.common import EXIT_OK


@attrs.frozen
class Result:
    """The result of a command.

    Attributes:
      lines: Lines of text for people.
      data: The same content for programs, printed as JSON.
      exit_code: Exit code of the process.
      errors: Error messages for standard error.
      json_lines: Whether data is a list that is printed as one JSON element per line.
    """

    lines: tuple[str, ...]
    data: Any
    exit_code: int = EXIT_OK
    errors: tuple[str, ...] = ()
    json_lines: bool = False

    def text(self, as_json: bool) -> str:
        """Returns the text for standard output."""
        if not as_json:
            return "\n".join(self.lines)
        if self.json_lines:
            return "\n".join(msgspec.json.encode(item).decode() for item in self.data)
        return msgspec.json.format(msgspec.json.encode(self.data), indent=2).decode()
