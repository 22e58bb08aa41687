"""Settings of ibis-node."""

import attrs

from ibisrack.settings.checks import in_range, ip_address, ip_ports, ip_url, not_empty

_PORT = in_range(1, 65535)


@attrs.frozen
class IdentitySettings:
    """Who the node is.

    Attributes:
      node_id: Unique name of the host.
      service: Service of the upstream beside the node.
      zone: Availability zone.
      region: Region of the zone.
      generation: Life of the host as the platform counts it; it grows with each replacement.
    """

    node_id: str = attrs.field(validator=not_empty)
    service: str = attrs.field(validator=not_empty)
    zone: str = attrs.field(validator=not_empty)
    region: str = attrs.field(validator=not_empty)
    generation: int = attrs.field(default=1, validator=in_range(1, 2**53))


@attrs.frozen
class ListenSettings:
    """Addresses on which the node listens.

    Attributes:
      host: IP number.
      call_port: HTTP port for callers and for calls from other nodes.
      peer_port: HTTP port for control exchanges.
      admin_port: HTTP port for operators and metrics.
    """

    host: str = attrs.field(validator=ip_address)
    call_port: int = attrs.field(validator=_PORT)
    peer_port: int = attrs.field(validator=_PORT)
    admin_port: int = attrs.field(validator=_PORT)


@attrs.frozen
class UpstreamSettings:
    """The upstream instance beside the node.

    Attributes:
      base_url: URL with the upstream's IP number and port.
      health_interval_s: Time between two reads of the health and load endpoints.
    """

    base_url: str = attrs.field(validator=ip_url)
    health_interval_s: float = attrs.field(default=2.0, validator=in_range(0.1, 60))


@attrs.frozen
class PlatformSettings:
    """How the node reads the platform.

    Attributes:
      base_url: URL of the configuration service.
      watch_s: Longest time that one watch waits at the service.
      timeout_s: Time for an answer beyond the waiting time of a watch.
    """

    base_url: str = attrs.field(validator=ip_url)
    watch_s: float = attrs.field(default=10.0, validator=in_range(0.1, 60))
    timeout_s: float = attrs.field(default=2.0, validator=in_range(0.1, 60))


@attrs.frozen
class ExchangeSettings:
    """Control exchanges with other nodes.

    Attributes:
      seeds: Peer addresses, IP:PORT, to contact first.
      interval_s: Mean time between two exchanges of a node that has no news.
      timeout_s: Time for one exchange.
      join_timeout_s: Time after which a node without any answering peer reads the platform.
    """

    seeds: tuple[str, ...] = attrs.field(default=(), validator=ip_ports)
    interval_s: float = attrs.field(default=2.0, validator=in_range(0.05, 60))
    timeout_s: float = attrs.field(default=1.0, validator=in_range(0.05, 60))
    join_timeout_s: float = attrs.field(default=3.0, validator=in_range(0.1, 60))


@attrs.frozen
class TimelineSettings:
    """Events kept in memory.

    Attributes:
      capacity_events: Number of events kept; the oldest are dropped.
    """

    capacity_events: int = attrs.field(default=4096, validator=in_range(16, 1_000_000))


@attrs.frozen
class NodeSettings:
    """All settings of one ibis-node process."""

    identity: IdentitySettings
    listen: ListenSettings
    upstream: UpstreamSettings
    platform: PlatformSettings
    exchange: ExchangeSettings = attrs.field(factory=ExchangeSettings)
    timeline: TimelineSettings = attrs.field(factory=TimelineSettings)
