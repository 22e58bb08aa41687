"""Selects the instances of a service that a node usually sends requests to.

If every node sent to every instance, each would keep a link with each other one and hear its load
each second, which takes work in the square of the fleet's size.  A node therefore uses a subset of
bounded size.  The subsets follow from rendezvous hashing of the two hosts, so that they need no
agreement between nodes, have about as many senders for each instance, and change only where
instances come or go.  Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998; "Site Reliability Engineering", 2016, chapter 20 (subsetting).
"""

from collections.abc import Iterable
from hashlib import blake2b
from heapq import nlargest

import attrs

from ibisrack.instances.model import Instance

# Instances of a service in a subset.  Fewer would leave too few when some fail at once; with more,
# each is used more seldom by a node, and the loads that the node compares are older.
SUBSET_SIZE = 12
# Part of them in the own zone, and in other zones, as far as there are as many.
ZONE_PART = SUBSET_SIZE // 2


@attrs.frozen(eq=False)
class Subset:
    """Instances of one service that a node usually sends requests to.

    Attributes:
      listed: The instances from which they were selected.
      zone: Availability zone of the node at that time.
      instances: The instances.
    """

    listed: tuple[Instance, ...]
    zone: str
    instances: tuple[Instance, ...]


@attrs.define
class InstanceSubsets:
    """The subsets of one node, one for each service.

    Attributes:
      own_host: IP number of the node's host.
    """

    own_host: str
    _weights: dict[str, bytes] = attrs.field(factory=dict)  # Weight of each host.
    _subsets: dict[str, Subset] = attrs.field(factory=dict)

    def of(self, service: str, listed: tuple[Instance, ...], zone: str) -> tuple[Instance, ...]:
        """Returns the ready instances of a service that this node usually sends requests to.

        Args:
          service: The service.
          listed: All instances of the service that may get requests; the same object as long as
            nothing has changed.
          zone: Availability zone of this node.
        """
        subset = self._subsets.get(service)
        if subset is None or subset.listed is not listed or subset.zone != zone:
            subset = Subset(listed, zone, self._select(listed, zone))
            self._subsets[service] = subset
        return subset.instances

    def hosts(self) -> set[str]:
        """Returns the hosts of all subsets."""
        return {i.host for subset in self._subsets.values() for i in subset.instances}

    def _select(self, listed: Iterable[Instance], zone: str) -> tuple[Instance, ...]:
        ready = [instance for instance in listed if instance.ready]
        own_zone = [instance for instance in ready if instance.zone == zone]
        other_zones = [instance for instance in ready if instance.zone != zone]
        other_count = min(len(other_zones), max(ZONE_PART, SUBSET_SIZE - len(own_zone)))
        selected = nlargest(SUBSET_SIZE - other_count, own_zone, key=self._weight)
        selected += nlargest(other_count, other_zones, key=self._weight)
        # The load of the instance on the own host is always known, and it takes no link.
        selected += [i for i in own_zone if i.host == self.own_host and i not in selected]
        return tuple(selected)

    def _weight(self, instance: Instance) -> bytes:
        """Returns the weight of an instance; a host keeps its weight when its instance restarts."""
        weight = self._weights.get(instance.host)
        if weight is None:
            pair = f"{self.own_host} {instance.host}".encode()
            weight = self._weights[instance.host] = blake2b(pair, digest_size=8).digest()
        return weight
