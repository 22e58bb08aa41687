"""Settings of ibis-room."""

import attrs

from ibisrack.settings.checks import in_range, ip_address, ip_ports


def _some_addresses(instance: object, field: attrs.Attribute, value: tuple[str, ...]) -> None:
    """Requires at least one text of the form IP:PORT."""
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
      admin_addresses: Admin addresses, IP:PORT, of a few nodes; the first that answers is asked,
        and other members when none of them answers.
      interval_s: Time between two reads of the fleet, however many screens are open.
      timeout_s: Time for one answer.
      stale_s: Age from which a zone is shown as out of date; summaries of 12 zones take up to 40 s.
    """

    admin_addresses: tuple[str, ...] = attrs.field(validator=_some_addresses)
    interval_s: float = attrs.field(default=2.0, validator=in_range(0.5, 60))
    timeout_s: float = attrs.field(default=2.0, validator=in_range(0.1, 30))
    stale_s: float = attrs.field(default=45.0, validator=in_range(1, 600))


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
