"""Metrics of a node, collected when they are scraped.

Calls only increment plain integers.  The objects of the metrics library are created here on each
scrape, from the state that the slices keep anyway.  docs/metrics.md lists all metrics.
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
    """Returns the metrics of the versions in force and refused."""
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
    """Returns the counts of control events by kind, such as activated versions and pauses."""
    samples = tuple(({"kind": kind}, count) for kind, count in node.tally.events.items())
    yield Metric("ibis_events_total", "Control events of the time line.", True, samples)


def exchange_metrics(node: NodeState) -> Iterator[Metric]:
    """Returns the counts of the frames exchanged with peers."""
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
    """Returns the counts of members by liveness and of leaving members."""
    counts = Count(record.liveness for record in node.members.all())
    samples = tuple(({"state": state.name.lower()}, counts[state]) for state in Liveness)
    yield Metric("ibis_members", "Known nodes, this one included.", False, samples)
    leaving = sum(record.leaving for record in node.members.all())
    yield Metric(
        "ibis_members_leaving", "Known nodes that are leaving.", False, unlabelled(leaving)
    )


def all_metrics(node: NodeState, gate: Gate) -> Iterator[Metric]:
    """Returns all metrics except the histograms."""
    yield from call_metrics(node.tally)
    yield from load_metrics(gate)
    yield from version_metrics(node)
    yield from event_metrics(node)
    yield from exchange_metrics(node)
    yield from platform_read_metrics(node.tally)
    yield from member_metrics(node)


def collect(node: NodeState, gate: Gate) -> Registry:
    """Returns a registry of the metrics library with the current values.

    Args:
      node: The node's state.
      gate: Admission to the slots of the local upstream.
    """
    return to_registry(all_metrics(node, gate), node.tally.durations)
