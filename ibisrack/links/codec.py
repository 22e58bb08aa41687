"""Encodes messages of links as MessagePack arrays; the only place that knows the encoding.

A frame is its length in four bytes, the number of the message's class in one byte, and the fields
in their order.
"""

from functools import cache
from typing import Any, get_type_hints

import attrs
import msgspec

from ibisrack.errors import MessageError
from ibisrack.links.messages import (
    Answered,
    AskEntries,
    BodyPart,
    Cancel,
    Entries,
    Hello,
    Load,
    Ping,
    Refused,
    Resume,
    Submit,
    Unknown,
    Withdraw,
)

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 96 * 1024 * 1024  # A body of the largest size that a configuration allows.

MESSAGE_TYPES: tuple[type, ...] = (
    Hello,
    Submit,
    Cancel,
    Resume,
    Answered,
    BodyPart,
    Refused,
    Unknown,
    Load,
    Ping,
    AskEntries,
    Entries,
    Withdraw,
)
_NUMBERS = {cls: number for number, cls in enumerate(MESSAGE_TYPES)}


def _native(value: Any) -> str:
    """Returns a header name of the HTTP library, a subclass of str, as a plain text."""
    if isinstance(value, str):
        return value.encode().decode()
    raise TypeError(f"a message holds a {type(value).__name__}")


_ENCODER = msgspec.msgpack.Encoder(enc_hook=_native)


@cache
def _names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in attrs.fields(cls))


@cache
def _decoder(cls: type) -> msgspec.msgpack.Decoder:
    hints = get_type_hints(cls)
    return msgspec.msgpack.Decoder(tuple[tuple(hints[name] for name in _names(cls))])


def encode(message: Any) -> bytes:
    """Returns the frame of a message."""
    cls = type(message)
    fields = [getattr(message, name) for name in _names(cls)]
    payload = _ENCODER.encode(fields) if fields else b"\x90"
    size = len(payload) + 1
    return size.to_bytes(LENGTH_BYTES, "big") + bytes((_NUMBERS[cls],)) + payload


def decode(payload: bytes) -> Any:
    """Returns the message of a frame without its length.

    Raises:
      MessageError: The frame is malformed or of an unknown class.
    """
    if not payload or payload[0] >= len(MESSAGE_TYPES):
        raise MessageError("the frame is empty or of an unknown class")
    cls = MESSAGE_TYPES[payload[0]]
    if not _names(cls):
        return cls()
    try:
        return cls(*_decoder(cls).decode(memoryview(payload)[1:]))
    except (msgspec.DecodeError, UnicodeDecodeError, OverflowError) as error:
        raise MessageError(f"the {cls.__name__} is malformed: {error}") from error


def frame_size(prefix: bytes) -> int:
    """Returns the size of the frame that follows a length prefix.

    Raises:
      MessageError: The size is out of bounds.
    """
    size = int.from_bytes(prefix, "big")
    if not 0 < size <= MAX_FRAME_BYTES:
        raise MessageError(f"a frame of {size} bytes is out of bounds")
    return size
