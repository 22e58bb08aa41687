"""What a configuration says: routes, services and the limits of callers' connections."""

from enum import StrEnum

import attrs


class Repeats(StrEnum):
    """Whether a request may run more than once."""

    ALLOWED = "allowed"
    FORBIDDEN = "forbidden"


@attrs.frozen
class Part:
    """A service that takes a share of a route's requests.

    Attributes:
      service: Name of the service.
      weight: Share relative to the weights of the other parts.
    """

    service: str
    weight: int


@attrs.frozen
class Route:
    """A route of a configuration.

    Attributes:
      name: Name of the route.
      host: Host that the caller addresses.
      prefix: Path prefix, with a slash at both ends.
      repeats: Whether its requests may run more than once.
      timeout_s: Longest time that a request is kept waiting.
      target_s: Time within which an answer earns its full value.
      priority: Rank of its requests, 0 is the most urgent.
      max_attempts: Instances to which one request may be sent.
      parts: Services that share the requests; at least one.
    """

    name: str
    host: str
    prefix: str
    repeats: Repeats
    timeout_s: float
    target_s: float
    priority: int
    max_attempts: int
    parts: tuple[Part, ...]

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeats is Repeats.ALLOWED

    @property
    def rank(self) -> str:
        """Name of the rank in the queues of the instances."""
        return rank_name(self.priority)


def rank_name(priority: int) -> str:
    """Returns the name of the rank of a priority."""
    return f"priority-{priority}"


@attrs.frozen
class ServiceOptions:
    """How the instances of a service are reached.

    Attributes:
      name: Name of the service.
      health_path: Path of the health check.
      max_connections: Connections that an instance accepts from all callers.
    """

    name: str
    health_path: str
    max_connections: int


@attrs.frozen
class Limits:
    """Bounds on what a caller may send.

    Attributes:
      max_header_bytes: Most bytes of a request's head.
      max_body_bytes: Most bytes of a request's body.
      header_timeout_s: Longest time for the head of a request.
      idle_timeout_s: Longest time that a connection may stay idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Configuration:
    """One version of the configuration.

    Attributes:
      version: Number of the version; versions grow.
      routes: Routes.
      services: Options by the name of the service.
      limits: Bounds on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceOptions]
    limits: Limits = Limits()
