"""Settings of ibis-sidecar, in the product's own terms."""

import attrs

from ibisrack.settings.checks import in_range, ip_address, not_empty

_PORT = in_range(1, 65535)


@attrs.frozen
class Address:
    """An IP number and a port."""

    host: str = attrs.field(validator=ip_address)
    port: int = attrs.field(validator=_PORT)


@attrs.frozen
class SidecarSettings:
    """All settings of one sidecar.

    Attributes:
      node_id: Name of the machine.
      service: Service of the instance beside the node.
      zone: Availability zone.
      instance: Address of the instance.
      calls: Address for callers on this machine.
      links: Address for other nodes; the port is the same on all machines.
      ready: Address on which readiness is asked for.
      registry: Address of the platform's registry.
      metrics: Address of the metrics, None to serve none.
      stop_s: Time from the request to stop until the process is killed.
      retry_ratio: Arrivals beyond the first of each request, as a share of all requests.
      retry_slack: Arrivals beyond that share in each window, over all nodes.
      retry_window_s: Length of the window.
    """

    node_id: str = attrs.field(validator=not_empty)
    service: str = attrs.field(validator=not_empty)
    zone: str = attrs.field(validator=not_empty)
    instance: Address
    calls: Address
    links: Address
    ready: Address
    registry: Address
    metrics: Address | None = None
    stop_s: float = attrs.field(default=6.0, validator=in_range(0.5, 3600))
    retry_ratio: float = attrs.field(default=0.2, validator=in_range(0, 10))
    retry_slack: float = attrs.field(default=20.0, validator=in_range(0, 1e6))
    retry_window_s: float = attrs.field(default=10.0, validator=in_range(0.1, 3600))
