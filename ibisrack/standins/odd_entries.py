"""Entries of instances as another writer of the store may leave them, each wrong in one way."""

from enum import StrEnum, auto

NESTING_DEPTH = 5000
NUMBER_DIGITS = 400


class OddEntry(StrEnum):
    """Ways in which an entry is wrong."""

    NESTED = auto()  # A value is nested deeper than a recursive decoder can follow.
    LONG_NUMBER = auto()  # A number fits no type of a fixed size.
    PORT_OUT_OF_RANGE = auto()
    ADDRESS_NO_IP_NUMBER = auto()


_SOUND = {"address": '"127.0.0.1:1"', "slots": "4", "notes": "0"}
_WRONG = {
    OddEntry.NESTED: {"notes": "[" * NESTING_DEPTH + "]" * NESTING_DEPTH},
    OddEntry.LONG_NUMBER: {"slots": "9" * NUMBER_DIGITS},
    OddEntry.PORT_OUT_OF_RANGE: {"address": '"127.0.0.1:99999"'},
    # An empty label: no resolver is asked for this name.
    OddEntry.ADDRESS_NO_IP_NUMBER: {"address": '"no..number:1"'},
}


def odd_instance_entry(kind: OddEntry, service: str, zone: str) -> bytes:
    """Returns the entry of an instance that is ready but for what is wrong with it, as JSON."""
    values = _SOUND | _WRONG[kind]
    return (
        f'{{"address": {values["address"]}, "born": 1, "notes": {values["notes"]},'
        f' "info": {{"service": "{service}", "version": "v1", "zone": "{zone}",'
        f' "slots": {values["slots"]}}},'
        ' "status": {"state": "ready", "seq": 0, "cold_remaining": "0ms"}}'
    ).encode()
