"""Metrics of a node, collected when they are scraped.

Requests touch plain integers only; the objects of the metrics library are made here, once for each
scrape, from the state that the slices keep anyway.  docs/metrics.md lists every metric.
"""

from collections import Counter as Count
from collections.abc import Iterator

from aioprometheus import Registry

from ibisrack.calls.gate import Gate
from ibisrack.membership.records import Liveness
from ibisrack.metrics.exposition import (
    Metric,
    call_metrics,
    load_metrics,
    platform_read_metrics,
    to_registry,
    unlabelled,
)
from ibisrack.node.state import NodeState


def version_metrics(node: NodeState) -> Iterator[Metric]:
    """Versions in force, staged and refused."""
    state = node.versions.state()
    revision = state.in_force.revision if state.in_force else 0
    refused = node.versions.refused.version_id.revision if node.versions.refused else 0
    yield Metric(
        "ibis_revision_in_force", "Revision in force, 0: none.", False, unlabelled(revision)
    )
    yield Metric(
        "ibis_refused_revision", "Highest one refused, 0: none.", False, unlabelled(refused)
    )


def event_metrics(node: NodeState) -> Iterator[Metric]:
    """Control events by kind: versions staged, activated and refused, pauses, member changes."""
    samples = tuple(({"kind": kind}, count) for kind, count in node.tally.events.items())
    yield Metric("ibis_events_total", "Control events of the time line.", True, samples)


def exchange_metrics(node: NodeState) -> Iterator[Metric]:
    """Frames exchanged with peers."""
    traffic = node.traffic
    frames = (
        ({"direction": "sent"}, traffic.sent_frames),
        ({"direction": "received"}, traffic.received_frames),
    )
    sizes = (
        ({"direction": "sent"}, traffic.sent_bytes),
        ({"direction": "received"}, traffic.received_bytes),
    )
    yield Metric("ibis_exchange_frames_total", "Frames exchanged with peers.", True, frames)
    yield Metric("ibis_exchange_bytes_total", "Bytes of these frames.", True, sizes)


def member_metrics(node: NodeState) -> Iterator[Metric]:
    """Members by state."""
    counts = Count(record.liveness for record in node.members.all())
    samples = tuple(({"state": state.name.lower()}, counts[state]) for state in Liveness)
    yield Metric("ibis_members", "Known nodes, this one included.", False, samples)
    leaving = sum(record.leaving for record in node.members.all())
    yield Metric(
        "ibis_members_leaving", "Known nodes that are leaving.", False, unlabelled(leaving)
    )


def all_metrics(node: NodeState, gate: Gate) -> Iterator[Metric]:
    """Returns every metric but the histograms."""
    yield from call_metrics(node.tally)
    yield from load_metrics(gate)
    yield from version_metrics(node)
    yield from event_metrics(node)
    yield from exchange_metrics(node)
    yield from platform_read_metrics(node.tally)
    yield from member_metrics(node)


def collect(node: NodeState, gate: Gate) -> Registry:
    """Returns a registry with the present values.

    Args:
      node: The node's state.
      gate: Admission to the upstream beside the node.
    """
    return to_registry(all_metrics(node, gate), node.tally.durations)
