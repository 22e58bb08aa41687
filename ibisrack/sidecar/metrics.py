"""Metrics of a sidecar; docs/metrics.md lists all of them."""

import time
from collections.abc import Iterator

from aioprometheus import Registry, render

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.memory.account import Kind
from ibisrack.metrics.exposition import (
    Metric,
    call_metrics,
    load_metrics,
    platform_read_metrics,
    to_registry,
    unlabelled,
)
from ibisrack.sidecar.node import SidecarNode
from ibisrack.suspects.table import Blocked

LINK_REASONS = (Reason.LINK_FULL, Reason.UPLINK_FULL)


def all_metrics(node: SidecarNode) -> Iterator[Metric]:
    """Returns all metrics except the histogram."""
    yield from call_metrics(node.tally)
    yield from _pipelining_metrics(node)
    yield from load_metrics(node.instance_runner.gate)
    yield from _limit_metrics(node)
    yield from _cold_metrics(node)
    yield from _crash_metrics(node)
    yield from _suspect_metrics(node)
    yield from _budget_metrics(node)
    yield from _capacity_metrics(node)
    yield from _hedging_metrics(node)
    yield from _registry_metrics(node)
    yield from _link_metrics(node)
    yield from _memory_metrics(node)
    yield from platform_read_metrics(node.tally)
    yield from _processor_metrics(node)


def _pipelining_metrics(node: SidecarNode) -> Iterator[Metric]:
    recorder = node.pipelining
    yield Metric(
        "ibis_pipelined_early_starts_total",
        "Requests that started before their turn.",
        True,
        unlabelled(recorder.early_starts),
    )
    yield Metric(
        "ibis_pipelined_cancelled_total",
        "Those cancelled because their connection closed.",
        True,
        unlabelled(recorder.cancelled),
    )


def _limit_metrics(node: SidecarNode) -> Iterator[Metric]:
    limit_per_s = node.instance_runner.notices.limit_per_s
    # An instance without a limit has no sample.
    samples = () if limit_per_s is None else unlabelled(limit_per_s)
    yield Metric("ibis_instance_limit_per_second", "Limit that the instance names.", False, samples)


def _cold_metrics(node: SidecarNode) -> Iterator[Metric]:
    cold_starts, now_s = node.instance_runner.cold_starts, read_monotonic_s()
    free_starts, limit = cold_starts.window.free_starts(now_s), cold_starts.slow_start.running_limit
    # Without a bound or a limit there is no sample.
    free = () if cold_starts.paced_per_s is None else unlabelled(free_starts)
    yield Metric("ibis_cold_free_starts", "Starts that the bound allows now.", False, free)
    running = () if limit is None else unlabelled(limit)
    yield Metric("ibis_slow_start_limit", "Requests at once after a start.", False, running)
    events = tuple(({"event": event}, count) for event, count in cold_starts.events.items())
    yield Metric("ibis_cold_events_total", "Events after which it may be cold.", True, events)
    checks = unlabelled(cold_starts.checks)
    yield Metric("ibis_health_checks_total", "Health checks of the instance.", True, checks)
    refused = unlabelled(cold_starts.refused)
    yield Metric("ibis_cold_refusals_total", "Refused while it may be cold.", True, refused)


def _crash_metrics(node: SidecarNode) -> Iterator[Metric]:
    crashes = unlabelled(node.instance_runner.crash_detector.crashes)
    yield Metric("ibis_instance_crashes_total", "Crashes of the instance.", True, crashes)


def _suspect_metrics(node: SidecarNode) -> Iterator[Metric]:
    recorder = node.suspects.recorder
    verdicts = node.suspects.table.verdicts(read_monotonic_s())
    blocked = sum(isinstance(verdict, Blocked) for verdict in verdicts)
    suspects = (
        ({"verdict": "suspected"}, len(verdicts) - blocked),
        ({"verdict": "blocked"}, blocked),
    )
    yield Metric("ibis_suspects", "Requests that ran at crashes.", False, suspects)
    yield Metric(
        "ibis_request_blocks_total", "Requests blocked.", True, unlabelled(recorder.blocks)
    )
    yield Metric(
        "ibis_request_blocks_lifted_total",
        "Blocked requests that an instance answered.",
        True,
        unlabelled(recorder.lifted_blocks),
    )


def _budget_metrics(node: SidecarNode) -> Iterator[Metric]:
    retries_in_window = node.dispatcher.budget.retries_in_window(read_monotonic_s())
    samples = tuple(({"service": service}, count) for service, count in retries_in_window.items())
    yield Metric("ibis_repeats_in_window", "Repeats that count now.", False, samples)


def _capacity_metrics(node: SidecarNode) -> Iterator[Metric]:
    recorder = node.dispatcher.recorder
    refused = unlabelled(recorder.early_refusals)
    yield Metric("ibis_early_refusals_total", "Refused before all attempts.", True, refused)
    spared = unlabelled(recorder.spared_attempts)
    yield Metric("ibis_spared_attempts_total", "Attempts not made.", True, spared)
    returns = unlabelled(recorder.early_returns)
    yield Metric("ibis_early_returns_refused_total", "Came back too early.", True, returns)


def _hedging_metrics(node: SidecarNode) -> Iterator[Metric]:
    hedging = node.dispatcher.hedging
    sent, won = unlabelled(hedging.sent), unlabelled(hedging.won)
    cancelled = unlabelled(hedging.cancelled)
    yield Metric("ibis_hedges_total", "Second attempts while the first ran.", True, sent)
    yield Metric("ibis_hedges_won_total", "Those whose answer counted.", True, won)
    yield Metric("ibis_hedges_cancelled_total", "Those cancelled.", True, cancelled)


def _registry_metrics(node: SidecarNode) -> Iterator[Metric]:
    version, revision = node.configurations.version, node.view.revision
    age_s = read_monotonic_s() - node.view.confirmed_at_s
    known_instances = node.directory.all()
    instances = (
        ({"state": "ready"}, sum(i.ready for i in known_instances)),
        ({"state": "draining"}, sum(not i.ready for i in known_instances)),
    )
    yield Metric("ibis_configuration_version", "Version in force.", False, unlabelled(version))
    refused = unlabelled(float(node.content.latest_refused))
    yield Metric("ibis_configuration_refused", "Whether the latest was refused.", False, refused)
    current = node.configurations.current
    unknown_kinds = unlabelled(len(current.unknown_kinds) if current else 0)
    yield Metric(
        "ibis_configuration_unknown_kinds", "Kinds served at most once.", False, unknown_kinds
    )
    reported = unlabelled(node.latest_reported_version)
    yield Metric(
        "ibis_peer_configuration_version", "Latest version that peers report.", False, reported
    )
    yield Metric("ibis_registry_era", "Restores before the view.", False, unlabelled(revision.era))
    yield Metric(
        "ibis_registry_revision", "Revision of the view.", False, unlabelled(revision.number)
    )
    yield Metric("ibis_registry_age_seconds", "Since the last answer.", False, unlabelled(age_s))
    refused_deltas = unlabelled(node.tally.refused_deltas)
    yield Metric(
        "ibis_registry_deltas_refused_total", "Unusable changes of peers.", True, refused_deltas
    )
    yield Metric("ibis_instances", "Instances that are believed there.", False, instances)
    yield from _evacuation_metrics(node)
    yield Metric("ibis_ready", "Whether callers may come.", False, unlabelled(float(node.ready)))


def _evacuation_metrics(node: SidecarNode) -> Iterator[Metric]:
    directory = node.directory
    zones = unlabelled(len(directory.evacuated_zones))
    yield Metric("ibis_evacuated_zones", "Zones that get no requests.", False, zones)
    instances = unlabelled(sum(map(directory.is_evacuated, directory.all())))
    yield Metric("ibis_evacuated_instances", "Instances in these zones.", False, instances)


def _link_metrics(node: SidecarNode) -> Iterator[Metric]:
    open_links = sum(link.is_open for link in node.outgoing_links.values())
    losses = sum(link.losses for link in node.outgoing_links.values())
    yield Metric("ibis_links_open", "Links to other nodes.", False, unlabelled(open_links))
    yield Metric("ibis_links_lost_total", "Links that broke.", True, unlabelled(losses))
    backlog = unlabelled(node.pacer.backlog_s(read_monotonic_s()))
    yield Metric("ibis_link_backlog_seconds", "Time for what is to be sent.", False, backlog)
    refused = unlabelled(node.instance_runner.answer_room.refused)
    yield Metric("ibis_link_refused_submissions_total", "Without link time.", True, refused)
    by_reason = node.dispatcher.recorder.link_refusals
    samples = tuple(({"reason": str(reason)}, by_reason[reason]) for reason in LINK_REASONS)
    yield Metric("ibis_link_refused_requests_total", "Refused to callers.", True, samples)


def _memory_metrics(node: SidecarNode) -> Iterator[Metric]:
    limit, account = node.connection_limit, node.connection_limit.account
    bodies = node.instance_runner.bodies_in_flight
    limits = unlabelled(account.limit_bytes)
    yield Metric("ibis_memory_limit_bytes", "Limit of what is held.", False, limits)
    for name, help_text, is_counter, counts in (
        ("ibis_memory_held_bytes", "Held for others.", False, account.held_by_kind),
        ("ibis_memory_refused_total", "Refused without room.", True, account.refused),
        ("ibis_memory_given_up_total", "Given up for others.", True, account.given_up),
    ):
        samples = tuple(({"kind": str(kind)}, counts[kind]) for kind in Kind)
        yield Metric(name, help_text, is_counter, samples)
    yield Metric("ibis_caller_connections", "Open now.", False, unlabelled(limit.open_connections))
    yield Metric(
        "ibis_caller_connections_limit", "Most open.", False, unlabelled(limit.max_connections)
    )
    yield Metric(
        "ibis_caller_connections_refused_total", "Closed at once.", True, unlabelled(limit.refused)
    )
    yield Metric(
        "ibis_instance_body_bytes", "Large bodies sent.", False, unlabelled(bodies.sent_bytes)
    )
    yield Metric(
        "ibis_instance_bodies_waiting", "Large bodies waiting.", False, unlabelled(bodies.waiting)
    )
    yield Metric(
        "ibis_instance_bodies_refused_total", "Without a turn.", True, unlabelled(bodies.refused)
    )


def _processor_metrics(node: SidecarNode) -> Iterator[Metric]:
    delay_s, processor_s = node.loop_delay.longest_s, time.process_time()
    yield Metric(
        "ibis_event_loop_delay_seconds", "Longest in a second.", False, unlabelled(delay_s)
    )
    yield Metric(
        "ibis_processor_seconds_total", "Used by this process.", True, unlabelled(processor_s)
    )


def collect(node: SidecarNode) -> Registry:
    """Returns a registry of the metrics library with the current values."""
    return to_registry(all_metrics(node), node.tally.durations)


def render_metrics(node: SidecarNode, accept: list[str]) -> tuple[bytes, dict[str, str]]:
    """Returns the metrics in the format that a scrape accepts, and the headers of its answer."""
    return render(collect(node), accept)
