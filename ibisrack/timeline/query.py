"""Filters of events, on the node that holds them and in the tool that asks for them.

A node filters before it encodes: its time line holds thousands of calls, and a tool that asks for
one call id at every node must not make each of them send everything.
"""

from collections.abc import Iterable, Mapping
from functools import singledispatch
from typing import Any, Protocol, TypeVar

import attrs

from ibisrack.errors import RequestError

MAX_REVISION = 2**63 - 1
_MAX_CHARS = 200


class Stamped(Protocol):
    """An event with its kind and process, as an Entry of a node or a Record of another process."""

    node_id: str
    kind: str
    event: Any


S = TypeVar("S", bound=Stamped)


@singledispatch
def field_of(event: object, name: str) -> Any:
    """Returns a field of an event, None when it has none of this name."""
    return getattr(event, name, None)


@field_of.register
def _(event: dict, name: str) -> Any:
    return event.get(name)


@attrs.frozen
class EventFilter:
    """Which events to keep; an empty field keeps all.

    Attributes:
      revision: Revision that the event mentions.
      call_id: Identity of a call.
      node_id: Process that recorded the event, or that the event is about.
      kind: Name of the event class, in any case.
      limit: Number of the newest events, 0 for all.
    """

    revision: int | None = None
    call_id: str = ""
    node_id: str = ""
    kind: str = ""
    limit: int = 0

    def keeps(self, record: Stamped) -> bool:
        """Tells whether an event passes the filter."""
        event = record.event
        return (
            (self.revision is None or self.revision in _revisions(event))
            and (not self.call_id or field_of(event, "call_id") == self.call_id)
            and (not self.node_id or self.node_id in (record.node_id, field_of(event, "node_id")))
            and (not self.kind or record.kind.lower() == self.kind.lower())
        )


def _revisions(event: Any) -> tuple[Any, ...]:
    names = ("revision", "previous_revision", "in_force_revision")
    return tuple(field_of(event, name) for name in names)


def select(records: Iterable[S], event_filter: EventFilter) -> list[S]:
    """Returns the events that pass the filter, the newest ones when it has a limit."""
    kept = [record for record in records if event_filter.keeps(record)]
    return kept[-event_filter.limit :]


def to_query(event_filter: EventFilter) -> dict[str, str]:
    """Returns a filter as query parameters of GET /timeline."""
    values = attrs.asdict(event_filter)
    return {name: str(value) for name, value in values.items() if value not in (None, "", 0)}


def _number(name: str, text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 19 or int(text) > MAX_REVISION:
        raise RequestError(f"{name} must be a whole number")
    return int(text)


def from_query(query: Mapping[str, str]) -> EventFilter:
    """Reads a filter from query parameters.

    Raises:
      RequestError: A parameter is unknown or malformed.
    """
    known = [field.name for field in attrs.fields(EventFilter)]
    values: dict[str, Any] = {}
    for name, text in query.items():
        if name not in known:
            raise RequestError(f"unknown parameter; known: {', '.join(known)}")
        if len(text) > _MAX_CHARS:
            raise RequestError(f"{name} has more than {_MAX_CHARS} characters")
        values[name] = _number(name, text) if name in ("revision", "limit") else text
    return EventFilter(**values)
