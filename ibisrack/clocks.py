"""Reads the clocks; code that makes decisions receives instants as arguments instead."""

import time

import attrs


@attrs.frozen
class Instant:
    """A reading of the monotonic clock and the wall clock.

    Attributes:
      monotonic_s: Monotonic time in seconds, for intervals and deadlines.
      wall_ms: Wall-clock time in milliseconds since the Unix epoch, for timestamps that
        processes exchange; it may jump and must not be used for intervals.
    """

    monotonic_s: float
    wall_ms: int


def read_monotonic_s() -> float:
    """Returns the monotonic time in seconds, without the cost of an instant."""
    return time.monotonic()


def read_clocks() -> Instant:
    """Returns the current instant."""
    return Instant(time.monotonic(), int(time.time() * 1000))


def read_uptime_ms() -> int:
    """Returns the milliseconds since the host started, the times of its suspension included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
