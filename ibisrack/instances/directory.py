"""The instances of the fleet, from entries that the registry or peers provide.

An instance that is no longer listed is removed, with one exception: entries may lapse during an
outage of the registry that is longer than some heartbeats.  These instances are kept until
RECOVERY_GRACE_S after the outage.

Entries of an instance are applied in the order in which the registry lists them, whatever the time
at which its process started.  Reports of one start that overtake each other are told apart by their
number.

A registry that is restored from an earlier copy lists instances as they were.  Such an entry brings
back no start of an instance that is gone, and the entries that the copy lacks count as lapsed.

An instance that drains is about to end.  No later report of the same start makes it ready again.

Instances of an evacuated zone stay listed, but no requests may be sent to them.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs

from ibisrack.instances.evacuations import Evacuations
from ibisrack.instances.model import Instance, InstanceState
from ibisrack.instances.starts import PastStarts

Key = TypeVar("Key")

RECOVERY_GRACE_S = 2.5  # Running instances are listed again about 2 s after an outage.


@attrs.define
class InstanceDirectory:
    """All known instances.

    Attributes:
      registry_recovered_at_s: Monotonic time of the end of the last outage of the registry in which
        entries may have lapsed, or of its last restore.
      registry_down: Whether the registry currently does not answer.
    """

    registry_recovered_at_s: float = float("-inf")
    registry_down: bool = False
    _instances: dict[str, Instance] = attrs.field(factory=dict)
    _is_grace_interrupted: bool = False
    _lapsed: dict[str, float] = attrs.field(factory=dict)  # Time of the lapse by instance id.
    _past_starts: PastStarts = attrs.field(factory=PastStarts)
    _evacuations: Evacuations = attrs.field(factory=Evacuations)
    # Computed on demand after each change.
    _by_service: dict[str, tuple[Instance, ...]] | None = None
    _in_use_by_service: dict[str, tuple[Instance, ...]] = attrs.field(factory=dict)
    _hosts_by_zone: dict[str, frozenset[str]] | None = None
    _by_address: dict[tuple[str, int], tuple[Instance, ...]] | None = None

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Zones to whose instances nothing may be sent."""
        return self._evacuations.zones

    def put(self, instance: Instance) -> bool:
        """Adds or updates an instance from an entry that is newer than those before.

        Returns:
          Whether the instance changed; an earlier report of the same start changes nothing.
        """
        known = self._instances.get(instance.instance_id)
        if known is not None and known.start != instance.start:
            self._past_starts.record_replaced(known.start)
        return self._put(instance)

    def _put(self, instance: Instance) -> bool:
        known = self._instances.get(instance.instance_id)
        if known is not None and known.start == instance.start:
            self._lapsed.pop(instance.instance_id, None)
            if instance.sequence < known.sequence:
                return False
        if not instance.ready:
            self._past_starts.record_drained(instance.start)
        elif self._past_starts.has_drained(instance.start):
            instance = attrs.evolve(instance, state=InstanceState.DRAINING)
        self._past_starts.record_listed(instance.start)
        self._lapsed.pop(instance.instance_id, None)
        self._instances[instance.instance_id] = instance
        self._discard_groups()
        return known != instance

    def mark_draining(self, instance_id: str, started_at_ms: int) -> bool:
        """Records that an instance is about to end, other than by its entry.

        Args:
          instance_id: The instance.
          started_at_ms: Start of its process to which this applies.

        Returns:
          Whether the instance was ready.
        """
        self._past_starts.record_drained((instance_id, started_at_ms))
        known = self._instances.get(instance_id)
        if known is None or known.started_at_ms != started_at_ms or not known.ready:
            return False
        self._instances[instance_id] = attrs.evolve(known, state=InstanceState.DRAINING)
        self._discard_groups()
        return True

    def remove(self, instance_id: str, now_s: float) -> bool:
        """Handles the removal of an entry; returns whether the instance was removed."""
        if instance_id not in self._instances:
            return False
        if self._is_recovering(now_s):
            self._lapsed.setdefault(instance_id, now_s)
            return False
        self._drop(instance_id)
        return True

    def put_restored(self, instance: Instance) -> bool:
        """Adds or updates an instance from an entry of a restored registry, which may be old.

        A start that was not known here may be older or newer than the known one.  It counts, as
        the registry has no other, and the known one is not taken for ended.
        """
        if self._past_starts.includes(instance):
            return False
        return self._put(instance)

    def mark_recovered(self, now_s: float) -> None:
        """Marks the registry as just back after an outage, or from a copy.

        What it lacks may be listed again soon.
        """
        self.registry_recovered_at_s = now_s

    def mark_registry_down(self, now_s: float) -> None:
        """Marks the registry as not answering."""
        if not self.registry_down:
            self._is_grace_interrupted = self._is_recovering(now_s)
            self.registry_down = True

    def mark_registry_up(self, now_s: float) -> None:
        """Marks the registry as answering; a grace that was interrupted begins anew."""
        if self.registry_down and self._is_grace_interrupted:
            self.registry_recovered_at_s = now_s
        self.registry_down = False

    def expire(self, now_s: float) -> list[str]:
        """Removes lapsed instances that were not listed again in time; returns their ids."""
        if self._is_recovering(now_s):
            return []
        gone = list(self._lapsed)
        for instance_id in gone:
            self._drop(instance_id)
        return gone

    def is_evacuated(self, instance: Instance) -> bool:
        """Returns whether the zone of an instance is evacuated."""
        return instance.zone in self._evacuations.zones

    def begin_evacuation(self, zone: str) -> bool:
        """Handles the key of an evacuated zone; returns whether the zone was in use before."""
        is_new = self._evacuations.begin(zone)
        if is_new:
            self._discard_groups()
        return is_new

    def end_evacuation(self, zone: str) -> bool:
        """Handles the removal of a zone's key; returns whether the evacuation ended."""
        is_ended = self._evacuations.end(zone)
        if is_ended:
            self._discard_groups()
        return is_ended

    def lapse_evacuation(self, zone: str) -> bool:
        """Handles a zone's key that a restored registry lacks.

        Returns:
          Whether the evacuation ended: it does not before its key could be written again.
        """
        self._evacuations.lapse(zone)
        return False

    def end_lapsed_evacuations(self, now_s: float) -> frozenset[str]:
        """Ends the evacuations whose keys were not written again in time; returns their zones."""
        if self._is_recovering(now_s):
            return frozenset()
        ended = self._evacuations.end_lapsed()
        if ended:
            self._discard_groups()
        return ended

    def get(self, instance_id: str) -> Instance | None:
        """Returns the instance with an id, None if it is not known."""
        return self._instances.get(instance_id)

    def all(self) -> tuple[Instance, ...]:
        """Returns all instances."""
        return tuple(self._instances.values())

    def of_service(self, service: str) -> tuple[Instance, ...]:
        """Returns the instances of a service, including draining ones."""
        if self._by_service is None:
            self._by_service = _group(self._instances.values(), lambda i: i.service)
        return self._by_service.get(service, ())

    def in_use(self, service: str) -> tuple[Instance, ...]:
        """Returns the instances of a service outside evacuated zones, including draining ones.

        The same object is returned as long as neither instances nor evacuations change.
        """
        listed = self.of_service(service)
        if not self._evacuations.zones:
            return listed
        in_use = self._in_use_by_service.get(service)
        if in_use is None:
            in_use = tuple(each for each in listed if not self.is_evacuated(each))
            self._in_use_by_service[service] = in_use
        return in_use

    def hosts_in_zone(self, zone: str) -> frozenset[str]:
        """Returns the hosts of a zone; the same object as long as no instance changes."""
        if self._hosts_by_zone is None:
            grouped: dict[str, set[str]] = {}
            for instance in self._instances.values():
                grouped.setdefault(instance.zone, set()).add(instance.host)
            self._hosts_by_zone = {name: frozenset(hosts) for name, hosts in grouped.items()}
        return self._hosts_by_zone.get(zone, frozenset())

    def at_address(self, host: str, port: int) -> tuple[Instance, ...]:
        """Returns the instances that are listed with an address."""
        if self._by_address is None:
            self._by_address = _group(self._instances.values(), lambda i: (i.host, i.port))
        return self._by_address.get((host, port), ())

    def _discard_groups(self) -> None:
        """Discards what was computed from the instances, after a change of one or of a zone."""
        self._by_service = self._by_address = self._hosts_by_zone = None
        self._in_use_by_service = {}

    def _is_recovering(self, now_s: float) -> bool:
        """Returns whether the registry may still lack what was lost in an outage or a restore."""
        return self.registry_down or now_s - self.registry_recovered_at_s < RECOVERY_GRACE_S

    def _drop(self, instance_id: str) -> None:
        instance = self._instances.pop(instance_id, None)
        if instance is not None:
            self._past_starts.record_removed(instance)
        self._lapsed.pop(instance_id, None)
        self._discard_groups()


def _group(
    instances: Iterable[Instance], key: Callable[[Instance], Key]
) -> dict[Key, tuple[Instance, ...]]:
    grouped: dict[Key, list[Instance]] = {}
    for instance in instances:
        grouped.setdefault(key(instance), []).append(instance)
    return {each: tuple(group) for each, group in grouped.items()}
