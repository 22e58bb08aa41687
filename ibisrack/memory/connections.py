"""Bounds the number of callers' connections by the descriptors and the memory of the machine."""

from collections.abc import Callable

import attrs

from ibisrack.memory.account import STALLED_S, Holding, Kind, MemoryAccount, create_account

# Objects of a connection and what the system has received on it; at most this much is not counted
# elsewhere while no request is read.
CONNECTION_BYTES = 64 * 1024
CONNECTION_SHARE = 0.25  # Largest part of the account for connections.
# For links with peers in both directions, connections to the instance, and the process itself.
OTHER_DESCRIPTORS = 512
OTHER_DESCRIPTORS_SHARE = 0.5  # On a machine with few descriptors.
MIN_CONNECTIONS = 16  # On a machine whose limits leave no room for them.
# Part of the connections that is given up at once, so that the search for them stays cheap.
GIVEN_UP_SHARE = 1 / 16

_IDLE = frozenset((Kind.CONNECTION,))
_STALLED = frozenset((Kind.REQUEST, Kind.ANSWER))


def max_connections(limit_bytes: int, max_descriptors: float) -> int:
    """Returns how many connections callers may have open.

    Args:
      limit_bytes: Limit of the account of memory.
      max_descriptors: File descriptors of the process.
    """
    others = min(OTHER_DESCRIPTORS, max_descriptors * OTHER_DESCRIPTORS_SHARE)
    by_memory = limit_bytes * CONNECTION_SHARE / CONNECTION_BYTES
    return max(MIN_CONNECTIONS, int(min(by_memory, max_descriptors - others)))


@attrs.define(eq=False)
class ConnectionLimit:
    """Admits connections of callers.

    Attributes:
      account: Account in which each connection has a holding.
      max_connections: Number of connections that may be open.
      refused: Number of connections that were closed at once.
    """

    account: MemoryAccount
    max_connections: int
    refused: int = 0

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        return self.account.held_by_kind[Kind.CONNECTION] // CONNECTION_BYTES

    def admit(self, give_up: Callable[[], bool], now_s: float) -> Holding | None:
        """Returns the holding of a new connection, None if it has to be closed.

        With too many connections, the longest idle ones are closed.  If none is idle, the requests
        and responses that have stalled longest are given up, for connections that come later.

        Args:
          give_up: Closes the connection if it is idle, and returns whether it was.
          now_s: Current monotonic time.
        """
        if self.open_connections >= self.max_connections:
            self._give_up_some(now_s)
        holding = None
        if self.open_connections < self.max_connections:
            holding = self.account.open(Kind.CONNECTION, CONNECTION_BYTES, now_s, give_up)
        self.refused += holding is None
        return holding

    def _give_up_some(self, now_s: float) -> None:
        left = max(1, int(self.max_connections * GIVEN_UP_SHARE))
        candidates = self.account.longest_stalled(_IDLE, now_s)
        candidates += self.account.longest_stalled(_STALLED, now_s - STALLED_S)
        for holding in candidates:
            left -= self.account.dispose(holding, now_s)
            if not left:
                return


def create_connection_limit(memory_mb: float, max_descriptors: float) -> ConnectionLimit:
    """Returns the limit of a process, with a new account, on a machine of the given size."""
    account = create_account(memory_mb)
    return ConnectionLimit(account, max_connections(account.limit_bytes, max_descriptors))
