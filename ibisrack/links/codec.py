"""Encodes and decodes the messages of links as MessagePack arrays.

A frame consists of its length (four bytes), the type code of the message (one byte) and an array of
the message's fields in the order of their definition.  No other module depends on the encoding.
"""

from functools import cache
from typing import Any, get_type_hints

import attrs
import msgspec

from ibisrack.errors import MessageError
from ibisrack.links.messages import (
    Answered,
    BodyPart,
    Cancel,
    Entries,
    Follow,
    Hello,
    KnownLimit,
    Load,
    OutcomeUnknown,
    Ping,
    Refused,
    RequestEntries,
    Resume,
    Submit,
    Unfollow,
    Withdraw,
)
from ibisrack.suspects.messages import CrashReport, RunCompleted

LENGTH_PREFIX_BYTES = 4
FRAME_HEAD_BYTES = LENGTH_PREFIX_BYTES + 1
MAX_FRAME_BYTES = 96 * 1024 * 1024  # Fits a body of the largest size that a configuration allows.
MAX_SHORT_FRAME_BYTES = 1024 * 1024  # Fits a part of an answer with all its headers.

# The type code of a message is its index here.
MESSAGE_TYPES: tuple[type, ...] = (
    Hello,
    Submit,
    Cancel,
    Resume,
    Answered,
    BodyPart,
    Refused,
    OutcomeUnknown,
    Load,
    Ping,
    RequestEntries,
    Entries,
    Withdraw,
    Follow,
    Unfollow,
    KnownLimit,
    CrashReport,
    RunCompleted,
)
_LONG_MESSAGE_TYPES = frozenset((Submit, Entries))
_TYPE_CODES = {cls: code for code, cls in enumerate(MESSAGE_TYPES)}


def _encode_str_subclass(value: Any) -> str:
    """Converts a header name of the HTTP library, a subclass of ``str``, to a plain ``str``."""
    if isinstance(value, str):
        return value.encode().decode()
    raise TypeError(f"cannot encode a {type(value).__name__} in a message")


_ENCODER = msgspec.msgpack.Encoder(enc_hook=_encode_str_subclass)


@cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in attrs.fields(cls))


@cache
def _decoder(cls: type) -> msgspec.msgpack.Decoder:
    hints = get_type_hints(cls)
    return msgspec.msgpack.Decoder(tuple[tuple(hints[name] for name in _field_names(cls))])


def encode(message: Any) -> bytearray:
    """Returns the frame of a message."""
    cls = type(message)
    fields = [getattr(message, name) for name in _field_names(cls)]
    # Encoded in place: a large body is copied once.
    frame = bytearray(FRAME_HEAD_BYTES)
    _ENCODER.encode_into(fields, frame, FRAME_HEAD_BYTES)
    frame[:LENGTH_PREFIX_BYTES] = (len(frame) - LENGTH_PREFIX_BYTES).to_bytes(
        LENGTH_PREFIX_BYTES, "big"
    )
    frame[LENGTH_PREFIX_BYTES] = _TYPE_CODES[cls]
    return frame


def decode(payload: bytes | bytearray) -> Any:
    """Decodes a message.

    Args:
      payload: The frame without its length prefix.

    Raises:
      MessageError: The frame is malformed or its type code is unknown.
    """
    if not payload or payload[0] >= len(MESSAGE_TYPES):
        raise MessageError("the frame is empty or has an unknown type code")
    cls = MESSAGE_TYPES[payload[0]]
    if not _field_names(cls):
        return cls()
    try:
        return cls(*_decoder(cls).decode(memoryview(payload)[1:]))
    except Exception as error:  # No list of exceptions covers all bytes, such as deep nesting.
        reason = f"{type(error).__name__} {error}"
        raise MessageError(f"malformed {cls.__name__} message: {reason}") from error


def frame_size(head: bytes) -> int:
    """Returns the size of a frame without its length prefix.

    Args:
      head: The first FRAME_HEAD_BYTES of the frame.

    Raises:
      MessageError: The type code is unknown, or the size is out of range for the type.
    """
    size, code = int.from_bytes(head[:LENGTH_PREFIX_BYTES], "big"), head[LENGTH_PREFIX_BYTES]
    if code >= len(MESSAGE_TYPES):
        raise MessageError(f"unknown type code {code}")
    is_long = MESSAGE_TYPES[code] in _LONG_MESSAGE_TYPES
    if not 0 < size <= (MAX_FRAME_BYTES if is_long else MAX_SHORT_FRAME_BYTES):
        raise MessageError(f"frame size of {size} bytes is out of range")
    return size
