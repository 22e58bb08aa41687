"""Tests of the pace of starts."""

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.calls.pace import MIN_RATE_PER_S, Pace
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz

# What the users allow: in any such time, this multiple of the limit and some requests more.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5


@fuzz(200)
@given(st.floats(0, 200), st.lists(st.floats(0, 2), min_size=1, max_size=120), st.data())
def test_starts_in_any_window_stay_below_what_the_users_allow(stated_per_s, pauses_s, data):
    """Guards against bursts that exceed what an instance takes, whenever its requests arrive."""
    pace, now_s, starts = Pace(), 100.0, []
    pace.set_limit(stated_per_s, now_s)
    for pause_s in pauses_s:
        now_s += pause_s
        for _ in range(data.draw(st.integers(0, 40))):
            if pace.allows_start(now_s):
                pace.record_start(now_s)
                starts.append(now_s)
    most = ALLOWED_FACTOR * stated_per_s * WINDOW_S + ALLOWED_REQUESTS
    for first_s in starts:
        assert sum(first_s <= s <= first_s + WINDOW_S for s in starts) <= most


def test_waiting_for_the_delay_allows_a_start():
    """Guards against a timer that fires just before a start is possible and spins."""
    pace = Pace()
    pace.set_limit(7.0, 1.0)
    now_s = 1.0
    for _ in range(50):
        now_s += pace.delay_s(now_s)
        assert pace.allows_start(now_s)
        pace.record_start(now_s)


def test_limit_of_zero_still_lets_some_requests_show_its_end():
    """Guards against an instance that gets no request ever again."""
    pace = Pace()
    pace.set_limit(0.0, 1.0)
    assert not pace.allows_start(1.0)
    assert pace.allows_start(1.0 + 1 / MIN_RATE_PER_S)


load_tests = function_tests(__name__)
