"""Decodes entries of the metadata store into instances and configurations.

Other programs write to the store too, so an entry can be malformed in any way.  A malformed
entry lists no instance; a malformed configuration is rejected as a whole.
"""

import re
from collections.abc import Callable
from ipaddress import IPv4Address, ip_address
from typing import Any, TypeVar

import msgspec

from ibisrack.decimals import parse_decimal
from ibisrack.errors import MessageError
from ibisrack.instances.model import Instance, InstanceState
from ibisrack.platform.configurations import build_configuration
from ibisrack.platform.durations import parse_duration_s
from ibisrack.platform.json_fields import integer, json_object, non_empty_string
from ibisrack.registry.messages import Entry
from ibisrack.routing.model import Configuration
from ibisrack.settings.checks import MAX_PORT

CONFIGURATION_KEY = "op/config"
INSTANCE_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"
# A running request has a connection of its own, and a host has no more ports towards an instance.
MAX_SLOTS = 65_535
# Starts and sequences are compared and sent to peers in 64 bits.  Larger integers are not exact in
# all JSON implementations.
MAX_JSON_INTEGER = 2**53 - 1
MAX_ERROR_CHARS = 200  # Error messages quote the entry, which may be large.

_BROADCAST = IPv4Address("255.255.255.255")
_INSTANCE_ID = re.compile(r"[!-~]{1,128}")
_STATES_BY_NAME = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}
_Decoded = TypeVar("_Decoded")


def instance_id(key: str) -> str:
    """Returns the instance id in an entry's key, or an empty string for other keys."""
    return key[len(INSTANCE_PREFIX) :] if key.startswith(INSTANCE_PREFIX) else ""


def evacuated_zone(key: str) -> str:
    """Returns the zone that an entry's key evacuates, or an empty string for other keys."""
    return key[len(EVACUATION_PREFIX) :] if key.startswith(EVACUATION_PREFIX) else ""


def decode_instance(entry: Entry) -> Instance:
    """Decodes the entry of an instance.

    Raises:
      MessageError: The entry is malformed.
    """
    return _decode(entry, _build_instance)


def decode_configuration(entry: Entry) -> Configuration:
    """Decodes the operator's configuration.

    Raises:
      MessageError: The configuration is malformed.
    """
    return _decode(entry, lambda listed: build_configuration(listed.content))


def _decode(entry: Entry, build: Callable[[Entry], _Decoded]) -> _Decoded:
    """Builds what an entry describes.

    Raises:
      MessageError: Decoding or building failed, with whatever exception.
    """
    try:
        return build(entry)
    except Exception as error:  # No list of exceptions covers what any program may write.
        reason = f"{type(error).__name__} {error}"[:MAX_ERROR_CHARS]
        raise MessageError(reason) from error


def _build_instance(entry: Entry) -> Instance:
    body = json_object(msgspec.json.decode(entry.content))
    info, status = json_object(body["info"]), json_object(body["status"])
    host, port = _address(body["address"])
    # The id is sent to the instance in a header of each request.
    if not _INSTANCE_ID.fullmatch(instance_id(entry.key)):
        raise ValueError("the instance id is not one word of ASCII characters")
    return Instance(
        instance_id=instance_id(entry.key),
        service=non_empty_string(info["service"]),
        host=host,
        port=port,
        zone=non_empty_string(info["zone"]),
        slots=integer(info["slots"], MAX_SLOTS),
        state=_STATES_BY_NAME[status["state"]],
        # Remaining time of the cold start when the entry was written, not its total length.
        cold_left_s=parse_duration_s(status["cold_remaining"]),
        started_at_ms=integer(body["born"], MAX_JSON_INTEGER) if "born" in body else 0,
        sequence=integer(status["seq"], MAX_JSON_INTEGER),
        revision=entry.revision,
    )


def _address(value: Any) -> tuple[str, int]:
    """Returns the IP number and the port of an address, in which a link can be opened.

    IPv6 numbers have no brackets, as in the settings file, with which the host is compared.
    """
    host, _, port_text = non_empty_string(value).rpartition(":")
    number = ip_address(host)
    is_host = not (number.is_multicast or number.is_unspecified or number == _BROADCAST)
    if not is_host or "%" in host:  # The name after a percent sign differs from host to host.
        raise ValueError("not the IP number of a host")
    port = parse_decimal(port_text, MAX_PORT)
    if not port:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    return host, port
