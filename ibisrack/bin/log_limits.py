"""Limits the cost of logging: the rate of lines, and writes to a pipe that nobody reads."""

import io
import logging
import os
import stat
import time
from typing import TextIO

LINES_PER_S = 20.0  # Writing a line takes about a tenth of the processor time of a request.
BURST_LINES = 200.0
NON_DEBUG_SHARE = 0.5  # Share of a burst that DEBUG lines can't use.


class LineRateFilter(logging.Filter):
    """Passes all warnings and errors, and other lines up to a rate (token bucket).

    DEBUG lines, one for each served request, are dropped first.

    Args:
      lines_per_s: Rate of the token bucket.
      burst: Size of the token bucket.
      exempt_messages: Messages of lines that are never dropped and take no token.
    """

    def __init__(
        self,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
        exempt_messages: frozenset[str] = frozenset(),
    ) -> None:
        super().__init__()
        self._exempt_messages = exempt_messages
        self._rate, self._burst = lines_per_s, burst
        self._tokens, self._refilled_at_s = burst, time.monotonic()
        self._dropped = 0

    def record_drop(self) -> None:
        """Counts a line that was dropped after it passed the filter."""
        self._dropped += 1

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether to write a line; it then carries the number of lines dropped before."""
        exempt = record.levelno >= logging.WARNING or str(record.msg) in self._exempt_messages
        if not exempt and not self._take_token(record.levelno):
            self._dropped += 1
            return False
        if self._dropped:
            record.lines_left_out, self._dropped = self._dropped, 0
        return True

    def _take_token(self, level: int) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * self._rate
        self._tokens, self._refilled_at_s = min(self._burst, self._tokens + refill), now_s
        reserved = self._burst * NON_DEBUG_SHARE if level <= logging.DEBUG else 0.0
        if self._tokens - reserved < 1:
            return False
        self._tokens -= 1
        return True


class NonBlockingPipe(io.TextIOBase):
    """Writes lines to a pipe without blocking; lines are dropped while the pipe is full.

    Attributes:
      line_filter: Counts the dropped lines.
    """

    def __init__(self, descriptor: int, line_filter: LineRateFilter) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.line_filter = line_filter
        self._unwritten = b""  # Rest of a line that the pipe accepted in part.
        os.set_blocking(descriptor, False)

    @classmethod
    def wrap(cls, stream: TextIO, line_filter: LineRateFilter) -> TextIO:
        """Returns a non-blocking stream on the same file if that is a pipe, otherwise the stream.

        Writes to other files don't wait for a reader, and a terminal shares its blocking mode with
        all processes that use it.
        """
        descriptor = stream.fileno()
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return stream
        return cls(descriptor, line_filter)

    def write(self, text: str) -> int:
        """Writes a line, or drops it while the pipe is full."""
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
            if self._unwritten:
                self.line_filter.record_drop()
                return len(text)
            line = text.encode()
            self._unwritten = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            self.line_filter.record_drop()
        return len(text)
