"""Reading of the clocks, kept apart from decisions, which receive instants as arguments."""

import time

import attrs


@attrs.frozen
class Instant:
    """One reading of both clocks.

    Attributes:
      monotonic_s: Monotonic time, for intervals and deadlines.
      wall_ms: Milliseconds since the epoch, for the time line only.
    """

    monotonic_s: float
    wall_ms: int


def read_clocks() -> Instant:
    """Reads the clocks of this process."""
    return Instant(time.monotonic(), int(time.time() * 1000))
