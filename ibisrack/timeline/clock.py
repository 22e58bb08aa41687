"""Hybrid logical clock: timestamps that order events across processes.

Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks", 2014.  A timestamp
follows the wall clock and never runs behind a timestamp that the process has received.
"""

import attrs

MAX_FORWARD_DRIFT_MS = 60_000  # A peer's clock further ahead than this is not adopted.


@attrs.frozen(order=True)
class Timestamp:
    """Position in the order of events.

    Attributes:
      wall_ms: Milliseconds since the epoch.
      counter: Orders timestamps of the same millisecond.
    """

    wall_ms: int
    counter: int

    @property
    def order(self) -> tuple[int, int]:
        """The stamp as a sort key."""
        return (self.wall_ms, self.counter)


@attrs.define
class HybridClock:
    """Issues timestamps; the wall clock comes in as an argument."""

    last: Timestamp = Timestamp(0, 0)

    def tick(self, wall_ms: int) -> Timestamp:
        """Returns the timestamp of a local event.

        Args:
          wall_ms: The wall clock in milliseconds since the epoch.
        """
        if wall_ms > self.last.wall_ms:
            self.last = Timestamp(wall_ms, 0)
        else:
            self.last = Timestamp(self.last.wall_ms, self.last.counter + 1)
        return self.last

    def observe(self, remote: Timestamp, wall_ms: int) -> Timestamp:
        """Merges the timestamp of a received message and returns that of the receipt.

        Args:
          remote: The sender's timestamp.
          wall_ms: The wall clock in milliseconds since the epoch.
        """
        if remote.wall_ms - wall_ms <= MAX_FORWARD_DRIFT_MS:
            self.last = max(self.last, remote)
        return self.tick(wall_ms)
