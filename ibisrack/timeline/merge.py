"""Merges the time lines of several processes and follows one call.

The functions are pure; fetching, decoding and printing are duties of other modules.
"""

from collections.abc import Iterable
from heapq import merge as merge_sorted
from typing import Any

import attrs

from ibisrack.timeline.clock import Timestamp
from ibisrack.timeline.events import CallFinished

_CALL = CallFinished.__name__


@attrs.frozen
class Record:
    """An event as another process reported it.

    Attributes:
      stamp: Place in the order of events.
      node_id: Process that recorded the event.
      kind: Name of the event class.
      event: The fields of the event; kinds that this program does not know are kept as they are.
    """

    stamp: Timestamp
    node_id: str
    kind: str
    event: dict[str, Any]


@attrs.frozen
class CallTrace:
    """What the time lines tell of one call; empty texts are not known.

    Attributes:
      call_id: Identity of the call.
      ingress_node: Node that took the call from the caller.
      owner_node: Node beside the upstream that the call was sent to.
      service: Service of the route.
      rank: Rank of the call.
      revision: Revision of the rules that applied.
      rule_line: Line of the route in the rules file, 0 when none applied.
      requester: Person who asked for the route.
      outcome: done, not-run or unknown.
      reason: Reason code of a refusal or failure.
      duration_ms: Time at the ingress node.
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


def _order(record: Record) -> tuple[int, int, str]:
    return (*record.stamp.order, record.node_id)


def merge(timelines: Iterable[Iterable[Record]]) -> list[Record]:
    """Merges time lines in the order of their clocks; the node id orders equal stamps."""
    return list(merge_sorted(*(sorted(t, key=_order) for t in timelines), key=_order))


def trace(records: Iterable[Record], call_id: str) -> tuple[CallTrace, ...]:
    """Follows one call; each ingress event of the call id gives one trace.

    A call id stays the same through a chain of services, so a chain gives a trace for each hop. An
    attempt whose caller-side event is missing gives a trace without an ingress node.

    Args:
      records: Merged time lines, in order.
      call_id: Identity of the call.
    """
    events = [r for r in records if r.kind == _CALL and r.event.get("call_id") == call_id]
    ingress = [r for r in events if r.event.get("role") == "ingress"]
    owners = [r for r in events if r.event.get("role") == "owner"]
    traces = []
    for record in ingress:
        owner = _owner_of(record, owners)
        if owner in owners:
            owners.remove(owner)
        traces.append(_trace(record, record.node_id, owner))
    traces += [_trace(record, "", record) for record in owners]
    return tuple(traces)


def _owner_of(ingress: Record, owners: list[Record]) -> Record | None:
    """Returns the owner's event of an ingress event; the last one is that of the last attempt."""
    peer = ingress.event.get("peer")
    if peer == ingress.node_id:
        return ingress
    place = (ingress.event.get("service"), ingress.event.get("rule_line"))
    found = [o for o in owners if (o.event.get("service"), o.event.get("rule_line")) == place]
    if peer:
        found = [o for o in found if o.node_id == peer]
    return found[-1] if found else None


def _trace(record: Record, ingress_node: str, owner: Record | None) -> CallTrace:
    event = record.event
    return CallTrace(
        call_id=str(event.get("call_id", "")),
        ingress_node=ingress_node,
        owner_node=owner.node_id if owner else str(event.get("peer", "")),
        service=str(event.get("service", "")),
        rank=str(event.get("rank", "")),
        revision=_number(event.get("revision")),
        rule_line=_number(event.get("rule_line")),
        requester=str(event.get("requester", "")),
        outcome=str(event.get("outcome", "")),
        reason=str(event.get("reason", "")),
        duration_ms=float(_number(event.get("duration_ms"))),
    )


def _number(value: Any) -> Any:
    return value if isinstance(value, int | float) else 0
