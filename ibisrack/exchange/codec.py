"""Encodes frames of typed messages with MessagePack; the only place that knows the encoding.

A frame is a list of [type name, fields].  Frames above a size are compressed; the first byte tells.
"""

import zlib
from collections.abc import Iterable
from typing import Any

import msgspec

from ibisrack.errors import MessageError
from ibisrack.exchange.messages import Hello
from ibisrack.membership.messages import MembersDigest, MembersUpdate
from ibisrack.room.messages import StatusReport, WantSummaries, ZoneSummaries
from ibisrack.versions.messages import (
    OfferChunks,
    OfferManifest,
    VersionState,
    WantChunks,
)

MAX_FRAME_BYTES = 3_000_000
COMPRESS_ABOVE_BYTES = 200

_PLAIN = b"\x00"
_ZLIB = b"\x01"

MESSAGE_TYPES: dict[str, type] = {
    cls.__name__: cls
    for cls in (
        Hello,
        VersionState,
        OfferManifest,
        WantChunks,
        OfferChunks,
        MembersDigest,
        MembersUpdate,
        StatusReport,
        WantSummaries,
        ZoneSummaries,
    )
}


def encode_frame(messages: Iterable[Any]) -> bytes:
    """Encodes messages as one frame."""
    body = msgspec.msgpack.encode([(type(message).__name__, message) for message in messages])
    if len(body) > COMPRESS_ABOVE_BYTES:
        return _ZLIB + zlib.compress(body, 6)
    return _PLAIN + body


def _body(frame: bytes) -> bytes:
    if len(frame) > MAX_FRAME_BYTES:
        raise MessageError(f"the frame has {len(frame)} bytes, more than {MAX_FRAME_BYTES}")
    if frame[:1] == _PLAIN:
        return frame[1:]
    if frame[:1] != _ZLIB:
        raise MessageError("the frame starts with an unknown byte")
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(frame[1:], MAX_FRAME_BYTES)
    except zlib.error as error:
        raise MessageError(f"the frame is not zlib data: {error}") from error
    if not inflater.eof:
        raise MessageError("the frame is truncated or too large")
    return body


def decode_frame(frame: bytes) -> list[Any]:
    """Decodes a frame into typed messages.

    Raises:
      MessageError: The frame is malformed, truncated, oversized or holds an unknown message.
    """
    try:
        parts = msgspec.msgpack.decode(_body(frame), type=list[tuple[str, msgspec.Raw]])
        return [_message(name, raw) for name, raw in parts]
    except (msgspec.DecodeError, UnicodeDecodeError, OverflowError) as error:
        raise MessageError(f"the frame is malformed: {error}") from error


def _message(name: str, raw: msgspec.Raw) -> Any:
    cls = MESSAGE_TYPES.get(name)
    if cls is None:
        raise MessageError(f"unknown message '{name[:40]}'")
    return msgspec.msgpack.decode(raw, type=cls)
