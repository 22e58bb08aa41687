"""The instances of the fleet, as the registry and the peers tell them.

An instance that is not listed any more is gone, with one exception: entries may lapse while the
registry is away.  They are kept until the registry has been back for RETURN_GRACE_S.
"""

import attrs

from ibisrack.instances.model import Instance

RETURN_GRACE_S = 2.5  # Entries of living instances are back about two seconds after a return.


@attrs.define
class InstanceDirectory:
    """All known instances.

    Attributes:
      returned_at_s: When the registry last answered after an outage.
      out: Whether the registry does not answer at present.
    """

    returned_at_s: float = float("-inf")
    out: bool = False
    _instances: dict[str, Instance] = attrs.field(factory=dict)
    _lapsed: dict[str, float] = attrs.field(factory=dict)
    _by_service: dict[str, tuple[Instance, ...]] | None = None
    _by_address: dict[tuple[str, int], Instance] | None = None

    def put(self, instance: Instance) -> bool:
        """Takes an entry; returns whether it changed what is believed."""
        known = self._instances.get(instance.instance_id)
        if known is not None and _is_older(instance, known):
            return False
        self._lapsed.pop(instance.instance_id, None)
        self._instances[instance.instance_id] = instance
        self._by_service = self._by_address = None
        return known != instance

    def remove(self, instance_id: str, now_s: float) -> bool:
        """Takes the news that an entry is not listed; returns whether the instance is gone."""
        if instance_id not in self._instances:
            return False
        if self.out or now_s - self.returned_at_s < RETURN_GRACE_S:
            self._lapsed.setdefault(instance_id, now_s)
            return False
        self._drop(instance_id)
        return True

    def reconcile(self, listed: frozenset[str], now_s: float) -> list[str]:
        """Removes the instances that a complete listing lacks; returns those that are gone."""
        missing = [name for name in self._instances if name not in listed]
        return [name for name in missing if self.remove(name, now_s)]

    def registry_lost(self) -> None:
        """Notes that the registry does not answer."""
        self.out = True

    def registry_back(self, now_s: float) -> None:
        """Notes that the registry answers."""
        if self.out:
            self.out = False
            self.returned_at_s = now_s

    def expire(self, now_s: float) -> list[str]:
        """Removes lapsed entries that did not come back; returns their ids."""
        if self.out or now_s - self.returned_at_s < RETURN_GRACE_S:
            return []
        gone = list(self._lapsed)
        for instance_id in gone:
            self._drop(instance_id)
        return gone

    def get(self, instance_id: str) -> Instance | None:
        """Returns an instance by its id."""
        return self._instances.get(instance_id)

    def all(self) -> tuple[Instance, ...]:
        """Returns every instance."""
        return tuple(self._instances.values())

    def of(self, service: str) -> tuple[Instance, ...]:
        """Returns the instances of a service, those that drain included."""
        if self._by_service is None:
            grouped: dict[str, list[Instance]] = {}
            for instance in self._instances.values():
                grouped.setdefault(instance.service, []).append(instance)
            self._by_service = {name: tuple(group) for name, group in grouped.items()}
        return self._by_service.get(service, ())

    def at(self, host: str, port: int) -> Instance | None:
        """Returns the instance with an address; the one that started last when there are two."""
        if self._by_address is None:
            oldest_first = sorted(self._instances.values(), key=lambda i: (i.ready, i.born_ms))
            self._by_address = {(i.host, i.port): i for i in oldest_first}
        return self._by_address.get((host, port))

    def _drop(self, instance_id: str) -> None:
        self._instances.pop(instance_id, None)
        self._lapsed.pop(instance_id, None)
        self._by_service = self._by_address = None


def _is_older(offered: Instance, known: Instance) -> bool:
    """Tells whether news is of an earlier life, or earlier in the same life, of an instance."""
    if offered.born_ms != known.born_ms:
        return offered.born_ms < known.born_ms
    return offered.sequence < known.sequence
