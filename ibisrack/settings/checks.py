"""attrs validators for settings fields.

The first line of a validator's docstring, without "Requires", is printed on the settings page.
"""

import ipaddress
from typing import Any
from urllib.parse import urlsplit

import attrs

from ibisrack.decimals import parse_decimal

MAX_PORT = 65535


def in_range(low: float, high: float) -> Any:
    """Returns a validator for a number from low to high, both included."""

    def check(_: Any, __: attrs.Attribute, value: float) -> None:
        if not low <= value <= high:
            raise ValueError(f"must be from {low} to {high}, is {value}")

    check.__doc__ = f"Requires a number from {low} to {high}."
    return check


port_number = in_range(1, MAX_PORT)


def one_word(_: Any, __: attrs.Attribute, value: str) -> None:
    """Requires a text that is not empty and has no white space."""
    if not value or value.split() != [value]:
        raise ValueError("must be one word")


def ip_address(_: Any, __: attrs.Attribute, value: str) -> None:
    """Requires an IP address."""
    ipaddress.ip_address(value)


def _check_ip_port(value: str) -> None:
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not parse_decimal(port, MAX_PORT):
        raise ValueError(f"'{value}' does not end with a port number")


def ip_ports(_: Any, __: attrs.Attribute, value: tuple[str, ...]) -> None:
    """Requires texts of the form IP:PORT."""
    for item in value:
        _check_ip_port(item)


def ip_url(_: Any, __: attrs.Attribute, value: str) -> None:
    """Requires a URL of the form http://IP:PORT."""
    parts = urlsplit(value)
    if parts.scheme != "http" or parts.path not in ("", "/"):
        raise ValueError(f"'{value}' is not of the form http://IP:PORT")
    _check_ip_port(parts.netloc)
