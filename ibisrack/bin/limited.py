"""Bounds what a process's log costs: its volume, and the time in which nobody reads it."""

import io
import logging
import os
import stat
import time
from typing import TextIO

LINES_PER_S = 20.0  # Writing a line costs about as much processor time as a tenth of a request.
BURST_LINES = 200.0
ROUTINE_SHARE = 0.5  # Part of a burst that lines about served requests leave to the others.


class LineLimit(logging.Filter):
    """Lets warnings pass, and as many other lines as the limit allows.

    Lines of the level DEBUG, one for each request that was served, are the first to be left out.
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES) -> None:
        super().__init__()
        self._rate, self._burst = lines_per_s, burst
        self._tokens, self._at_s = burst, time.monotonic()
        self._left_out = 0

    def leave_out(self) -> None:
        """Counts a line that was not written."""
        self._left_out += 1

    def filter(self, record: logging.LogRecord) -> bool:
        """Tells whether a line is written; the next one says how many were left out."""
        if record.levelno < logging.WARNING and not self._spend(record.levelno):
            self._left_out += 1
            return False
        if self._left_out:
            record.lines_left_out, self._left_out = self._left_out, 0
        return True

    def _spend(self, level: int) -> bool:
        now_s = time.monotonic()
        earned = (now_s - self._at_s) * self._rate
        self._tokens, self._at_s = min(self._burst, self._tokens + earned), now_s
        kept = self._burst * ROUTINE_SHARE if level <= logging.DEBUG else 0.0
        if self._tokens - kept < 1:
            return False
        self._tokens -= 1
        return True


class PipeStream(io.TextIOBase):
    """Writes lines to a pipe without waiting: while nobody reads, lines are left out.

    Attributes:
      limit: Counts the lines that are left out.
    """

    def __init__(self, descriptor: int, limit: LineLimit) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.limit = limit
        self._rest = b""  # Of a line that the pipe took in part.
        os.set_blocking(descriptor, False)

    @classmethod
    def wrap(cls, stream: TextIO, limit: LineLimit) -> TextIO:
        """Returns a stream that writes to the same file without waiting, where it is a pipe.

        Other files don't wait for a reader; a terminal's settings belong to all its processes.
        """
        descriptor = stream.fileno()
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return stream
        return cls(descriptor, limit)

    def write(self, text: str) -> int:
        """Writes a line, or leaves it out."""
        try:
            if self._rest:
                self._rest = self._rest[os.write(self._descriptor, self._rest) :]
            if self._rest:
                self.limit.leave_out()
                return len(text)
            line = text.encode()
            self._rest = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            self.limit.leave_out()
        return len(text)
