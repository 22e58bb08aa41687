"""Tests of the bound on starts in any second."""

import math

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.calls.start_window import WINDOW_S, StartWindow
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz

# Deployment A: 6.5 requests a second, 1.5 times and 8 more.
BOUND = 17


def limited_window(bound: int = BOUND) -> StartWindow:
    """Returns a window whose bound is in force."""
    window = StartWindow(in_force=True)
    window.set_bound(bound)
    return window


def send(window: StartWindow, now_s: float, number: int = 1) -> list:
    """Sends calls that are answered at once, and returns their starts."""
    starts = [window.record_start() for _ in range(number)]
    for start in starts:
        window.record_sent(start, now_s)
        window.finish(start, now_s)
    return starts


def test_calls_that_a_stalled_instance_reads_late_count_until_then():
    """Guards against a cold instance that gets what it had not read and a full bound at once."""
    window = limited_window(3)
    send(window, 5.0)
    read_late = window.record_start()
    window.record_sent(read_late, 5.0)
    assert window.free_starts(7.0) == 2
    window.finish(read_late, 7.0)
    assert window.free_starts(7.0 + WINDOW_S - 0.01) == 2
    assert window.free_starts(7.0 + WINDOW_S) == 3


@fuzz(200)
@given(st.integers(0, 20), st.lists(st.floats(0, 0.4), min_size=1, max_size=60), st.data())
def test_no_second_has_more_arrivals_than_the_bound(bound, pauses_s, data):
    """Guards against a cold instance that crashes because calls wait for connections first."""
    window, now_s, unsent, arrivals = limited_window(bound), 100.0, [], []
    for pause_s in pauses_s:
        now_s += pause_s
        for _ in range(data.draw(st.integers(0, 30))):
            if window.allows_start(now_s):
                unsent.append(window.record_start())
        for _ in range(data.draw(st.integers(0, len(unsent)))):
            window.record_sent(unsent.pop(), now_s)
            arrivals.append(now_s)
    for first_s in arrivals:
        assert sum(first_s <= s <= first_s + 1.0 for s in arrivals) <= bound


def test_calls_that_were_not_sent_or_not_counted_leave_room():
    """Guards against an idle cold instance after refused connections or answers of another one."""
    window = limited_window(3)
    unsent = [window.record_start() for _ in range(3)]
    assert not window.allows_start(5.0)
    assert window.delay_s(5.0) == math.inf
    for start in unsent:
        window.finish(start, 5.0)
    assert window.free_starts(5.0) == 3
    first, *_ = send(window, 5.0, 3)
    assert not window.allows_start(5.5)
    window.give_back(first)
    assert window.free_starts(5.5) == 1


def test_an_instance_that_becomes_cold_while_busy_gets_no_burst():
    """Guards against a full bound on top of the starts of the second before."""
    window = StartWindow()
    window.set_bound(BOUND)
    starts = send(window, 5.0, 40)
    window.in_force = True
    window.give_back(starts[-1])  # Another start may have been displaced by it.
    assert not window.allows_start(5.0 + WINDOW_S - 0.01)
    assert window.free_starts(5.0 + WINDOW_S) == BOUND


def test_a_bound_that_becomes_known_assumes_that_it_was_used():
    """Guards against a burst by a node that starts again, or by a changed configuration."""
    window = StartWindow(assumed_at_s=5.0, in_force=True)
    window.set_bound(BOUND)
    assert not window.allows_start(5.0 + WINDOW_S - 0.01)
    assert window.free_starts(5.0 + WINDOW_S) == BOUND
    send(window, 10.0, BOUND)
    window.set_bound(BOUND + 5)
    assert window.free_starts(10.5) == 0
    window.set_bound(4)
    assert window.free_starts(10.5) == 0
    assert window.free_starts(10.0 + WINDOW_S) == 4


def test_waiting_for_the_delay_allows_a_start():
    """Guards against a timer that fires just before a start is possible and spins."""
    window, now_s = limited_window(2), 0.1
    for _ in range(50):
        now_s += window.delay_s(now_s)
        assert window.allows_start(now_s)
        send(window, now_s)


def test_expected_wait_is_that_of_the_starts_ahead():
    """Guards against calls that wait beside a cold instance until they are late."""
    window = limited_window(4)
    send(window, 5.0, 2)
    send(window, 5.5, 2)
    for ahead, wait_s in ((0, WINDOW_S - 0.5), (2, WINDOW_S), (4, 2 * WINDOW_S - 0.5)):
        assert abs(window.expected_wait_s(ahead, 5.5) - wait_s) < 1e-6


def test_a_health_check_finds_room_at_a_saturated_instance():
    """Guards against a busy cold instance that is never asked whether it is still cold."""
    window = limited_window(3)
    window.reserved = 1
    send(window, 5.0, 2)
    assert not window.allows_start(5.1)
    assert window.allows_check(5.1)
    window.record_check(5.1)
    assert not window.allows_check(5.2)


load_tests = function_tests(__name__)
