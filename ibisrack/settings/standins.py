"""Settings of the development stand-ins."""

import attrs

from ibisrack.settings.checks import in_range, ip_address, ip_ports, not_empty


@attrs.frozen
class StandinPlatformSettings:
    """Settings of ibis-standin-platform.

    Attributes:
      host: IP number to listen on.
      port: HTTP port.
      reads_per_s: Reads that the stand-in answers before it refuses.
    """

    host: str = attrs.field(validator=ip_address)
    port: int = attrs.field(validator=in_range(1, 65535))
    reads_per_s: int = attrs.field(default=2000, validator=in_range(1, 1_000_000))


@attrs.frozen
class StandinUpstreamSettings:
    """Settings of ibis-standin-upstream.

    Attributes:
      host: IP number to listen on.
      port: HTTP port.
      instance: Name of the instance.
      slots: Calls that run at the same time before the stand-in sheds load.
      work_ms: Mean time of a call that names no time of its own.
      cold_start_s: Time after the start during which calls take longer.
      cold_factor: How much longer they take.
      record_file: File that gets one line for each execution, or empty.  It outlives the process.
      node_url: Call address of the node beside the stand-in, for calls onwards, or empty.
    """

    host: str = attrs.field(validator=ip_address)
    port: int = attrs.field(validator=in_range(1, 65535))
    instance: str = attrs.field(validator=not_empty)
    slots: int = attrs.field(default=6, validator=in_range(1, 10_000))
    work_ms: float = attrs.field(default=5.0, validator=in_range(0, 60_000))
    cold_start_s: float = attrs.field(default=0.0, validator=in_range(0, 600))
    cold_factor: float = attrs.field(default=4.0, validator=in_range(1, 100))
    record_file: str = ""
    node_url: str = ""


@attrs.frozen
class TrafficSettings:
    """One kind of work that a caller sends at a steady rate.

    Attributes:
      rank: Name in the report.
      method: HTTP method.
      host: Host header.
      path: Path.
      calls_per_s: Offered rate, with exponential gaps.
      work_ms: Time of a call at the upstream.
      answer_bytes: Least size of the answer.
      deadline_ms: Deadline that the caller sends, or 0 for none.
      keyed: Whether each call carries an idempotency key of its own.
      tries: Attempts for a call that was told as not run.
    """

    rank: str = attrs.field(validator=not_empty)
    method: str = attrs.field(validator=not_empty)
    host: str = attrs.field(validator=not_empty)
    path: str = attrs.field(validator=not_empty)
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
      traffic: Kinds of work.
      duration_s: Time during which calls are started.
      seed: Seed of the random gaps.
      name: Prefix of the call ids, so that several callers do not use the same.
      told_file: File for what was told of each call, as JSON, or empty.
    """

    targets: tuple[str, ...] = attrs.field(validator=ip_ports)
    traffic: tuple[TrafficSettings, ...]
    duration_s: float = attrs.field(default=5.0, validator=in_range(0.1, 600))
    seed: int = attrs.field(default=1, validator=in_range(0, 2**31))
    name: str = "caller"
    told_file: str = ""
