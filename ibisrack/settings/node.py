"""Settings of ibis-node."""

import attrs

from ibisrack.settings.checks import in_range, ip_address, ip_ports, ip_url, one_word, port_number


@attrs.frozen
class IdentitySettings:
    """Identity of the node.

    Attributes:
      node_id: Unique name of the host.
      service: Service of the upstream instance on the host.
      zone: Availability zone.
      region: Region of the zone.
      generation: Number that the platform increases each time it replaces the host.
    """

    node_id: str = attrs.field(validator=one_word)
    service: str = attrs.field(validator=one_word)
    zone: str = attrs.field(validator=one_word)
    region: str = attrs.field(validator=one_word)
    generation: int = attrs.field(default=1, validator=in_range(1, 2**53))


@attrs.frozen
class ListenSettings:
    """Addresses on which the node listens.

    Attributes:
      host: IP address.
      call_port: HTTP port for calls from callers and from other nodes.
      peer_port: HTTP port for control exchanges with other nodes.
      admin_port: HTTP port for operators and metrics.
    """

    host: str = attrs.field(validator=ip_address)
    call_port: int = attrs.field(validator=port_number)
    peer_port: int = attrs.field(validator=port_number)
    admin_port: int = attrs.field(validator=port_number)


@attrs.frozen
class UpstreamSettings:
    """The upstream instance on the node's host.

    Attributes:
      base_url: URL of the upstream instance.
      health_interval_s: Seconds between two reads of the health and load endpoints.
    """

    base_url: str = attrs.field(validator=ip_url)
    health_interval_s: float = attrs.field(default=2.0, validator=in_range(0.1, 60))


@attrs.frozen
class PlatformSettings:
    """Access to the platform's configuration service.

    Attributes:
      base_url: URL of the configuration service.
      watch_s: Maximum time in seconds that the service holds a watch request open.
      timeout_s: Timeout of a request in seconds, added to the waiting time of a watch.
    """

    base_url: str = attrs.field(validator=ip_url)
    watch_s: float = attrs.field(default=10.0, validator=in_range(0.1, 60))
    timeout_s: float = attrs.field(default=2.0, validator=in_range(0.1, 60))


@attrs.frozen
class ExchangeSettings:
    """Control exchanges with other nodes.

    Attributes:
      seeds: Peer addresses, IP:PORT, that a starting node contacts first.
      interval_s: Mean seconds between two exchanges of a node that has no changes to send.
      timeout_s: Timeout of one exchange in seconds.
      join_timeout_s: Seconds after which a joining node that no peer answers reads the platform.
    """

    seeds: tuple[str, ...] = attrs.field(default=(), validator=ip_ports)
    interval_s: float = attrs.field(default=2.0, validator=in_range(0.05, 60))
    timeout_s: float = attrs.field(default=1.0, validator=in_range(0.05, 60))
    join_timeout_s: float = attrs.field(default=3.0, validator=in_range(0.1, 60))


@attrs.frozen
class TimelineSettings:
    """Storage of events in memory.

    Attributes:
      capacity_events: Maximum number of events kept; the oldest are dropped first.
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
