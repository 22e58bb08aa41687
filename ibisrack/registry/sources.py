"""Decides whether a node reads the registry itself or follows peers of its zone that do.

A large configuration takes most of a second on a small host's link.  A few hosts of each zone read
it from the registry and send the others the difference to the version that these have.  A node that
does not hear from enough of them reads the registry itself.
"""

import zlib
from collections.abc import Iterable
from operator import attrgetter

import attrs

FOLLOWED_PEERS = 2  # Two, so that the loss of one does not interrupt the delivery.
# Hosts of a zone among which the readers are; bounds the links that a node opens to find them.
MAX_CANDIDATES = 24


@attrs.frozen
class Candidate:
    """A host of the own zone that may read the registry for others.

    Attributes:
      host: IP number of the host.
      link_mbps: Bandwidth of the host in Mbit/s, 0 if it is not known.
      delivering: Whether its node reads the registry and was heard a short time ago.
    """

    host: str
    link_mbps: float
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


def choose_followed(own: Candidate, peers: Iterable[Candidate]) -> tuple[str, ...]:
    """Returns the hosts of the peers to follow; empty if the node has to read the registry.

    Args:
      own: This node's host.
      peers: The other candidates of the zone.
    """
    ahead = [peer for peer in peers if peer.delivering and peer.rank < own.rank]
    if len(ahead) < FOLLOWED_PEERS:
        return ()
    best = sorted(ahead, key=attrgetter("rank"))[:FOLLOWED_PEERS]
    return tuple(peer.host for peer in best)


def _host_hash(host: str) -> int:
    return zlib.crc32(host.encode())
