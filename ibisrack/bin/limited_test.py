"""Tests of the bound on the volume of logs."""

import logging

from ibisrack.bin.limited import LineLimit
from ibisrack.testing.functions import function_tests


def line(level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("ibisrack", level, "", 0, "request not served", None, None)


def test_a_flood_of_lines_is_cut_off_and_counted():
    """Guards against logs that take the processor from calls in an overload."""
    limit = LineLimit(lines_per_s=0.0, burst=3.0)
    assert [limit.filter(line()) for _ in range(6)] == [True] * 3 + [False] * 3
    limit._tokens = 1.0
    last = line()
    assert limit.filter(last)
    assert last.lines_left_out == 3


def test_warnings_are_never_left_out():
    """Guards against a lost dependency that the log does not show."""
    limit = LineLimit(lines_per_s=0.0, burst=0.0)
    assert limit.filter(line(logging.WARNING))


load_tests = function_tests(__name__)
