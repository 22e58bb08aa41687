"""Settings of ibis-sidecar, independent of the platform's settings file format."""

import attrs

from ibisrack.memory.account import DEFAULT_MEMORY_MB
from ibisrack.settings.checks import in_range, ip_address, one_word, port_number


@attrs.frozen
class Address:
    """An IP address and a port."""

    host: str = attrs.field(validator=ip_address)
    port: int = attrs.field(validator=port_number)


@attrs.frozen
class SidecarSettings:
    """All settings of one sidecar.

    Attributes:
      node_id: Name of the host.
      service: Service of the instance on the host.
      zone: Availability zone.
      instance: Address of the instance.
      calls: Address to listen on for callers on the host.
      links: Address to listen on for other nodes; the port is the same on all hosts.
      ready: Address to listen on for readiness checks.
      registry: Address of the platform's metadata store, which holds the registry.
      metrics: Address to serve metrics on, or None to serve none.
      link_mbps: Bandwidth of the host's network link in Mbit/s.
      memory_mb: Memory of the host in MB; a process that exceeds it is killed.
      max_descriptors: File descriptors that the process may have open.
      stop_s: Seconds from the request to stop until the platform kills the process.
      retry_ratio: Allowed arrivals at instances beyond the first of each request, as a share of all
        requests.
      retry_slack: Such arrivals allowed beyond that share in each window, over all nodes.
      retry_window_s: Length of the window of the retry budget in seconds.
      cold_rate_factor: Requests that a cold instance may get in a second, as a multiple of the rate
        that its service states.
      cold_rate_slack: Such requests allowed beyond that.
      evacuation_s: Seconds within which an evacuated zone gets no more requests.
      configuration_s: Seconds within which a new configuration is in force.
      heartbeat_s: Seconds between two reports of an instance to the registry, from which an entry
        is removed after three of them without a report.
      drain_s: Seconds within which an instance that drains or is gone gets no more requests.
    """

    node_id: str = attrs.field(validator=one_word)
    service: str = attrs.field(validator=one_word)
    zone: str = attrs.field(validator=one_word)
    instance: Address
    calls: Address
    links: Address
    ready: Address
    registry: Address
    metrics: Address | None = None
    link_mbps: float = attrs.field(default=1000.0, validator=in_range(0.001, 1e6))
    memory_mb: float = attrs.field(default=DEFAULT_MEMORY_MB, validator=in_range(1, 1e7))
    max_descriptors: float = attrs.field(default=4096.0, validator=in_range(1e-6, 1e12))
    stop_s: float = attrs.field(default=6.0, validator=in_range(0.5, 3600))
    retry_ratio: float = attrs.field(default=0.2, validator=in_range(0, 10))
    retry_slack: float = attrs.field(default=20.0, validator=in_range(0, 1e6))
    retry_window_s: float = attrs.field(default=10.0, validator=in_range(0.1, 3600))
    cold_rate_factor: float = attrs.field(default=1.0, validator=in_range(0, 1000))
    cold_rate_slack: float = attrs.field(default=0.0, validator=in_range(0, 1e6))
    evacuation_s: float = attrs.field(default=5.0, validator=in_range(0.1, 3600))
    configuration_s: float = attrs.field(default=2.0, validator=in_range(0.1, 3600))
    heartbeat_s: float = attrs.field(default=1.5, validator=in_range(0.01, 3600))
    drain_s: float = attrs.field(default=2.0, validator=in_range(0.1, 3600))

    @property
    def registry_apply_s(self) -> float:
        """Seconds within which every change of the registry must have effect."""
        return min(self.configuration_s, self.drain_s, self.evacuation_s)
