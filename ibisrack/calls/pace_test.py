"""Tests of the pace of starts."""

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.calls.pace import BURST_S, MIN_RATE_PER_S, Pace
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz

WINDOW_S = 4.0  # The users count the requests in any such time.


@fuzz(200)
@given(
    st.floats(MIN_RATE_PER_S, 80), st.lists(st.floats(0, 2), min_size=1, max_size=120), st.data()
)
def test_starts_in_any_window_stay_near_the_rate(rate_per_s, pauses_s, data):
    """Guards against bursts that exceed what an instance takes, whenever its requests arrive."""
    pace, now_s, starts = Pace(), 100.0, []
    pace.set_rate(rate_per_s, now_s)
    for pause_s in pauses_s:
        now_s += pause_s
        for _ in range(data.draw(st.integers(0, 40))):
            if pace.allows_start(now_s):
                pace.record_start(now_s)
                starts.append(now_s)
    most = rate_per_s * (WINDOW_S + BURST_S) + 1
    for first_s in starts:
        assert sum(first_s <= s <= first_s + WINDOW_S for s in starts) <= most + 1e-6


def test_waiting_for_the_delay_allows_a_start():
    """Guards against a timer that fires just before a start is possible and spins."""
    pace = Pace()
    pace.set_rate(7.0, 1.0)
    now_s = 1.0
    for _ in range(50):
        now_s += pace.delay_s(now_s)
        assert pace.allows_start(now_s)
        pace.record_start(now_s)


def test_limit_of_zero_still_lets_some_requests_show_its_end():
    """Guards against an instance that gets no request ever again."""
    pace = Pace()
    pace.set_rate(0.0, 1.0)
    assert not pace.allows_start(1.0)
    assert pace.allows_start(1.0 + 1 / MIN_RATE_PER_S)


load_tests = function_tests(__name__)
