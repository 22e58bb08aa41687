"""Tests of status reports, zone summaries, call counters and the fleet view."""

from random import Random

import ibisrack.room.handlers  # noqa: F401 (registers the handlers)
from ibisrack.calls.outcomes import Outcome
from ibisrack.clocks import Instant
from ibisrack.errors import MessageError
from ibisrack.exchange.dispatch import handle
from ibisrack.exchange.messages import Hello
from ibisrack.membership.records import Liveness
from ibisrack.room.counters import CallCounters
from ibisrack.room.fleet import fleet_view
from ibisrack.room.messages import RankCounts, RefusedVersion, StatusReport, WantSummaries
from ibisrack.room.reports import RoomState
from ibisrack.room.status import ReportSchedule, status_report
from ibisrack.room.sums import OTHER, add_ranks
from ibisrack.testing.fixtures import bare_node, member
from ibisrack.testing.functions import function_tests
from ibisrack.timeline.clock import Timestamp
from ibisrack.versions.chunks import VersionId

V1, V2 = VersionId(1, b"1" * 16), VersionId(2, b"2" * 16)
NOW = Instant(100.0, 1_000)


def _report(node_id: str, **fields) -> StatusReport:
    defaults = {"state": "serving", "in_force": V2, "staged": None, "refused": None}
    return StatusReport(**{"node_id": node_id, "reported_at_ms": 5, **defaults, **fields})


def _room(*reports: StatusReport, at_s: float = 100.0) -> RoomState:
    room = RoomState("z")
    for report in reports:
        assert room.store_report(report, at_s)
    return room


def test_each_straggler_is_listed_with_its_cause():
    """Guards against a straggler that is missing from the list or listed with a wrong cause."""
    members = [member(n) for n in ("behind", "good", "late", "new", "no", "wakes")]
    members += [member("dead", liveness=Liveness.DEAD), member("slow", liveness=Liveness.SUSPECT)]
    refusal = RefusedVersion(V2, ("rules:7: no such rank",))
    room = _room(
        _report("good"),
        _report("behind", in_force=V1),
        _report("no", in_force=V1, refused=refusal),
        _report("wakes", state="resuming"),
    )
    room.store_report(_report("late"), 40.0)
    room.summarize(member("good"), members, 100.0)
    (summary,) = room.summaries(100.0)
    found = {s.node_id: (s.cause, s.detail) for s in summary.stragglers}
    assert found.keys() == {"behind", "dead", "late", "new", "no", "slow", "wakes"}
    assert found["no"] == ("refused", "rules:7: no such rank")
    assert found["late"][0] == found["dead"][0] == "cut off"
    assert found["slow"][0] == found["wakes"][0] == "asleep"
    assert found["new"][0] == "starting"
    assert found["behind"][0] == "behind"


def test_listed_stragglers_are_bounded_and_all_are_counted():
    """Guards against a summary that grows with the number of stragglers."""
    members = [member(f"n{i:03d}") for i in range(100)]
    room = RoomState("z")
    room.summarize(members[0], members, 1.0)
    (summary,) = room.summaries(1.0)
    assert len(summary.stragglers) == 20
    assert summary.straggler_count == 100


def test_late_report_does_not_replace_a_newer_one():
    """Guards against reordered reports that bring back an old state."""
    room = _room(_report("a", reported_at_ms=9))
    assert not room.store_report(_report("a", in_force=V1, reported_at_ms=8), 101.0)
    assert room.accepted_version() == V2


def test_report_with_an_earlier_clock_is_stored_after_the_reorder_limit():
    """Guards against a replaced host whose reports are dropped because its clock is behind."""
    room = _room(_report("a", reported_at_ms=9))
    assert room.store_report(_report("a", reported_at_ms=8), 200.0)


def test_summaries_age_at_each_holder_and_only_fresher_ones_are_sent():
    """Guards against an old summary that counts as fresh after it was forwarded."""
    room = _room(_report("a"))
    room.summarize(member("a"), [member("a")], 100.0)
    (sent,) = room.summaries(103.0)
    assert sent.age_s == 3.0
    other = RoomState("y")
    assert other.store_summary(sent, 50.0)
    (held,) = other.summaries(52.0)
    assert held.age_s == 5.0
    assert not other.store_summary(held, 52.0)
    assert room.fresher_summaries(WantSummaries({"z": 5.0}, 4.0), 102.0) is None
    assert room.fresher_summaries(WantSummaries({"z": 7.0}, 4.0), 102.0)
    assert other.requester_is_fresher(WantSummaries({"z": 0.0}, 4.0), 52.0)


def test_fleet_view_lists_zones_without_a_summary():
    """Guards against a zone that is missing from the view while its summaries do not arrive."""
    room = _room(_report("a"))
    room.summarize(member("a"), [member("a")], 100.0)
    view = fleet_view("a", room, [member("a"), member("b", zone="y")], 100.0)
    assert [(z.zone, z.members, z.age_s) for z in view.zones] == [("y", 1, None), ("z", 1, 0.0)]
    assert view.accepted.revision == 2


def test_report_for_another_node_is_refused():
    """Guards against a node that overwrites the report of another one."""
    node = bare_node("own")
    peer = Hello(member("a"), Timestamp(1, 0))
    try:
        handle(_report("b"), node, peer, NOW)
    except MessageError:
        return
    raise AssertionError("the report was accepted")


def test_changes_go_to_every_collector_and_periodic_reports_to_one_in_turn():
    """Guards against collectors that miss a change or receive every periodic report."""
    node, schedule = bare_node("own"), ReportSchedule(Random(1))
    collectors = ("r1", "r2")
    assert schedule.due(node, collectors, 100.0) in (collectors, ("r2",))
    due = [schedule.due(node, collectors, 100.0 + i * 0.5) for i in range(1, 120)]
    assert due.count(collectors) == 1
    singles = [s[0] for s in due if len(s) == 1]
    assert 4 <= len(singles) <= 6
    assert set(singles) == {"r1", "r2"}
    node.fire_trigger("join", NOW)
    later = [schedule.due(node, collectors, 160.0 + i * 0.5) for i in range(3)]
    assert collectors in later


def test_counts_leave_the_window_after_a_minute():
    """Guards against counts that never expire."""
    counters = CallCounters()
    counters.observe("s", "bulk", 4, Outcome.DONE, 10.0)
    counters.observe("s", "bulk", 4, Outcome.NOT_RUN, 40.0)
    assert counters.ranks(41.0) == (RankCounts("s", "bulk", 2, 1, 1, 0),)
    assert counters.ranks(80.0) == (RankCounts("s", "bulk", 1, 0, 1, 0),)
    assert counters.rules(200.0) == ()


def test_rows_beyond_the_limit_are_part_of_the_sum():
    """Guards against calls that are lost when rows are cut."""
    rows = [RankCounts(f"s{i}", "r", i, i, 0, 0) for i in range(50)]
    summed = add_ranks(add_ranks(rows, 10), 5)
    assert len(summed) == 6
    assert summed[-1].service == OTHER
    assert sum(row.offered for row in summed) == sum(range(50))


def test_report_has_a_bounded_number_of_rows():
    """Guards against reports that grow with the number of ranks and rules."""
    node = bare_node("own")
    for number in range(40):
        node.counters.observe(f"s{number}", "r", number, Outcome.DONE, 99.0)
    report = status_report(node, NOW)
    assert len(report.ranks) == 25
    assert len(report.rules) == 10


load_tests = function_tests(__name__)
