"""Tests of the pace of instances that have just started or recovered."""

from ibisrack.hosting.slow_start import MAX_SLOW_START_S, MIN_SHARE, SlowStart
from ibisrack.testing.functions import function_tests

# Deployment A: slots of an instance, and the mean service time of its peers.
SLOTS = 5
PEER_S = 0.144


def started(slots: int = SLOTS) -> SlowStart:
    slow_start = SlowStart()
    slow_start.begin(slots, 0.0, 10.0)
    return slow_start


def answer_until(slow_start: SlowStart, ran_s: float, until_s: float) -> float:
    """Answers as many requests at once as the limit allows; returns the time of its end."""
    now_s = 10.0
    while slow_start.limit is not None and now_s < until_s:
        now_s += ran_s
        for _ in range(slow_start.running_limit):
            slow_start.record_answer(ran_s, PEER_S, now_s)
    return now_s


def test_an_instance_as_fast_as_its_peers_gets_its_full_rate_within_two_seconds():
    """Guards against an instance that is held back long after it has recovered."""
    for slots in (2, SLOTS, 7, 100):
        assert answer_until(started(slots), PEER_S, 20.0) <= 12.0


def test_a_slow_instance_runs_less_but_is_never_idle_and_not_held_back_for_ever():
    """Guards against a flooded instance, an idle one, and a limit without an end."""
    slow_start = started()
    assert slow_start.running_limit < SLOTS
    answer_until(slow_start, PEER_S * 3, 15.0)
    assert 1 <= slow_start.running_limit <= max(1, SLOTS * MIN_SHARE)
    slow_start.expire(10.0 + PEER_S * 3 + MAX_SLOW_START_S)
    assert slow_start.running_limit is None


def test_refusals_lower_the_limit():
    """Guards against requests at the same pace at an instance that refuses them."""
    slow_start = started(20)
    for _ in range(100):
        slow_start.record_refusal()
    assert slow_start.running_limit == 20 * MIN_SHARE


def test_an_instance_on_slow_hardware_is_compared_with_itself():
    """Guards against an instance that recovers at its own speed and is taken for cold."""
    slow_start = SlowStart()
    slow_start.begin(SLOTS, PEER_S * 3, 10.0)
    assert answer_until(slow_start, PEER_S * 3, 20.0) <= 12.0


def test_an_instance_with_one_slot_needs_no_limit():
    """Guards against a limit that never ends because it holds nothing back."""
    assert started(1).limit is None


load_tests = function_tests(__name__)
