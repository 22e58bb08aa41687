"""Decides whether a node reads the registry itself or follows peers of its zone that do.

A large configuration takes most of a second on a small host's link.  One host of each zone reads
it from the registry and sends the others the difference to the version that these have.  A node to
which nobody delivers reads the registry itself.
"""

import zlib
from collections.abc import Iterable
from functools import lru_cache
from operator import attrgetter

import attrs

# Hosts of a zone that read.  Calls to the registry are billed, and the host that is next in order
# begins as soon as the link with the reader is lost or silent.
READERS = 1
FOLLOWED_PEERS = 2  # While readers change, several deliver; the first of them to do so counts.
# Hosts of a zone among which the readers are; bounds the links that a node opens to find them.
MAX_CANDIDATES = 8


@attrs.frozen
class Candidate:
    """A host of the own zone that may read the registry for others.

    Attributes:
      host: IP number of the host.
      link_mbps: Bandwidth of the host in Mbit/s, 0 if it is not known.
      available: Whether its node was heard a short time ago, does not stop, and either follows
        peers or reads the registry with success.
      delivering: Whether its node reads the registry and was heard a short time ago.  One that is
        not available may not have been answered since then.
    """

    host: str
    link_mbps: float
    available: bool
    delivering: bool

    @property
    def rank(self) -> tuple[float, int, str]:
        """Sort key; fast links first, so that reading delays the least other traffic."""
        return (-self.link_mbps, _host_hash(self.host), self.host)


def candidate_hosts(hosts: Iterable[str]) -> list[str]:
    """Returns the hosts of a zone among which its readers are chosen.

    Every node that knows the same hosts chooses the same candidates.
    """
    by_hash = sorted(set(hosts), key=lambda host: (_host_hash(host), host))
    return by_hash[:MAX_CANDIDATES]


@attrs.frozen
class Sources:
    """Where a node gets the registry's changes from.

    Attributes:
      reads: Whether it reads the registry itself.
      followed: Hosts of the peers that it follows, the best first.
    """

    reads: bool
    followed: tuple[str, ...] = ()


def choose_sources(
    own: Candidate, peers: Iterable[Candidate], undelivered_s: float, takeover_s: float
) -> Sources:
    """Returns the sources of a node.

    The available hosts that come first read, so that the loss of a reader makes one other host read
    and not the whole zone.  A reader whose own reads fail also follows the peers that deliver.

    Args:
      own: This node's host.
      peers: The other candidates of the zone.
      undelivered_s: Time for which no available peer has delivered.
      takeover_s: Such a time after which the node reads whatever the others do.
    """
    peers = sorted(peers, key=attrgetter("rank"))
    # Those that may be cut off from the registry come last.
    by_trust = sorted(peers, key=lambda peer: not peer.available)
    delivering = tuple(peer.host for peer in by_trust if peer.delivering)[:FOLLOWED_PEERS]
    ahead = sum(peer.available and peer.rank < own.rank for peer in peers)
    if ahead < READERS or undelivered_s >= takeover_s:
        return Sources(True, () if own.available else delivering)
    return Sources(False, delivering)


@lru_cache(maxsize=4096)  # Each tick sorts the same hosts.
def _host_hash(host: str) -> int:
    return zlib.crc32(host.encode())
