"""Tests of keys, their ledger and their homes."""

import uuid
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.keys_sim import KeysSimulation, ListedAffinity, PeriodAffinity
from ibisrack.calls.headers import CallContext
from ibisrack.calls.homes import HomeHistory, Periods, home_of, period_of
from ibisrack.calls.keys import (
    CLOCK_SKEW_MS,
    MAX_AHEAD_MS,
    RETENTION_MS,
    SETTLE_MS,
    Fresh,
    Joined,
    Key,
    KeyLedger,
    Rejected,
    Replayed,
    Unanswerable,
    parse_key,
    unmatched_outcome,
)
from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.errors import NotRunError, RequestError
from ibisrack.testing.functions import function_tests

REPEATABLE = settings(derandomize=True, database=None, deadline=None, max_examples=25)
NOW_MS = 1_700_000_000_000
DONE = Answer(200, {}, b"ok")


def key(number: int = 1, time_ms: int = NOW_MS) -> Key:
    return Key(f"key-{number}", time_ms)


def ledger(**limits) -> KeyLedger:
    return KeyLedger(NOW_MS, **limits)


def accept(owner: KeyLedger, wanted: Key, now_ms: int = NOW_MS, since_ms: int = 0):
    return owner.accept(wanted, b"request", since_ms, now_ms)


def rejects(text: str) -> bool:
    try:
        parse_key(text)
    except RequestError:
        return True
    return False


def test_only_version_7_keys_are_read():
    """Guards against keys without a time, whose age nobody can tell."""
    text = "018bcfe5-6800-7abc-8def-0123456789AB"
    assert parse_key(text) == Key(text.lower(), 0x018BCFE56800)
    for wrong in ("", "x" * 36, str(uuid.uuid4()), "{" + text + "}", text.replace("-", "")):
        assert rejects(wrong)


def test_a_repeat_joins_then_gets_the_answer():
    """Guards against a second execution of a running or done call."""
    owner = ledger()
    assert accept(owner, key()) == Fresh()
    assert accept(owner, key()) == Joined()
    owner.done(key(), DONE, NOW_MS)
    assert accept(owner, key()) == Replayed(DONE)


def test_an_unknown_call_stays_unknown_and_a_refused_one_may_run():
    """Guards against a repeat that runs work whose outcome is not known."""
    owner = ledger()
    accept(owner, key(1))
    owner.unknown(key(1), Reason.CONNECTION_LOST, NOW_MS)
    assert accept(owner, key(1)) == Unanswerable(Reason.CONNECTION_LOST)
    accept(owner, key(2))
    owner.not_run(key(2))
    assert accept(owner, key(2)) == Fresh()


def test_keys_from_before_the_start_or_the_change_of_home_are_unknown():
    """Guards against a home that forgot, and against a key that ran at its former home."""
    old = key(1, NOW_MS - 1)
    assert accept(ledger(), old) == Unanswerable(Reason.KEY_TOO_OLD)
    settled_ms = NOW_MS + SETTLE_MS + CLOCK_SKEW_MS
    moved = key(2, settled_ms - 1)
    assert accept(ledger(), moved, settled_ms, NOW_MS) == Unanswerable(Reason.KEY_TOO_OLD)
    assert accept(ledger(), key(3, settled_ms), settled_ms, NOW_MS) == Fresh()


def test_a_key_ahead_of_the_clock_does_not_run():
    """Guards against a caller whose fast clock outruns the next restart of the home."""
    ahead = key(1, NOW_MS + MAX_AHEAD_MS + 1)
    assert accept(ledger(), ahead) == Unanswerable(Reason.KEY_AHEAD)


def test_a_dropped_key_never_runs_again():
    """Guards against the bounds of the ledger: time, count and running calls."""
    owner = ledger(max_entries=2)
    for number in (1, 2):
        accept(owner, key(number, NOW_MS + number))
    assert accept(owner, key(3, NOW_MS + 3)) == Rejected(Reason.QUEUE_FULL)
    owner.done(key(1), DONE, NOW_MS)
    assert accept(owner, key(3, NOW_MS + 3)) == Fresh()
    assert accept(owner, key(1, NOW_MS + 1)) == Unanswerable(Reason.KEY_TOO_OLD)
    owner.done(key(3), DONE, NOW_MS)
    late_ms = NOW_MS + RETENTION_MS
    assert accept(owner, key(3, NOW_MS + 3), late_ms) == Unanswerable(Reason.KEY_TOO_OLD)


def test_the_answers_are_bounded_in_bytes():
    """Guards against a ledger that fills the host's memory with answers."""
    owner = ledger(max_answers_bytes=3)
    for number in (1, 2):
        accept(owner, key(number))
        owner.done(key(number), DONE, NOW_MS)
    assert accept(owner, key(1)) == Unanswerable(Reason.ANSWER_NOT_KEPT)
    assert accept(owner, key(2)) == Replayed(DONE)


def test_a_key_of_another_request_is_refused():
    """Guards against an answer to a request that was never made."""
    owner = ledger()
    accept(owner, key())
    assert owner.accept(key(), b"other", 0, NOW_MS) == Rejected(Reason.KEY_REUSED)


def test_only_keys_that_moved_are_too_old_at_their_new_home():
    """Guards against unknown outcomes for every key at each change of the list."""
    history = HomeHistory("a")
    history.observe(("a", "b"), 1)
    history.observe(("a", "b", "c"), 2)
    history.observe(("a", "c"), 3)
    since = {history.home_since_ms(f"key-{number}") for number in range(200)}
    assert since == {1, 3, None}


def test_a_period_keeps_the_home_when_the_list_changes():
    """Guards against two homes of one key on nodes that know different lists."""
    periods = Periods()
    period = periods.observe("desk", ("a", "b"))
    periods.observe("desk", ("a", "b", "c", "d", "e"))
    for number in range(50):
        assert periods.home("desk", f"k{number}", period) == home_of(f"k{number}", ("a", "b"))
    assert periods.home("desk", "k", period_of(("x",))) is None


def test_a_refusal_before_the_key_was_looked_up_claims_nothing():
    """Guards against a false not-run of a key that ran before."""
    keyed, plain = CallContext("c", idempotency_key="k"), CallContext("c")
    refusal, no_route = NotRunError(Reason.NOT_SERVING), RequestError("no route", 404)
    assert unmatched_outcome(refusal, keyed) == Outcome.UNKNOWN
    assert unmatched_outcome(no_route, keyed) == Outcome.UNKNOWN
    assert unmatched_outcome(refusal, plain) == Outcome.NOT_RUN
    assert unmatched_outcome(RequestError("malformed"), keyed) == Outcome.NOT_RUN


@REPEATABLE
@given(st.integers(0, 2**32))
def test_no_key_runs_twice_while_lists_arrive_in_time(seed):
    """Guards against double executions over restarts, replacements, cuts and clock offsets."""
    run = KeysSimulation(ListedAffinity(), False, Random(seed), duration_s=120.0)
    run.run()
    assert run.twice() == 0
    assert run.false_not_run == 0


@REPEATABLE
@given(st.integers(0, 2**32))
def test_no_key_with_a_period_runs_twice_even_while_cuts_hide_lists(seed):
    """Guards against double executions by nodes that know different lists."""
    run = KeysSimulation(PeriodAffinity(), True, Random(seed), duration_s=120.0)
    run.run()
    assert run.twice() == 0
    assert run.false_not_run == 0


load_tests = function_tests(__name__)
