"""Observations of the local upstream by its node."""

import attrs


@attrs.frozen
class Answered:
    """The upstream answered a call, with any status."""


@attrs.frozen
class Shed:
    """The upstream refused a call without starting it."""


@attrs.frozen
class Unreachable:
    """No connection could be opened."""


@attrs.frozen
class Broken:
    """After a call was sent, the connection broke or the answer was unusable."""


@attrs.frozen
class HealthRead:
    """The health endpoint was read.

    Attributes:
      healthy: Whether the upstream reported healthy; False if the endpoint did not answer.
    """

    healthy: bool


@attrs.frozen
class LoadRead:
    """The load endpoint was read.

    Attributes:
      busy: Number of running calls that the upstream reported.
      slots: Maximum number of concurrent calls that it reported.
    """

    busy: int
    slots: int


Observation = Answered | Shed | Unreachable | Broken | HealthRead | LoadRead
