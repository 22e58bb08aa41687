"""Tests of what a node knows of the registry from its own calls."""

from ibisrack.registry.own_calls import MAX_ANSWER_AGE_S, RECOVERY_POLL_S, OwnCalls
from ibisrack.registry.timing import RESPONSE_TIMEOUT_S
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import TIMING


def answered_calls(now_s: float) -> OwnCalls:
    """Returns the state of a node that has to read and was just answered."""
    calls = OwnCalls(TIMING)
    calls.record_answer(now_s, has_to_read=True)
    return calls


def test_a_failed_call_is_told_before_the_registry_counts_as_not_answering():
    """Guards against peers that wait for a node whose calls fail, or drop it for one failure."""
    calls = answered_calls(10.0)
    assert calls.record_failure()
    assert not calls.is_timely(10.1)
    assert calls.is_answered(10.1)
    assert calls.record_failure()
    assert not calls.is_answered(10.1)
    assert not calls.record_failure()


def test_a_registry_that_was_late_gets_more_time():
    """Guards against a slow registry of which no call ever succeeds."""
    calls = answered_calls(10.0)
    assert calls.response_s() == TIMING.answer_slack_s
    calls.record_failure()
    assert (calls.wait_s(0.0), calls.response_s()) == (RECOVERY_POLL_S, RESPONSE_TIMEOUT_S)
    calls.record_answer(11.0, has_to_read=True)
    calls.answer_delay_s = 0.6
    assert calls.response_s() > 0.6


def test_a_long_transfer_is_told_and_its_end_too():
    """Guards against peers that wait for a transfer on a slow path, or avoid its node for good."""
    calls = answered_calls(10.0)
    calls.begin_transfer(11.0)
    calls.begin_transfer(11.4)  # The next page of a listing.
    assert calls.is_timely(11.0 + TIMING.transfer_s - 0.01)
    assert not calls.is_timely(11.0 + TIMING.transfer_s)
    assert calls.record_answer(12.0, has_to_read=True)
    assert calls.is_timely(12.0 + TIMING.transfer_s)


def test_the_first_answer_is_told_at_once():
    """Guards against followers that learn late which node reads."""
    calls = OwnCalls(TIMING)
    assert calls.wait_s(0.0) == RECOVERY_POLL_S
    assert calls.record_answer(10.0, has_to_read=True)
    assert calls.wait_s(0.0) == TIMING.watch_s
    assert not calls.record_answer(11.0, has_to_read=True)


def test_the_delay_after_changes_is_part_of_the_wait():
    """Guards against a change that arrives in the delay and is read after it and a whole call."""
    calls = answered_calls(10.0)
    assert calls.wait_s(TIMING.batch_delay_s) == TIMING.watch_s - TIMING.batch_delay_s


def test_an_old_answer_is_not_relied_on():
    """Guards against followers of a node that has stopped to read without a failure."""
    calls = answered_calls(10.0)
    assert calls.is_answered(10.0 + MAX_ANSWER_AGE_S - 0.1)
    assert not calls.is_answered(10.0 + MAX_ANSWER_AGE_S)


load_tests = function_tests(__name__)
