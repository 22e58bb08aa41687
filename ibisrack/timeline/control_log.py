"""Writes control events of the timeline to the log, one JSON line each.

Finished calls are not logged: at 140 calls a second, logging them would cost more than a node's
control work.  Member changes are not logged either: a restart of the fleet would write one line for
each pair of nodes.  The timeline has both.
Events hold only names, revisions and faults, so no secret of a caller reaches the log.
"""

import logging
from functools import singledispatch

import attrs

from ibisrack.timeline.events import CallFinished, Event, MemberChanged
from ibisrack.timeline.log import Entry

_LOGGER = logging.getLogger("ibisrack.timeline")


@singledispatch
def is_logged(event: Event) -> bool:
    """Returns whether events of this class are written to the log."""
    return True


@is_logged.register
def _(event: CallFinished) -> bool:
    return False


@is_logged.register
def _(event: MemberChanged) -> bool:
    return False


def log_control_event(entry: Entry) -> None:
    """Logs the entry of a control event; entries of other events are skipped."""
    if not is_logged(entry.event) or not _LOGGER.isEnabledFor(logging.INFO):
        return
    fields = {
        "node_id": entry.node_id,
        "wall_ms": entry.stamp.wall_ms,
        "counter": entry.stamp.counter,
        "event": attrs.asdict(entry.event),
    }
    _LOGGER.info(entry.kind, extra=fields)
