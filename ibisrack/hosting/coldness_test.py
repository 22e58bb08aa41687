"""Tests of what a node knows of whether its instance is cold."""

from ibisrack.hosting.coldness import (
    CHECK_INTERVAL_S,
    CHECK_REFILL_S,
    ENTRY_TRANSIT_S,
    MAX_CHECKS,
    CheckBudget,
    Coldness,
    Doubt,
    cold_bound,
)
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance


def warm_since(now_s: float) -> Coldness:
    """Returns the state after a health answer that says that the instance is not cold."""
    coldness = Coldness()
    coldness.observe_entry(instance(started_at_ms=5, sequence=3), now_s)
    coldness.observe_health(0.0, now_s, now_s)
    assert not coldness.is_cold(now_s)
    return coldness


def test_bound_of_deployment_a():
    """Guards against a request more than a cold instance tolerates."""
    assert cold_bound(6.5, 1.5, 8.0) == 17
    assert cold_bound(10.0, 1.0, 0.0) == 10
    assert cold_bound(0.0, 1.5, 8.0) is None


def test_a_started_node_takes_an_earlier_entry_for_no_proof():
    """Guards against full load on a cold instance by a node that restarts and lists it as warm."""
    coldness = Coldness(doubt_at_s=10.0)
    coldness.observe_entry(instance(sequence=3), 10.1)
    assert coldness.is_cold(10.1)
    coldness.observe_entry(instance(sequence=4), 10.2)
    assert coldness.is_cold(10.2)
    coldness.observe_entry(instance(sequence=5), 10.0 + ENTRY_TRANSIT_S)
    assert not coldness.is_cold(10.0 + ENTRY_TRANSIT_S)


def test_each_event_raises_a_doubt_that_only_later_statements_end():
    """Guards against an answer from before a crash that makes the next process count as warm."""
    for doubt in Doubt:
        coldness = warm_since(10.0)
        coldness.record_event(doubt, 20.0)
        coldness.observe_health(0.0, 19.9, 20.1)
        assert coldness.is_cold(20.1)
        coldness.observe_health(0.0, 20.1, 20.2)
        assert not coldness.is_cold(20.2)


def test_another_start_of_the_instance_is_cold_until_it_says_otherwise():
    """Guards against full load on a new process that lists no remaining cold time yet."""
    coldness = warm_since(10.0)
    assert coldness.observe_entry(instance(started_at_ms=6, sequence=1), 20.0)
    assert coldness.is_cold(20.0)
    assert (coldness.doubt, coldness.in_doubt) == (Doubt.INSTANCE_STARTED, True)


def test_an_instance_may_become_cold_again_while_it_runs():
    """Guards against full load on an instance whose entry says that it is cold again."""
    coldness = warm_since(10.0)
    coldness.observe_entry(instance(started_at_ms=5, sequence=4, cold_left_s=3.0), 20.0)
    assert coldness.is_cold(22.9)
    coldness.observe_entry(instance(started_at_ms=5, sequence=5), 21.0)
    assert not coldness.is_cold(21.0)


def test_an_entry_that_may_be_older_than_a_health_answer_does_not_end_it():
    """Guards against a late entry of the warm instance after it answered that it is cold."""
    coldness = warm_since(10.0)
    coldness.record_event(Doubt.CRASHED, 20.0)
    coldness.observe_health(3.0, 20.1, 20.1)
    coldness.observe_entry(instance(started_at_ms=5, sequence=4), 20.3)
    assert coldness.is_cold(20.3)


def test_the_end_of_the_cold_time_is_confirmed():
    """Guards against an instance that became cold again shortly before its time was over."""
    coldness = warm_since(10.0)
    coldness.observe_entry(instance(started_at_ms=5, sequence=4, cold_left_s=3.0), 20.0)
    coldness.advance(22.9)
    assert not coldness.in_doubt
    coldness.advance(23.0)
    assert (coldness.doubt, coldness.is_cold(23.0)) == (Doubt.COLD_TIME_OVER, True)
    coldness.observe_health(0.0, 23.1, 23.1)
    coldness.advance(23.2)
    assert not coldness.is_cold(23.2)


def test_health_checks_are_few_however_many_events_there_are():
    """Guards against health checks at the rate of an instance's broken connections."""
    budget, sent = CheckBudget(), 0
    for step in range(1, 1000):
        if budget.allows(100.0 + step / 100):
            budget.record_attempt(100.0 + step / 100)
            sent += 1
    assert sent <= MAX_CHECKS + 10 / CHECK_REFILL_S
    assert budget.allows(200.0)
    budget.record_attempt(200.0)
    assert not budget.allows(200.0 + CHECK_INTERVAL_S / 2)


load_tests = function_tests(__name__)
