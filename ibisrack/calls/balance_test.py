"""Tests of load balancing over instances."""

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
    """Returns how often each instance is chosen in 300 choices that do not change the view."""
    rng = Random(1)
    candidates = eligible_instances(members, view, frozenset(), now_s)
    return Counter(choose_instance(candidates, zone, view, rng, now_s).node_id for _ in range(300))


def test_most_loaded_instance_is_avoided_until_its_report_expires():
    """Guards against a stale report that keeps an instance idle forever."""
    view = LoadView()
    view.record_load("a", LoadReport(6, 9, 6), 0.0)
    assert choices(view)["a"] == 0
    assert choices(view, now_s=REPORT_DECAY_S)["a"] > 50


def test_own_calls_in_flight_count_immediately():
    """Guards against herding onto an instance whose last report says that it is idle."""
    view = LoadView()
    for name in "abc":
        view.record_load(name, LoadReport(0, 0, 6), 0.0)
    for _ in range(3):
        view.record_sent("b")
    assert choices(view)["b"] == 0
    for _ in range(3):
        view.record_end("b")
    assert choices(view)["b"] > 50


def test_slow_instance_that_reports_idle_is_avoided():
    """Guards against misleading load reports, such as those of cold instances."""
    view = LoadView()
    for _ in range(20):
        for name in "abc":
            view.record_load(name, LoadReport(0, 0, 6), 0.0)
            view.record_answer(name, KIND, 0.5 if name == "c" else 0.02, 0.0)
    assert choices(view)["c"] == 0


def test_instance_that_fails_fast_does_not_count_as_fast():
    """Guards against an instance that attracts calls because it fails faster than others answer."""
    view = LoadView()
    for _ in range(3):
        view.record_failure("a", 0.0)
    assert choices(view)["a"] == 0


def test_instance_is_avoided_for_a_time_after_a_refusal():
    """Guards against calls to an unreachable instance that its member record shows as alive."""
    view = LoadView()
    view.record_refusal("a", Reason.UPSTREAM_UNREACHABLE, 0.0)
    assert choices(view)["a"] == 0
    assert choices(view, now_s=AVOIDANCE_S[Reason.UPSTREAM_UNREACHABLE])["a"] > 0


def test_only_instance_is_chosen_even_if_avoided():
    """Guards against refused calls after one short fault of the only instance."""
    view = LoadView()
    view.record_refusal("a", Reason.SHED, 0.0)
    assert choices(view, MEMBERS[:1])["a"] == 300


def test_leaving_dead_and_tried_instances_are_not_eligible():
    """Guards against calls to leaving or dead instances and retries on the same instance."""
    members = (
        member("a", leaving=True),
        member("b", liveness=Liveness.DEAD),
        member("c"),
    )
    assert eligible_instances(members, LoadView(), frozenset("c"), 0.0) == []


def test_local_zone_is_preferred_until_its_slots_are_busy():
    """Guards against unnecessary calls to other zones and against queueing in a full zone."""
    members = (member("a"), member("far", zone="y"))
    view = LoadView()
    view.record_load("a", LoadReport(5, 0, 6), 0.0)
    assert choices(view, members)["a"] == 300
    view.record_load("a", LoadReport(6, 6, 6), 0.0)
    view.record_load("far", LoadReport(1, 0, 6), 0.0)
    assert choices(view, members)["far"] == 300


load_tests = function_tests(__name__)
