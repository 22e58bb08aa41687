"""Cost of the operators' tools at the target size: screen view, time line query, call counting."""

import msgspec

from bench.measures import Measure
from bench.timing import mean_s
from ibisrack.metrics.tally import Tally
from ibisrack.node.observe import observe
from ibisrack.room.counters import CallCounters
from ibisrack.room.fleet import FleetView, FleetZone, VersionNodes, VersionView
from ibisrack.room.messages import RankCounts, Straggler
from ibisrack.room.screen_view import PolledState, screen_view
from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.testing.fixtures import many_services_rules
from ibisrack.timeline.events import CallFinished, MemberChanged
from ibisrack.timeline.log import EventLog
from ibisrack.timeline.query import EventFilter, select

MEASURES = ("room_view_ms", "room_view_bytes", "timeline_call_query_ms", "observe_call_us")
ZONES = 12
NODES_PER_ZONE = 108
LOG_CAPACITY_EVENTS = 4096
STRAGGLER_DETAIL = "revision-6:9: service x is not declared (asked by J. Okafor)"
CALL_EVENT = CallFinished("c7", "ingress", "service", "r", 7, "Mei Tan", "done", "", "n2", 3, 4.5)


def _zone_view(number: int) -> FleetZone:
    stragglers = tuple(
        Straggler(f"n{number}-{i}", "refused", 5, STRAGGLER_DETAIL) for i in range(20)
    )
    versions = (VersionNodes(5, "d" * 32, NODES_PER_ZONE),)
    fields = (NODES_PER_ZONE, 3.0, 1.0, versions, {"serving": NODES_PER_ZONE}, NODES_PER_ZONE)
    return FleetZone(f"zone-{number:02d}", "region", "n", *fields, stragglers)


def _polled_state() -> PolledState:
    """Returns the state polled from a fleet of the target size that refuses an invalid version."""
    ranks = tuple(RankCounts(f"service-{i:04d}", "urgent", 9000, 8900, 100, 0) for i in range(24))
    zones = tuple(_zone_view(number) for number in range(ZONES))
    total = ZONES * NODES_PER_ZONE
    fleet = FleetView("n", VersionView(5, "d" * 32), total, total, zones, ranks, ())
    return PolledState(fleet, rules=parse_rule_set(many_services_rules(250)), rules_revision=5)


def _full_event_log() -> EventLog:
    log = EventLog("n1", LOG_CAPACITY_EVENTS)
    for number in range(LOG_CAPACITY_EVENTS):
        log.record(CALL_EVENT, number)
        log.record(MemberChanged(f"n{number}", "ALIVE", False, 1, 1), number)
    return log


def run() -> list[Measure]:
    """Measures each operation separately, in this process."""
    state, log = _polled_state(), _full_event_log()
    view_ms = 1000 * mean_s(lambda: screen_view(state, 15), 20)
    view_bytes = len(msgspec.json.encode(screen_view(state, 15)))
    query = EventFilter(call_id="none")
    query_ms = 1000 * mean_s(lambda: select(log.entries(), query), 20)
    tally, counters = Tally(), CallCounters()
    observe_us = 1e6 * mean_s(lambda: observe(CALL_EVENT, tally, counters, 1.0), 20_000)
    return [
        # The process of a screen assembles two views per second.
        Measure("room_view_ms", view_ms, "ms", at_most=100.0),
        Measure("room_view_bytes", view_bytes, "bytes", at_most=20_000),
        # The query blocks the event loop of a node, so calls wait for it.
        Measure("timeline_call_query_ms", query_ms, "ms", at_most=30.0),
        # At 140 calls per second, the bound is 0.7% of a core.
        Measure("observe_call_us", observe_us, "us", at_most=50.0),
    ]
