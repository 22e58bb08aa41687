"""Tests of idempotency keys, the key store and the homes of keys."""

import uuid
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.keys_sim import KeysSimulation, ListedAffinity, PeriodAffinity
from ibisrack.calls.headers import CallContext
from ibisrack.calls.homes import HomeHistory, KeyPeriods, home_of, period_of
from ibisrack.calls.keys import (
    KEY_RETENTION_MS,
    LIST_PROPAGATION_MS,
    MAX_CLOCK_SKEW_MS,
    MAX_KEY_AHEAD_MS,
    JoinRunning,
    Key,
    KeyStore,
    OutcomeUnknown,
    RefuseRequest,
    ReplayAnswer,
    RunNow,
    outcome_before_key_lookup,
    parse_key,
)
from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.errors import NotRunError, RequestError
from ibisrack.testing.functions import function_tests

DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=25)
NOW_MS = 1_700_000_000_000
DONE = Answer(200, {}, b"ok")


def key(number: int = 1, time_ms: int = NOW_MS) -> Key:
    return Key(f"key-{number}", time_ms)


def new_store(**limits) -> KeyStore:
    return KeyStore(NOW_MS, **limits)


def accept(store: KeyStore, arrived: Key, now_ms: int = NOW_MS, since_ms: int = 0):
    return store.accept(arrived, b"request", since_ms, now_ms)


def is_rejected(text: str) -> bool:
    try:
        parse_key(text)
    except RequestError:
        return True
    return False


def test_only_uuid_version_7_is_accepted():
    """Guards against keys without a time, whose age is not known."""
    text = "018bcfe5-6800-7abc-8def-0123456789AB"
    assert parse_key(text) == Key(text.lower(), 0x018BCFE56800)
    for wrong in ("", "x" * 36, str(uuid.uuid4()), "{" + text + "}", text.replace("-", "")):
        assert is_rejected(wrong)


def test_a_repeat_joins_the_running_call_and_later_gets_its_answer():
    """Guards against a second execution of a running or finished call."""
    store = new_store()
    assert accept(store, key()) == RunNow()
    assert accept(store, key()) == JoinRunning()
    store.record_done(key(), DONE, NOW_MS)
    assert accept(store, key()) == ReplayAnswer(DONE)


def test_an_unknown_call_stays_unknown_and_a_refused_one_may_run():
    """Guards against running a call again whose outcome is unknown."""
    store = new_store()
    accept(store, key(1))
    store.record_unknown(key(1), Reason.CONNECTION_LOST, NOW_MS)
    assert accept(store, key(1)) == OutcomeUnknown(Reason.CONNECTION_LOST)
    accept(store, key(2))
    store.record_not_run(key(2))
    assert accept(store, key(2)) == RunNow()


def test_keys_from_before_the_start_or_a_change_of_home_are_unknown():
    """Guards against rerunning keys lost in a restart and keys that ran at their former home."""
    old = key(1, NOW_MS - 1)
    assert accept(new_store(), old) == OutcomeUnknown(Reason.KEY_TOO_OLD)
    settled_ms = NOW_MS + LIST_PROPAGATION_MS + MAX_CLOCK_SKEW_MS
    moved = key(2, settled_ms - 1)
    assert accept(new_store(), moved, settled_ms, NOW_MS) == OutcomeUnknown(Reason.KEY_TOO_OLD)
    assert accept(new_store(), key(3, settled_ms), settled_ms, NOW_MS) == RunNow()


def test_a_key_ahead_of_the_clock_does_not_run():
    """Guards against keys of a fast clock that look new after the next restart of their home."""
    ahead = key(1, NOW_MS + MAX_KEY_AHEAD_MS + 1)
    assert accept(new_store(), ahead) == OutcomeUnknown(Reason.KEY_AHEAD)


def test_a_dropped_key_never_runs_again():
    """Guards against a second execution of keys dropped by age or count, or while running."""
    store = new_store(max_keys=2)
    for number in (1, 2):
        accept(store, key(number, NOW_MS + number))
    assert accept(store, key(3, NOW_MS + 3)) == RefuseRequest(Reason.QUEUE_FULL)
    store.record_done(key(1), DONE, NOW_MS)
    assert accept(store, key(3, NOW_MS + 3)) == RunNow()
    assert accept(store, key(1, NOW_MS + 1)) == OutcomeUnknown(Reason.KEY_TOO_OLD)
    store.record_done(key(3), DONE, NOW_MS)
    late_ms = NOW_MS + KEY_RETENTION_MS
    assert accept(store, key(3, NOW_MS + 3), late_ms) == OutcomeUnknown(Reason.KEY_TOO_OLD)


def test_stored_answers_are_bounded_in_bytes():
    """Guards against stored answers that fill the memory of the host."""
    store = new_store(max_total_answer_bytes=3)
    for number in (1, 2):
        accept(store, key(number))
        store.record_done(key(number), DONE, NOW_MS)
    assert accept(store, key(1)) == OutcomeUnknown(Reason.ANSWER_NOT_KEPT)
    assert accept(store, key(2)) == ReplayAnswer(DONE)


def test_a_key_reused_for_another_request_is_refused():
    """Guards against returning the answer of a different request."""
    store = new_store()
    accept(store, key())
    assert store.accept(key(), b"other", 0, NOW_MS) == RefuseRequest(Reason.KEY_REUSED)


def test_a_list_change_resets_only_the_keys_that_move():
    """Guards against unknown outcomes of all keys at each change of the list."""
    history = HomeHistory("a")
    history.observe(("a", "b"), 1)
    history.observe(("a", "b", "c"), 2)
    history.observe(("a", "c"), 3)
    since = {history.home_since_ms(f"key-{number}") for number in range(200)}
    assert since == {1, 3, None}


def test_a_period_fixes_the_home_when_the_list_changes():
    """Guards against two homes of one key on nodes that know different lists."""
    periods = KeyPeriods()
    period = periods.observe("desk", ("a", "b"))
    periods.observe("desk", ("a", "b", "c", "d", "e"))
    for number in range(50):
        assert periods.home("desk", f"k{number}", period) == home_of(f"k{number}", ("a", "b"))
    assert periods.home("desk", "k", period_of(("x",))) is None


def test_a_refusal_before_the_key_lookup_is_of_unknown_outcome():
    """Guards against reporting not-run for a key whose call ran before."""
    with_key, without_key = CallContext("c", idempotency_key="k"), CallContext("c")
    refusal, no_route = NotRunError(Reason.NOT_SERVING), RequestError("no route", 404)
    assert outcome_before_key_lookup(refusal, with_key) == Outcome.UNKNOWN
    assert outcome_before_key_lookup(no_route, with_key) == Outcome.UNKNOWN
    assert outcome_before_key_lookup(refusal, without_key) == Outcome.NOT_RUN
    assert outcome_before_key_lookup(RequestError("malformed"), with_key) == Outcome.NOT_RUN


@DETERMINISTIC
@given(st.integers(0, 2**32))
def test_no_key_runs_twice_while_lists_spread_in_time(seed):
    """Guards against double executions across restarts, replacements, partitions and clock skew."""
    run = KeysSimulation(ListedAffinity(), False, Random(seed), duration_s=120.0)
    run.run()
    assert run.keys_executed_twice() == 0
    assert run.false_not_run == 0


@DETERMINISTIC
@given(st.integers(0, 2**32))
def test_no_key_with_a_period_runs_twice_while_partitions_delay_lists(seed):
    """Guards against double executions when nodes know different lists."""
    run = KeysSimulation(PeriodAffinity(), True, Random(seed), duration_s=120.0)
    run.run()
    assert run.keys_executed_twice() == 0
    assert run.false_not_run == 0


load_tests = function_tests(__name__)
