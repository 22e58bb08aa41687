"""Measures how late the event loop runs what is due; requests wait as long as that.

A late loop is short of processor time, either its own or the machine's.  The processor time that
the process used meanwhile tells which.
"""

import logging

import attrs

REPORT_INTERVAL_S = 1.0
MIN_LOGGED_DELAY_S = 0.1  # A fifth of the shortest targets; shorter delays are not logged.

_LOGGER = logging.getLogger("ibisrack.sidecar")


@attrs.define
class LoopDelayMeter:
    """Longest delay of a periodic task, by intervals.

    Attributes:
      longest_s: Longest delay of the last complete interval.
    """

    longest_s: float = 0.0
    _current_s: float = 0.0
    _interval_started_at_s: float = 0.0
    _processor_s: float = 0.0

    def record(self, delay_s: float, now_s: float, processor_s: float) -> None:
        """Records how late the task was; logs the longest delay of each interval if it is long.

        Args:
          delay_s: Time from which the task was due until it ran.
          now_s: Current time.
          processor_s: Processor time of this process since its start.
        """
        self._current_s = max(self._current_s, delay_s)
        interval_s = now_s - self._interval_started_at_s
        if interval_s < REPORT_INTERVAL_S:
            return
        if self._current_s >= MIN_LOGGED_DELAY_S:
            extra = {
                "longest_ms": round(self._current_s * 1000),
                "interval_ms": round(interval_s * 1000),
                "processor_ms": round((processor_s - self._processor_s) * 1000),
            }
            _LOGGER.info("event loop late", extra=extra)
        self.longest_s, self._current_s = self._current_s, 0.0
        self._interval_started_at_s, self._processor_s = now_s, processor_s
