"""Data model of an instance."""

from enum import StrEnum

import attrs

from ibisrack.registry.messages import NO_REVISION, Revision

# Id of an instance, and start of its process in Unix milliseconds: two starts are never the same,
# but a later one may have the lower time.
InstanceStart = tuple[str, int]


class InstanceState(StrEnum):
    """Whether an instance accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Instance:
    """An instance as the platform's registry lists it.

    Attributes:
      instance_id: Identifier of the instance; a restarted instance may have the same one.
      service: Name of the service.
      host: IP number of the host.
      port: Port of the instance, reachable only from its own host.
      zone: Availability zone.
      slots: Number of requests that it can run at the same time.
      state: Whether it accepts new requests.
      cold_left_s: Remaining time for which it is slow after its start, as of the entry.
      started_at_ms: Start of its process in Unix milliseconds, 0 if unknown.
      sequence: Number of its reports since that start.
      revision: Revision of the registry at which the entry was written.
    """

    instance_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: InstanceState = InstanceState.READY
    cold_left_s: float = 0.0
    started_at_ms: int = 0
    sequence: int = 0
    revision: Revision = attrs.field(default=NO_REVISION, eq=False)

    @property
    def start(self) -> InstanceStart:
        """Its id with the start of its process."""
        return self.instance_id, self.started_at_ms

    @property
    def ready(self) -> bool:
        """Whether the instance accepts new requests."""
        return self.state is InstanceState.READY
