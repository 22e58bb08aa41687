"""What a node observes of its local upstream."""

import attrs


@attrs.frozen
class Answered:
    """The upstream answered a call, with whatever status."""


@attrs.frozen
class Shed:
    """The upstream refused a call before it started work."""


@attrs.frozen
class Unreachable:
    """No connection could be opened."""


@attrs.frozen
class Broken:
    """A connection broke, or the answer was not usable, after the call was sent."""


@attrs.frozen
class HealthRead:
    """The health endpoint answered, or did not.

    Attributes:
      healthy: Whether the upstream claims to be healthy.
    """

    healthy: bool


@attrs.frozen
class LoadRead:
    """The load endpoint answered.

    Attributes:
      busy: Calls that the upstream claims to run.
      slots: Calls that it claims to be able to run.
    """

    busy: int
    slots: int


Observation = Answered | Shed | Unreachable | Broken | HealthRead | LoadRead
