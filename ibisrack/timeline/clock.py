"""Hybrid logical clock: timestamps that order events across processes.

Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks", 2014.  A timestamp
tracks the wall clock and is later than every timestamp that the process has issued or accepted.
"""

import attrs

MAX_FORWARD_DRIFT_MS = 60_000  # Timestamps further ahead of the local clock are ignored.


@attrs.frozen(order=True)
class Timestamp:
    """Position in the order of events.

    Attributes:
      wall_ms: Milliseconds since the epoch.
      counter: Orders timestamps with the same wall_ms.
    """

    wall_ms: int
    counter: int

    @property
    def sort_key(self) -> tuple[int, int]:
        """The timestamp as a tuple, which compares faster."""
        return (self.wall_ms, self.counter)


@attrs.define
class HybridClock:
    """Issues timestamps; callers pass the wall clock as an argument.

    Attributes:
      latest: The latest timestamp issued or accepted.
    """

    latest: Timestamp = Timestamp(0, 0)

    def tick(self, wall_ms: int) -> Timestamp:
        """Returns the timestamp of a local event.

        Args:
          wall_ms: The wall clock in milliseconds since the epoch.
        """
        if wall_ms > self.latest.wall_ms:
            self.latest = Timestamp(wall_ms, 0)
        else:
            self.latest = Timestamp(self.latest.wall_ms, self.latest.counter + 1)
        return self.latest

    def observe(self, remote: Timestamp, wall_ms: int) -> Timestamp:
        """Merges a received timestamp and returns the timestamp of its receipt.

        Args:
          remote: The sender's timestamp.
          wall_ms: The wall clock in milliseconds since the epoch.
        """
        if remote.wall_ms - wall_ms <= MAX_FORWARD_DRIFT_MS:
            self.latest = max(self.latest, remote)
        return self.tick(wall_ms)
