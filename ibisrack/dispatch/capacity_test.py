"""Tests of the estimate of a service's capacity.

The loads are those of the service `collect` of a deployment with 5 slots and runs of 200 ms, whose
requests have a target of 741 ms and a deadline of 1.67 s.
"""

import attrs

from ibisrack.dispatch.capacity import (
    REFUSAL_LIFETIME_S,
    REPORT_LIFETIME_S,
    CapacityEstimator,
    Need,
    Prospect,
)
from ibisrack.dispatch.choice import InstanceViews
from ibisrack.dispatch.transfer import Transfer
from ibisrack.links.messages import Load
from ibisrack.registry.messages import NO_REVISION
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance

SLOTS, SERVICE_MS, TARGET_S, DEADLINE_S = 5, 200.0, 0.741, 1.67
NOW_S = 50.0
FULL = (SLOTS, 20)  # Running and waiting requests; the last of them starts after 0.8 s.
FREE = (SLOTS - 1, 0)


def load(busy: int, queued: int, **fields) -> Load:
    """Returns a load report of an instance."""
    return Load(busy, queued, SLOTS, SERVICE_MS, True, NO_REVISION, True, True, **fields)


def need(priority: int = 1, target_left_s: float = TARGET_S) -> Need:
    """Returns what a request needs that has some time left to its target."""
    return Need(priority, Transfer(5000.0, TARGET_S, target_left_s, DEADLINE_S))


def estimator(*loads: Load) -> CapacityEstimator:
    """Returns an estimator with the reports of instances `i-0` and so on, received now."""
    views = InstanceViews()
    for number, report in enumerate(loads):
        views.of(f"i-{number}").update_load(report, NOW_S)
    return CapacityEstimator(views)


def prospect(estimating: CapacityEstimator, needed: Need, after_s: float = 0.0) -> Prospect:
    """Returns the prospect at the instance `i-0` some time after its report."""
    return estimating.prospect(instance("i-0"), needed, NOW_S + after_s)


def test_a_full_instance_is_unlikely_to_admit_a_request_until_its_report_is_old():
    """Guards against attempts at full instances, and against giving them up by old reports."""
    estimating = estimator(load(*FULL))
    assert prospect(estimating, need()) is Prospect.UNLIKELY
    assert prospect(estimating, need(), 0.4) is Prospect.UNLIKELY
    assert prospect(estimating, need(), 0.6) is Prospect.UNKNOWN
    assert prospect(estimator(load(*FREE)), need(), 0.9) is Prospect.LIKELY
    assert prospect(estimator(), need()) is Prospect.UNKNOWN


def test_requests_sent_since_the_report_count_as_waiting():
    """Guards against a node that fills an instance by a single report."""
    estimating = estimator(load(*FREE))
    estimating.views.of("i-0").sent_since_report = 20
    assert prospect(estimating, need()) is Prospect.UNLIKELY


def test_less_urgent_requests_that_wait_do_not_delay_urgent_ones():
    """Guards against refusing the calls of running requests for new requests that wait."""
    estimating = estimator(load(*FULL, queued_by_priority=((0, 1), (2, 19))))
    assert prospect(estimating, need(1)) is Prospect.LIKELY
    assert prospect(estimating, need(2)) is Prospect.UNLIKELY
    assert prospect(estimating, need(3)) is Prospect.UNLIKELY


def test_new_requests_that_wait_do_not_delay_calls_of_their_priority():
    """Guards against refusing the calls of running requests for new requests of their priority."""
    call = attrs.evolve(need(), is_nested=True)
    estimating = estimator(load(*FULL))
    assert prospect(estimating, call) is Prospect.LIKELY
    estimating.record_refusal("i-0", need(), load(*FULL), NOW_S)
    assert prospect(estimating, call) is Prospect.LIKELY
    estimating.record_refusal("i-0", call, load(*FULL), NOW_S)
    assert prospect(estimating, call) is Prospect.UNLIKELY


def test_a_refusal_counts_until_a_report_of_fewer_requests():
    """Guards against the same refusal again, and against an instance that stays given up."""
    waiting = load(SLOTS, 4)
    estimating = estimator(waiting)
    assert prospect(estimating, need()) is Prospect.LIKELY
    estimating.record_refusal("i-0", need(), waiting, NOW_S)
    assert prospect(estimating, need()) is Prospect.UNLIKELY
    assert prospect(estimating, need(2)) is Prospect.UNLIKELY
    # Neither a more urgent request nor one with more time left was refused.
    assert prospect(estimating, need(0)) is Prospect.LIKELY
    assert prospect(estimating, need(1, TARGET_S + 0.1)) is Prospect.LIKELY
    assert prospect(estimating, need(), REFUSAL_LIFETIME_S) is Prospect.LIKELY
    estimating.views.of("i-0").update_load(load(SLOTS, 5), NOW_S)
    assert prospect(estimating, need()) is Prospect.UNLIKELY
    estimating.views.of("i-0").update_load(load(SLOTS, 3), NOW_S)
    assert prospect(estimating, need()) is Prospect.LIKELY


def test_only_a_fresh_report_shows_that_a_deadline_is_missed():
    """Guards against a refusal without an attempt by a guess."""
    late = Need(1, Transfer(5000.0, TARGET_S, -0.1, 0.7))
    estimating, listed = estimator(load(*FULL)), instance("i-0")
    assert estimating.misses_deadline(listed, late, NOW_S)
    assert not estimating.misses_deadline(listed, need(), NOW_S)
    assert not estimating.misses_deadline(listed, late, NOW_S + 0.25)
    assert not estimator().misses_deadline(listed, late, NOW_S)
    assert not estimator(load(*FREE)).misses_deadline(listed, late, NOW_S)


def test_limits_on_starts_and_full_links_delay_a_request():
    """Guards against an instance with free slots that may not start requests or send answers."""
    limited = load(0, 0, limit_per_s=2.0, free_starts=-3)
    assert prospect(estimator(limited), need()) is Prospect.UNLIKELY
    assert prospect(estimator(load(0, 0, paced_per_s=2.0)), need(), 0.5) is Prospect.LIKELY
    cold = load(0, 0, paced_per_s=2.0, cold_free_starts=0)
    cold_estimate = estimator(cold).estimate([instance("i-0")], need(), NOW_S)
    assert cold_estimate.wait_s == 0.5
    linked = estimator(load(0, 0, link_backlog_ms=700, link_mbps=16.0))
    large = Need(1, Transfer(90_000.0, TARGET_S, TARGET_S, DEADLINE_S))
    assert prospect(linked, large) is Prospect.UNLIKELY
    assert prospect(linked, need()) is Prospect.LIKELY


def test_the_estimate_is_the_wait_at_the_best_instance():
    """Guards against a wait for the mean of the instances, or for one that is known to be full."""
    estimating = estimator(load(*FULL), load(SLOTS, 4))
    listed = [instance("i-0"), instance("i-1"), instance("not-reported")]
    estimate = estimating.estimate(listed, need(), NOW_S)
    assert (round(estimate.wait_s, 3), estimate.service_s, estimate.certainty) == (0.2, 0.2, 1.0)
    assert estimating.estimate([instance("not-reported")], need(), NOW_S) is None


def test_an_old_report_gives_way_to_those_of_other_instances():
    """Guards against a wait that follows an old report of one idle instance among full ones."""
    estimating = estimator(load(*FULL), load(*FREE))
    estimating.views.of("i-0").reported_at_s = NOW_S + 0.75
    listed = [instance("i-0"), instance("i-1")]
    later_s = NOW_S + 0.75
    estimate = estimating.estimate(listed, need(), later_s)
    assert estimate.age_s == 0.75
    assert estimate.certainty == 0.625
    assert 0.4 < estimate.wait_s < 0.6
    assert estimating.estimate(listed, need(), later_s + REPORT_LIFETIME_S).certainty == 0.0


load_tests = function_tests(__name__)
