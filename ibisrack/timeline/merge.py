"""Merges the timelines of several processes and traces one call through them.

The functions are pure; other modules fetch, decode and print the timelines.
"""

from collections.abc import Iterable
from heapq import merge as merge_sorted
from typing import Any

import attrs

from ibisrack.timeline.clock import Timestamp
from ibisrack.timeline.events import CallFinished

_CALL_KIND = CallFinished.__name__


@attrs.frozen
class Record:
    """An event reported by another process.

    Attributes:
      stamp: Position in the order of events.
      node_id: Process that recorded the event.
      kind: Name of the event class.
      event: The fields of the event, also of kinds that this program does not know.
    """

    stamp: Timestamp
    node_id: str
    kind: str
    event: dict[str, Any]


@attrs.frozen
class CallTrace:
    """One call as seen in the timelines; unknown texts are empty.

    Attributes:
      call_id: Id of the call.
      ingress_node: Node that received the call from the caller.
      owner_node: Node beside the upstream that the call was sent to.
      service: Service of the route.
      rank: Rank of the call.
      revision: Revision of the rules that applied.
      rule_line: Line of the route in the rules file, 0 when none applied.
      requester: Person who requested the route.
      outcome: done, not-run or unknown.
      reason: Reason code of a refusal or failure.
      duration_ms: Time that the call spent at the ingress node.
    """

    call_id: str
    ingress_node: str
    owner_node: str
    service: str
    rank: str
    revision: int
    rule_line: int
    requester: str
    outcome: str
    reason: str
    duration_ms: float


def _sort_key(record: Record) -> tuple[int, int, str]:
    return (*record.stamp.sort_key, record.node_id)


def merge(timelines: Iterable[Iterable[Record]]) -> list[Record]:
    """Merges timelines by timestamp; equal timestamps are ordered by node id."""
    return list(merge_sorted(*(sorted(t, key=_sort_key) for t in timelines), key=_sort_key))


def trace(records: Iterable[Record], call_id: str) -> tuple[CallTrace, ...]:
    """Returns one trace for each ingress event of a call id.

    A call keeps its id through a chain of services, so a chain gives one trace for each hop.  An
    owner event without a matching ingress event gives a trace without an ingress node.

    Args:
      records: Merged timelines, in order.
      call_id: Id of the call.
    """
    events = [r for r in records if r.kind == _CALL_KIND and r.event.get("call_id") == call_id]
    ingress_events = [r for r in events if r.event.get("role") == "ingress"]
    owner_events = [r for r in events if r.event.get("role") == "owner"]
    traces = []
    for record in ingress_events:
        owner_event = _find_owner_event(record, owner_events)
        if owner_event in owner_events:
            owner_events.remove(owner_event)
        traces.append(_build_trace(record, record.node_id, owner_event))
    traces += [_build_trace(record, "", record) for record in owner_events]
    return tuple(traces)


def _find_owner_event(ingress_event: Record, owner_events: list[Record]) -> Record | None:
    """Returns the owner event that matches an ingress event, the one of the last attempt.

    A call that the ingress node answered itself has no owner event; its ingress event is returned.
    """
    peer = ingress_event.event.get("peer")
    if peer == ingress_event.node_id:
        return ingress_event
    route = (ingress_event.event.get("service"), ingress_event.event.get("rule_line"))
    matching = [
        o for o in owner_events if (o.event.get("service"), o.event.get("rule_line")) == route
    ]
    if peer:
        matching = [o for o in matching if o.node_id == peer]
    return matching[-1] if matching else None


def _build_trace(record: Record, ingress_node: str, owner_event: Record | None) -> CallTrace:
    event = record.event
    return CallTrace(
        call_id=str(event.get("call_id", "")),
        ingress_node=ingress_node,
        owner_node=owner_event.node_id if owner_event else str(event.get("peer", "")),
        service=str(event.get("service", "")),
        rank=str(event.get("rank", "")),
        revision=_number_or_zero(event.get("revision")),
        rule_line=_number_or_zero(event.get("rule_line")),
        requester=str(event.get("requester", "")),
        outcome=str(event.get("outcome", "")),
        reason=str(event.get("reason", "")),
        duration_ms=float(_number_or_zero(event.get("duration_ms"))),
    )


def _number_or_zero(value: Any) -> Any:
    return value if isinstance(value, int | float) else 0
