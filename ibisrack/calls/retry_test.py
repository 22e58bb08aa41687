"""Tests of the retry rules and their budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.retry import Attempts, RetryBudget, may_have_executed, passes_retry_right
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.testing.fixtures import create_call
from ibisrack.testing.functions import function_tests

DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=200)
LOST = UnknownOutcomeError(Reason.CONNECTION_LOST)
SHED = NotRunError(Reason.SHED)
FAILED = Answer(502, {}, b"")
RESULTS = st.sampled_from([LOST, SHED, FAILED, Answer(200, {}, b""), NotRunError(Reason.DEADLINE)])


def full_budget() -> RetryBudget:
    return RetryBudget(tokens=10.0)


def test_possibly_run_call_is_retried_only_if_idempotent():
    """Guards against a second execution of a non-idempotent call."""
    assert not Attempts(create_call(idempotent=False), full_budget()).allow_retry(LOST, 0.0)
    assert not Attempts(create_call(idempotent=False), full_budget()).allow_retry(FAILED, 0.0)
    assert Attempts(create_call(idempotent=True), full_budget()).allow_retry(LOST, 0.0)
    assert Attempts(create_call(idempotent=False), full_budget()).allow_retry(SHED, 0.0)


def test_only_the_holder_of_the_retry_right_retries_failures():
    """Guards against retry amplification across the layers of a chain."""
    below = create_call(idempotent=True, retry_right=False)
    assert not Attempts(below, full_budget()).allow_retry(LOST, 0.0)
    assert Attempts(below, full_budget()).allow_retry(SHED, 0.0)


def test_retry_right_passes_through_non_idempotent_calls():
    """Guards against a chain in which no layer, or more than one, holds the retry right."""
    assert passes_retry_right(create_call(idempotent=False))
    assert not passes_retry_right(create_call(idempotent=True))
    assert not passes_retry_right(create_call(idempotent=False, retry_right=False))


def test_no_retry_after_the_last_try_or_the_deadline():
    """Guards against more attempts than the route allows and attempts after the deadline."""
    call = create_call(idempotent=True, tries=2)
    attempts = Attempts(call, full_budget())
    assert attempts.allow_retry(LOST, 0.0)
    assert not attempts.allow_retry(LOST, 0.0)
    assert not Attempts(call, full_budget()).allow_retry(LOST, call.deadline_at_s)


def test_refusal_does_not_hide_an_earlier_possible_run():
    """Guards against a false not-run after a first attempt of unknown outcome."""
    attempts = Attempts(create_call(idempotent=True), full_budget())
    assert attempts.allow_retry(LOST, 0.0)
    assert attempts.final_result(SHED) is LOST


@DETERMINISTIC
@given(st.lists(RESULTS, max_size=8), st.booleans(), st.integers(1, 5))
def test_not_run_is_reported_only_if_no_attempt_may_have_run(results, idempotent, tries):
    """Guards against a false not-run after any sequence of attempts."""
    attempts = Attempts(create_call(idempotent=idempotent, tries=tries), full_budget())
    seen = []
    for result in results:
        seen.append(result)
        if not attempts.allow_retry(result, 0.0):
            break
    if seen and not may_have_executed(attempts.final_result(seen[-1])):
        assert not any(may_have_executed(result) for result in seen)
    assert len(seen) <= tries


@DETERMINISTIC
@given(st.lists(st.integers(0, 20), max_size=60))
def test_retries_stay_within_five_percent_of_calls(bursts):
    """Guards against retry storms; each burst is a number of failing calls."""
    budget = RetryBudget()
    calls = retries = 0
    for burst in bursts:
        for _ in range(burst):
            budget.deposit(create_call(retry_right=True, idempotent=True, tries=2))
            calls += 1
            retries += budget.try_withdraw()
    assert retries <= 1 + calls / 20 + 1e-6


load_tests = function_tests(__name__)
