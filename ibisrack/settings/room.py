"""Settings of ibis-room."""

import attrs

from ibisrack.settings.checks import in_range, ip_address, ip_ports, port_number


def _at_least_one_ip_port(instance: object, field: attrs.Attribute, value: tuple[str, ...]) -> None:
    """Requires at least one text of the form IP:PORT."""
    if not value:
        raise ValueError("must name at least one address")
    ip_ports(instance, field, value)


@attrs.frozen
class ScreenSettings:
    """Address on which the process serves the screens.

    Attributes:
      host: IP address to listen on.
      port: HTTP port to listen on.
    """

    host: str = attrs.field(validator=ip_address)
    port: int = attrs.field(validator=port_number)


@attrs.frozen
class PollSettings:
    """Polling of the fleet.

    Attributes:
      admin_addresses: Admin addresses, IP:PORT, of a few nodes. The fleet is read from the first
        that answers, or from other members if none of these answers.
      interval_s: Seconds between two reads of the fleet, independent of the number of open screens.
      timeout_s: Timeout of one request in seconds.
      stale_s: Age in seconds above which a zone is shown as out of date. Summaries of 12 zones take
        up to 40 s to arrive.
    """

    admin_addresses: tuple[str, ...] = attrs.field(validator=_at_least_one_ip_port)
    interval_s: float = attrs.field(default=2.0, validator=in_range(0.5, 60))
    timeout_s: float = attrs.field(default=2.0, validator=in_range(0.1, 30))
    stale_s: float = attrs.field(default=45.0, validator=in_range(1, 600))


@attrs.frozen
class RoomSettings:
    """All settings of one ibis-room process.

    Attributes:
      title: Name of the fleet, shown on the screen.
      screen: Address on which the process serves the screens.
      poll: Polling of the fleet.
    """

    title: str
    screen: ScreenSettings
    poll: PollSettings
