"""Tests of the longest recent service times."""

from ibisrack.dispatch.service_times import PERIOD_S, LongestServiceTimes
from ibisrack.testing.functions import function_tests


def test_a_long_run_is_remembered_for_a_period_and_forgotten_after_two():
    """Guards against a stop that expects short runs only, and against one slow minute for ever."""
    times = LongestServiceTimes()
    times.record("r", 2.0, 10.0)
    times.record("r", 0.5, 11.0)
    assert times.longest_s("r", 11.0) == 2.0
    times.record("r", 0.5, 10.5 + PERIOD_S)
    assert times.longest_s("r", 10.5 + PERIOD_S) == 2.0
    assert times.longest_s("r", 11.0 + 2 * PERIOD_S) == 0.5
    assert times.longest_s("r", 12.0 + 9 * PERIOD_S) == 0.0
    assert times.longest_s("other", 0.0) == 0.0


load_tests = function_tests(__name__)
