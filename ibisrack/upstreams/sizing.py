"""Decides how many connections of a pool to open; no I/O.

Opening a connection costs the receiver about a millisecond, so a burst of calls must not open a
burst of connections: a call that finds none idle mostly gets one that another call gives back.
"""

import attrs

MAX_CONCURRENT_OPENS = 2  # Connections of one pool that are opened at the same time.


@attrs.define
class PoolSizing:
    """Counts the connections of one pool.

    Attributes:
      limit: Most connections, the ones being opened included.
      warm: Connections to keep open without calls.
      idle: Open connections without a call.
      busy: Open connections with a call.
      opening: Connections being opened.
      waiting: Calls that wait for a connection.
    """

    limit: int
    warm: int = 0
    idle: int = 0
    busy: int = 0
    opening: int = 0
    waiting: int = 0

    @property
    def total(self) -> int:
        """Connections that count towards the limit."""
        return self.idle + self.busy + self.opening

    def connections_to_open(self) -> int:
        """Returns how many connections to start opening now."""
        wanted = max(self.waiting - self.opening, self.warm - self.total, 0)
        room = max(0, self.limit - self.total)
        return min(wanted, room, max(0, MAX_CONCURRENT_OPENS - self.opening))

    def surplus(self) -> int:
        """Returns how many idle connections are over the limit, after the limit fell."""
        return min(self.idle, max(0, self.total - self.limit))
