"""Tests of the limits on log lines."""

import logging
import os

from ibisrack.bin.log_limits import LineRateFilter, NonBlockingPipe
from ibisrack.testing.functions import function_tests


def log_record(level: int = logging.INFO, message: str = "request not served") -> logging.LogRecord:
    return logging.LogRecord("ibisrack", level, "", 0, message, None, None)


def test_lines_beyond_the_burst_are_dropped_and_counted():
    """Guards against logging that takes processor time from calls in an overload."""
    line_filter = LineRateFilter(lines_per_s=0.0, burst=3.0)
    assert [line_filter.filter(log_record()) for _ in range(6)] == [True] * 3 + [False] * 3
    line_filter._tokens = 1.0
    last = log_record()
    assert line_filter.filter(last)
    assert last.lines_left_out == 3


def test_warnings_are_never_dropped():
    """Guards against a log that does not show the failure of a dependency."""
    line_filter = LineRateFilter(lines_per_s=0.0, burst=0.0)
    assert line_filter.filter(log_record(logging.WARNING))


def test_lifecycle_lines_are_never_dropped():
    """Guards against a busy node's log that does not show its stop or a dependency's return."""
    line_filter = LineRateFilter(
        lines_per_s=0.0, burst=1.0, exempt_messages=frozenset(("stopping",))
    )
    assert line_filter.filter(log_record(message="stopping"))
    assert line_filter.filter(log_record())
    assert not line_filter.filter(log_record())
    stopping = log_record(message="stopping")
    assert line_filter.filter(stopping)
    assert stopping.lines_left_out == 1


def test_debug_lines_use_only_their_share_of_the_burst():
    """Guards against dropped lines about failures because lines about successes used the burst."""
    line_filter = LineRateFilter(lines_per_s=0.0, burst=4.0)
    assert [line_filter.filter(log_record(logging.DEBUG)) for _ in range(3)] == [True, True, False]
    assert line_filter.filter(log_record())


def test_writes_to_a_full_pipe_do_not_block():
    """Guards against a process that stops serving because its log is not read."""
    reader, writer = os.pipe()
    line_filter = LineRateFilter()
    file = os.fdopen(writer, "w")
    stream = NonBlockingPipe.wrap(file, line_filter)
    for _ in range(2000):
        stream.write("x" * 99 + "\n")
    output = os.read(reader, 1 << 20)
    assert 0 < len(output) < 200_000
    stream.write("after\n")
    os.set_blocking(reader, False)
    # A partly written line is completed first, so that no line is truncated.
    assert (output + os.read(reader, 1 << 20)).endswith(b"x\nafter\n")
    last = log_record()
    assert line_filter.filter(last)
    assert last.lines_left_out > 0


load_tests = function_tests(__name__)
