"""Settings of the stand-ins for the platform, the upstreams and the callers."""

import attrs

from ibisrack.settings.checks import in_range, ip_address, ip_ports, one_word, port_number


@attrs.frozen
class StandinPlatformSettings:
    """Settings of ibis-standin-platform.

    Attributes:
      host: IP address to listen on.
      port: HTTP port to listen on.
      reads_per_s: Maximum number of reads answered in any second; further reads are refused.
    """

    host: str = attrs.field(validator=ip_address)
    port: int = attrs.field(validator=port_number)
    reads_per_s: int = attrs.field(default=2000, validator=in_range(1, 1_000_000))


@attrs.frozen
class StandinUpstreamSettings:
    """Settings of ibis-standin-upstream.

    Attributes:
      host: IP address to listen on.
      port: HTTP port to listen on.
      instance: Name of the instance.
      slots: Maximum number of concurrent calls; the stand-in sheds further calls.
      work_ms: Duration in milliseconds of a call that does not request one.
      cold_start_s: Seconds after the start during which calls take longer.
      cold_factor: Factor by which calls take longer during the cold start.
      record_file: File to which each execution appends a line, or empty for none. The lines remain
        when the process is killed.
      node_url: Call address of the node on the same host, for calls to other services, or empty.
    """

    host: str = attrs.field(validator=ip_address)
    port: int = attrs.field(validator=port_number)
    instance: str = attrs.field(validator=one_word)
    slots: int = attrs.field(default=6, validator=in_range(1, 10_000))
    work_ms: float = attrs.field(default=5.0, validator=in_range(0, 60_000))
    cold_start_s: float = attrs.field(default=0.0, validator=in_range(0, 600))
    cold_factor: float = attrs.field(default=4.0, validator=in_range(1, 100))
    record_file: str = ""
    node_url: str = ""


@attrs.frozen
class TrafficSettings:
    """Calls of one kind, sent by a caller at a constant mean rate.

    Attributes:
      rank: Name of the calls in the report and in their call ids.
      method: HTTP method.
      host: Host header.
      path: Path.
      calls_per_s: Mean rate; the gaps between calls are exponentially distributed.
      work_ms: Requested duration of a call at the upstream, in milliseconds.
      answer_bytes: Minimum size of the answer in bytes.
      deadline_ms: Deadline that the caller sends, in milliseconds, or 0 for none.
      keyed: Whether each call carries its own idempotency key.
      tries: Maximum number of attempts for a call that is reported as not run or could not be sent.
    """

    rank: str = attrs.field(validator=one_word)
    method: str = attrs.field(validator=one_word)
    host: str = attrs.field(validator=one_word)
    path: str = attrs.field(validator=one_word)
    calls_per_s: float = attrs.field(validator=in_range(0.01, 10_000))
    work_ms: float = attrs.field(default=5.0, validator=in_range(0, 60_000))
    answer_bytes: int = attrs.field(default=0, validator=in_range(0, 10_000_000))
    deadline_ms: int = attrs.field(default=0, validator=in_range(0, 3_600_000))
    keyed: bool = False
    tries: int = attrs.field(default=1, validator=in_range(1, 10))


@attrs.frozen
class CallerSettings:
    """Settings of ibis-caller.

    Attributes:
      targets: Call addresses of nodes, IP:PORT, used in turn.
      traffic: Kinds of calls to send.
      duration_s: Seconds during which calls are started.
      seed: Seed of the random gaps between calls.
      name: Prefix of the call ids, which keeps those of several callers distinct.
      told_file: File for the reported outcome of each call as JSON, or empty for none.
    """

    targets: tuple[str, ...] = attrs.field(validator=ip_ports)
    traffic: tuple[TrafficSettings, ...]
    duration_s: float = attrs.field(default=5.0, validator=in_range(0.1, 600))
    seed: int = attrs.field(default=1, validator=in_range(0, 2**31))
    name: str = "caller"
    told_file: str = ""
