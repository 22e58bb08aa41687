"""Bounded log of the recent events of one process, kept in memory.

Finished calls are far more frequent than other events and have a ring buffer of their own: in a
shared one, a busy node would lose its version history within seconds.
"""

from collections import deque
from functools import singledispatch

import attrs

from ibisrack.timeline.clock import HybridClock, Timestamp
from ibisrack.timeline.events import CallFinished, Event


@attrs.frozen
class Entry:
    """An event with its position in the timeline."""

    stamp: Timestamp
    node_id: str
    kind: str
    event: Event


@attrs.define
class EventLog:
    """Keeps the newest events of a process.

    Attributes:
      node_id: The process that the events belong to.
      capacity_events: Number of events that each ring buffer holds.
      clock: The clock that stamps the events.
      control_entries: Ring buffer of all events except finished calls.
      call_entries: Ring buffer of finished calls.
    """

    node_id: str
    capacity_events: int
    clock: HybridClock = attrs.field(factory=HybridClock)
    control_entries: deque[Entry] = attrs.field(init=False)
    call_entries: deque[Entry] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the ring buffers."""
        self.control_entries = deque(maxlen=self.capacity_events)
        self.call_entries = deque(maxlen=self.capacity_events)

    def record(self, event: Event, wall_ms: int) -> Entry:
        """Adds an event.

        Args:
          event: The event.
          wall_ms: The wall clock in milliseconds since the epoch.
        """
        entry = Entry(self.clock.tick(wall_ms), self.node_id, type(event).__name__, event)
        _buffer_for(event, self).append(entry)
        return entry

    def entries(self) -> list[Entry]:
        """Returns the kept entries in timeline order."""
        # Tuples compare ten times faster than Timestamps, and calls wait while this runs.
        return sorted(
            (*self.control_entries, *self.call_entries), key=lambda entry: entry.stamp.sort_key
        )


# A singledispatchmethod would build a new function at each use: about 10 us for every call.
@singledispatch
def _buffer_for(event: Event, log: EventLog) -> deque[Entry]:
    return log.control_entries


@_buffer_for.register
def _(event: CallFinished, log: EventLog) -> deque[Entry]:
    return log.call_entries
