"""Event filters, applied by the nodes and again by ibisctl.

A node filters before it encodes: its timeline holds thousands of calls, and a query for one call id
goes to every node, which must not send its whole timeline.
"""

from collections.abc import Iterable, Mapping
from functools import singledispatch
from typing import Any, Protocol, TypeVar

import attrs

from ibisrack.decimals import parse_decimal
from ibisrack.errors import RequestError

MAX_REVISION = 2**63 - 1
_MAX_VALUE_CHARS = 200


class RecordedEvent(Protocol):
    """An event with its kind and process: an Entry on a node, a Record in ibisctl."""

    node_id: str
    kind: str
    event: Any


S = TypeVar("S", bound=RecordedEvent)


@singledispatch
def event_field(event: object, name: str) -> Any:
    """Returns a field of an event, None if the event lacks it."""
    return getattr(event, name, None)


@event_field.register
def _(event: dict, name: str) -> Any:
    return event.get(name)


@attrs.frozen
class EventFilter:
    """Selects events; an empty field selects all.

    Attributes:
      revision: Revision that the event mentions.
      call_id: Id of the call.
      node_id: Process that recorded the event, or that the event is about.
      kind: Name of the event class, compared without regard to case.
      limit: Maximum number of events, the newest ones; 0 for all.
    """

    revision: int | None = None
    call_id: str = ""
    node_id: str = ""
    kind: str = ""
    limit: int = 0

    def matches(self, record: RecordedEvent) -> bool:
        """Returns whether an event passes the filter."""
        event = record.event
        return (
            (self.revision is None or self.revision in _mentioned_revisions(event))
            and (not self.call_id or event_field(event, "call_id") == self.call_id)
            and (
                not self.node_id or self.node_id in (record.node_id, event_field(event, "node_id"))
            )
            and (not self.kind or record.kind.lower() == self.kind.lower())
        )


def _mentioned_revisions(event: Any) -> tuple[Any, ...]:
    names = ("revision", "previous_revision", "in_force_revision")
    return tuple(event_field(event, name) for name in names)


def select(records: Iterable[S], event_filter: EventFilter) -> list[S]:
    """Returns the events that pass the filter, only the newest ones if it has a limit."""
    selected = [record for record in records if event_filter.matches(record)]
    return selected[-event_filter.limit :]


def to_query(event_filter: EventFilter) -> dict[str, str]:
    """Encodes a filter as query parameters of GET /timeline."""
    values = attrs.asdict(event_filter)
    return {name: str(value) for name, value in values.items() if value not in (None, "", 0)}


def _parse_number(name: str, text: str) -> int:
    value = parse_decimal(text, MAX_REVISION)
    if value is None:
        raise RequestError(f"{name} must be a whole number")
    return value


def from_query(query: Mapping[str, str]) -> EventFilter:
    """Decodes a filter from query parameters of GET /timeline.

    Raises:
      RequestError: A parameter is unknown or malformed.
    """
    known = [field.name for field in attrs.fields(EventFilter)]
    values: dict[str, Any] = {}
    for name, text in query.items():
        if name not in known:
            raise RequestError(f"unknown parameter; known: {', '.join(known)}")
        if len(text) > _MAX_VALUE_CHARS:
            raise RequestError(f"{name} has more than {_MAX_VALUE_CHARS} characters")
        values[name] = _parse_number(name, text) if name in ("revision", "limit") else text
    return EventFilter(**values)
