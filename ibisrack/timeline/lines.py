"""Reads log lines of processes as records of a time line."""

from collections.abc import Iterable
from datetime import datetime
from typing import Any

import msgspec

from ibisrack.timeline.clock import HybridClock
from ibisrack.timeline.merge import Record

REQUEST_ID = "request_id"  # Field of the lines that are about a request.
_PLACE = frozenset(("timestamp", "node", "message", "levelname", "name"))


def read_lines(lines: Iterable[str], source: str) -> list[Record]:
    """Returns the records of log lines; what is not a log line is passed over.

    Args:
      lines: The lines of one process, in their order.
      source: Name for a process whose lines don't say which one it is.
    """
    clock = HybridClock()  # Keeps the order of the lines where the wall clock was set back.
    return [r for line in lines if (r := _record(line, clock, source)) is not None]


def _record(line: str, clock: HybridClock, source: str) -> Record | None:
    try:
        fields: dict[str, Any] = msgspec.json.decode(line, type=dict[str, Any])
        moment = datetime.fromisoformat(fields["timestamp"])
        kind = str(fields["message"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
    event = {name: value for name, value in fields.items() if name not in _PLACE}
    node_id = str(fields.get("node", source))
    return Record(clock.tick(int(moment.timestamp() * 1000)), node_id, kind, event)
