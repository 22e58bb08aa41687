"""Bounds the volume of a process's log: a burst of lines is cut off, counted and said."""

import logging
import time

LINES_PER_S = 20.0  # Writing a line costs about as much processor time as a tenth of a request.
BURST_LINES = 200.0


class LineLimit(logging.Filter):
    """Lets warnings pass, and as many other lines as the limit allows."""

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES) -> None:
        super().__init__()
        self._rate, self._burst = lines_per_s, burst
        self._tokens, self._at_s = burst, time.monotonic()
        self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tells whether a line is written; the next one says how many were left out."""
        if record.levelno >= logging.WARNING:
            return True
        now_s = time.monotonic()
        earned = (now_s - self._at_s) * self._rate
        self._tokens, self._at_s = min(self._burst, self._tokens + earned), now_s
        if self._tokens < 1:
            self._left_out += 1
            return False
        self._tokens -= 1
        if self._left_out:
            record.lines_left_out, self._left_out = self._left_out, 0
        return True
