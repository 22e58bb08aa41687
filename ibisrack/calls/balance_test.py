"""Tests of the choice of instances."""

from collections import Counter
from random import Random

from ibisrack.calls.balance import (
    AVOIDANCE_S,
    REPORT_DECAY_S,
    LoadView,
    choose_instance,
    eligible_instances,
)
from ibisrack.calls.messages import LoadReport
from ibisrack.calls.outcomes import Reason
from ibisrack.membership.records import Liveness
from ibisrack.testing.fixtures import member
from ibisrack.testing.functions import function_tests

KIND = ("notice-desk", "lookup")
MEMBERS = tuple(member(name) for name in "abc")


def choices(view: LoadView, members=MEMBERS, now_s=0.0, zone="z") -> Counter:
    """Returns how often each instance is chosen in 300 calls that leave no trace."""
    rng = Random(1)
    candidates = eligible_instances(members, view, frozenset(), now_s)
    return Counter(choose_instance(candidates, zone, view, rng, now_s).node_id for _ in range(300))


def test_the_most_loaded_instance_gets_nothing_until_its_report_ages():
    """Guards against stale reports that keep an instance idle for ever."""
    view = LoadView()
    view.record_load("a", LoadReport(6, 9, 6), 0.0)
    assert choices(view)["a"] == 0
    assert choices(view, now_s=REPORT_DECAY_S)["a"] > 50


def test_own_calls_in_flight_count_at_once():
    """Guards against a herd that trusts an old report of an idle instance."""
    view = LoadView()
    for name in "abc":
        view.record_load(name, LoadReport(0, 0, 6), 0.0)
    for _ in range(3):
        view.record_sent("b")
    assert choices(view)["b"] == 0
    for _ in range(3):
        view.record_end("b")
    assert choices(view)["b"] > 50


def test_a_slow_instance_with_a_pleasant_report_is_left_alone():
    """Guards against misleading load reports and cold instances."""
    view = LoadView()
    for _ in range(20):
        for name in "abc":
            view.record_load(name, LoadReport(0, 0, 6), 0.0)
            view.record_answer(name, KIND, 0.5 if name == "c" else 0.02, 0.0)
    assert choices(view)["c"] == 0


def test_an_instance_that_fails_fast_is_not_taken_for_a_quick_one():
    """Guards against a black hole: failures are often faster than answers."""
    view = LoadView()
    for _ in range(3):
        view.record_failure("a", 0.0)
    assert choices(view)["a"] == 0


def test_what_this_node_saw_comes_before_the_member_table():
    """Guards against calls to an instance that refused or was not reached a moment ago."""
    view = LoadView()
    view.record_refusal("a", Reason.UPSTREAM_UNREACHABLE, 0.0)
    assert choices(view)["a"] == 0
    assert choices(view, now_s=AVOIDANCE_S[Reason.UPSTREAM_UNREACHABLE])["a"] > 0


def test_the_last_instance_is_tried_even_when_avoided():
    """Guards against refusing calls because of one short fault of the only instance."""
    view = LoadView()
    view.record_refusal("a", Reason.SHED, 0.0)
    assert choices(view, MEMBERS[:1])["a"] == 300


def test_leaving_dead_and_tried_instances_are_never_chosen():
    """Guards against new work on a leaving instance."""
    members = (
        member("a", leaving=True),
        member("b", liveness=Liveness.DEAD),
        member("c"),
    )
    assert eligible_instances(members, LoadView(), frozenset("c"), 0.0) == []


def test_the_own_zone_comes_first_until_its_slots_are_taken():
    """Guards against calls between zones without need, and against waiting in a full zone."""
    members = (member("a"), member("far", zone="y"))
    view = LoadView()
    view.record_load("a", LoadReport(5, 0, 6), 0.0)
    assert choices(view, members)["a"] == 300
    view.record_load("a", LoadReport(6, 6, 6), 0.0)
    view.record_load("far", LoadReport(1, 0, 6), 0.0)
    assert choices(view, members)["far"] == 300


load_tests = function_tests(__name__)
