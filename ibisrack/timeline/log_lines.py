"""Converts the log lines of a process to timeline records."""

from collections.abc import Iterable
from datetime import datetime
from typing import Any

import msgspec

from ibisrack.timeline.clock import HybridClock
from ibisrack.timeline.merge import Record

REQUEST_ID_FIELD = "request_id"  # Present in log lines about a request.
_NON_EVENT_FIELDS = frozenset(("timestamp", "node", "message", "levelname", "name"))


def read_log_lines(lines: Iterable[str], source: str) -> list[Record]:
    """Returns the records of log lines; text that is not a JSON log line is skipped.

    Args:
      lines: The lines of one process, in the order in which they were written.
      source: Node id for lines that don't name their node.
    """
    clock = HybridClock()  # Keeps the order of lines when the wall clock was set back.
    return [record for line in lines if (record := _parse_line(line, clock, source)) is not None]


def _parse_line(line: str, clock: HybridClock, source: str) -> Record | None:
    try:
        fields: dict[str, Any] = msgspec.json.decode(line, type=dict[str, Any])
        logged_at = datetime.fromisoformat(fields["timestamp"])
        kind = str(fields["message"])
        node_id = str(fields.get("node", source))
    except Exception:  # No list of exceptions covers all text, such as deep nesting.
        return None
    event = {name: value for name, value in fields.items() if name not in _NON_EVENT_FIELDS}
    return Record(clock.tick(int(logged_at.timestamp() * 1000)), node_id, kind, event)
