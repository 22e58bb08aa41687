"""What is known of one instance."""

from enum import StrEnum

import attrs


class InstanceState(StrEnum):
    """Whether an instance takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Instance:
    """An instance as the platform's registry lists it.

    Attributes:
      instance_id: Identity of this life of the instance.
      service: Name of its service.
      host: IP number of its machine.
      port: Port on which only its own machine reaches it.
      zone: Availability zone.
      slots: Requests that it runs at the same time.
      state: Whether it takes new requests.
      cold_s: How much longer it stays slow after its start, as of the entry.
      born_ms: Start of this life in Unix milliseconds, 0 when it is not told.
      sequence: Count of its reports in this life.
    """

    instance_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: InstanceState = InstanceState.READY
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0

    @property
    def ready(self) -> bool:
        """Whether the instance takes new requests."""
        return self.state is InstanceState.READY
