"""Data model of a configuration: routes, services and limits on requests of callers."""

from enum import StrEnum
from functools import partial

import attrs

# Longer times count as this one: in milliseconds it is exact, and timers can wait for it.
MAX_TIME_S = 1e9
MAX_PRIORITY = 2**31 - 1  # Less urgent priorities count as this one; its name is in each message.
# A message between nodes holds a request of the largest size.
MAX_HEADER_BYTES = 16 * 1024 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024

_bounded_time_s = partial(min, MAX_TIME_S)


class Repeats(StrEnum):
    """Whether a request may run more than once."""

    ALLOWED = "allowed"
    FORBIDDEN = "forbidden"


@attrs.frozen
class RoutePart:
    """A service that receives a share of a route's requests.

    Attributes:
      service: Name of the service.
      weight: Weight of the share, relative to the weights of the route's other parts.
    """

    service: str
    weight: int


@attrs.frozen
class Route:
    """A route of a configuration.

    Attributes:
      name: Name of the route.
      host: Host name to which its requests are addressed.
      prefix: Path prefix, which begins and ends with a slash.
      repeats: Whether its requests may run more than once.
      timeout_s: Maximum time until a request is answered.
      target_s: Time within which an answer has its full value.
      priority: Priority of its requests; 0 is the most urgent.
      max_attempts: Maximum number of attempts of one request that may reach an instance.
      parts: Services that share the requests; at least one.
      unknown_kind: Kind that the operator states and this release does not know, empty for a known
        one.
    """

    name: str
    host: str
    prefix: str
    repeats: Repeats
    timeout_s: float = attrs.field(converter=_bounded_time_s)
    target_s: float = attrs.field(converter=_bounded_time_s)
    priority: int = attrs.field(converter=partial(min, MAX_PRIORITY))
    max_attempts: int
    parts: tuple[RoutePart, ...]
    unknown_kind: str = ""

    @property
    def idempotent(self) -> bool:
        """Whether its requests may run more than once."""
        return self.repeats is Repeats.ALLOWED

    @property
    def rank(self) -> str:
        """Name of the rank of its requests in the queues of the instances."""
        return rank_name(self.priority)


def rank_name(priority: int) -> str:
    """Returns the name of the rank for a priority."""
    return f"priority-{priority}"


@attrs.frozen
class ServiceOptions:
    """Options for connections to the instances of a service.

    Attributes:
      name: Name of the service.
      health_path: Path of the health check.
      max_connections: Maximum number of connections to an instance, from all callers together.
      cold_s: Time for which an instance is cold after it starts, 0 if it is not.
      cold_rate_per_s: Requests per second that a cold instance tolerates, 0 for any number.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float = attrs.field(default=0.0, converter=_bounded_time_s)
    cold_rate_per_s: float = 0.0


@attrs.frozen
class Limits:
    """Limits on requests and connections of callers.

    Attributes:
      max_header_bytes: Maximum size of a request's head.
      max_body_bytes: Maximum size of a request's body.
      header_timeout_s: Maximum time for receiving the head of a request.
      idle_timeout_s: Maximum time that a connection may stay idle.
    """

    max_header_bytes: int = attrs.field(default=16_384, converter=partial(min, MAX_HEADER_BYTES))
    max_body_bytes: int = attrs.field(default=67_108_864, converter=partial(min, MAX_BODY_BYTES))
    header_timeout_s: float = attrs.field(default=3.0, converter=_bounded_time_s)
    idle_timeout_s: float = attrs.field(default=15.0, converter=_bounded_time_s)


@attrs.frozen
class Configuration:
    """One version of the configuration.

    Attributes:
      version: Version number; newer versions have higher numbers.
      routes: Routes of the configuration.
      services: Service options by service name.
      limits: Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceOptions]
    limits: Limits = Limits()

    @property
    def unknown_kinds(self) -> tuple[str, ...]:
        """Kinds of routes that this release does not know, each once."""
        return tuple(sorted({r.unknown_kind for r in self.routes if r.unknown_kind}))
