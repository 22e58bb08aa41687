"""Settings of ibis-room."""

import attrs

from ibisrack.settings.checks import in_range, ip_address, ip_ports


def _some_addresses(instance: object, field: attrs.Attribute, value: tuple[str, ...]) -> None:
    if not value:
        raise ValueError("must name at least one address")
    ip_ports(instance, field, value)


@attrs.frozen
class ScreenSettings:
    """Where screens connect.

    Attributes:
      host: IP number to listen on.
      port: HTTP port.
    """

    host: str = attrs.field(validator=ip_address)
    port: int = attrs.field(validator=in_range(1, 65535))


@attrs.frozen
class PollSettings:
    """How the fleet is read.

    Attributes:
      admin_addresses: Admin addresses, IP:PORT, of a few nodes; the first that answers gives the
        list of all nodes, and other members are asked when none of them answers.
      interval_s: Least time between two reads of one node.
      timeout_s: Time for one answer.
      max_reads_per_s: Nodes read in one second, however many screens are open.
      stale_s: Age from which a node's answer is shown as out of date; a fleet whose nodes take
        longer to read in turn uses twice the time of a round.
    """

    admin_addresses: tuple[str, ...] = attrs.field(validator=_some_addresses)
    interval_s: float = attrs.field(default=2.0, validator=in_range(0.5, 60))
    timeout_s: float = attrs.field(default=2.0, validator=in_range(0.1, 30))
    max_reads_per_s: int = attrs.field(default=100, validator=in_range(1, 1000))
    stale_s: float = attrs.field(default=10.0, validator=in_range(1, 600))


@attrs.frozen
class RoomSettings:
    """All settings of one ibis-room process.

    Attributes:
      title: Name of the fleet on the screen.
      screen: Where screens connect.
      poll: How the fleet is read.
    """

    title: str
    screen: ScreenSettings
    poll: PollSettings
