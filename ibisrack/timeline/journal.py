"""Writes control events of the time line to the log, one JSON line each.

Calls are not logged: at 140 calls a second they would cost more than the control work of a node.
Changes of members are not logged either: a fleet that restarts would write one line for each pair
of its nodes.  The time line has both.
Events carry names, revisions and faults only, so no secret of a caller reaches the log.
"""

import logging
from functools import singledispatch

import attrs

from ibisrack.timeline.events import CallFinished, Event, MemberChanged
from ibisrack.timeline.log import Entry

_LOGGER = logging.getLogger("ibisrack.timeline")


@singledispatch
def is_logged(event: Event) -> bool:
    """Tells whether events of this class go to the log."""
    return True


@is_logged.register
def _(event: CallFinished) -> bool:
    return False


@is_logged.register
def _(event: MemberChanged) -> bool:
    return False


def write_entry(entry: Entry) -> None:
    """Writes an entry to the log if its event is a control event."""
    if not is_logged(entry.event) or not _LOGGER.isEnabledFor(logging.INFO):
        return
    fields = {
        "node_id": entry.node_id,
        "wall_ms": entry.stamp.wall_ms,
        "counter": entry.stamp.counter,
        "event": attrs.asdict(entry.event),
    }
    _LOGGER.info(entry.kind, extra=fields)
