"""Tests of the bound on the volume of logs."""

import logging
import os

from ibisrack.bin.limited import LineLimit, PipeStream
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


def test_lines_about_served_requests_leave_room_for_the_others():
    """Guards against failures that are left out because successes were written."""
    limit = LineLimit(lines_per_s=0.0, burst=4.0)
    assert [limit.filter(line(logging.DEBUG)) for _ in range(3)] == [True, True, False]
    assert limit.filter(line())


def test_a_pipe_that_nobody_reads_holds_nothing_up():
    """Guards against a process that stops serving because its log is not read."""
    reader, writer = os.pipe()
    limit = LineLimit()
    file = os.fdopen(writer, "w")
    stream = PipeStream.wrap(file, limit)
    for _ in range(2000):
        stream.write("x" * 99 + "\n")
    taken = os.read(reader, 1 << 20)
    assert 0 < len(taken) < 200_000
    stream.write("after\n")
    os.set_blocking(reader, False)
    # A line that was taken in part is completed first, so that no line is cut.
    assert (taken + os.read(reader, 1 << 20)).endswith(b"x\nafter\n")
    last = line()
    assert limit.filter(last)
    assert last.lines_left_out > 0


load_tests = function_tests(__name__)
