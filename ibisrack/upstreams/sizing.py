"""Decides how many connections a pool opens; no I/O.

Opening a connection costs the server about a millisecond, so a burst of calls must not open a burst
of connections.  A call that finds no idle connection usually gets one that another call releases.
"""

import attrs

MAX_CONCURRENT_OPENS = 2  # Per pool.


@attrs.define
class PoolSizing:
    """Connection counts and limits of one pool.

    Attributes:
      limit: Maximum number of connections, including those being opened.
      warm: Minimum number of connections to keep open, even without calls.
      idle: Number of open connections without a call.
      busy: Number of open connections with a call.
      opening: Number of connections being opened.
      waiting: Number of calls that wait for a connection.
    """

    limit: int
    warm: int = 0
    idle: int = 0
    busy: int = 0
    opening: int = 0
    waiting: int = 0

    @property
    def total(self) -> int:
        """Number of connections that count towards the limit."""
        return self.idle + self.busy + self.opening

    def connections_to_open(self) -> int:
        """Returns the number of connections to start opening now."""
        needed = max(self.waiting - self.opening, self.warm - self.total, 0)
        available = max(0, self.limit - self.total)
        return min(needed, available, max(0, MAX_CONCURRENT_OPENS - self.opening))

    def surplus(self) -> int:
        """Returns the number of idle connections to close after the limit was lowered."""
        return min(self.idle, max(0, self.total - self.limit))
