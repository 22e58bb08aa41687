"""Encodes frames of typed messages with MessagePack; no other module depends on the encoding.

A frame is a list of [type name, fields], compressed with a preset dictionary of recurring names.
The first byte identifies the dictionary, so that releases reject frames made with another one.
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
    WantManifest,
)

MAX_FRAME_BYTES = 3_000_000

_DICTIONARY_ID_1 = b"\x01"

# Never change _DICTIONARY_1: nodes of other releases decode with it.  A new dictionary gets a new
# first byte.  The most frequent words are last, where back-references to them are shortest.
_WORDS_1 = (
    "faults refused_faults summaries reports counts offered served not_run unknown "
    "StatusReport manifest chunk_digests packed digests version_id "
    "OfferChunks WantChunks OfferManifest MembersUpdate records region-"
).split()
_RECORD_FIELDS_1 = (
    "node_id service zone region host call_port peer_port admin_port "
    "generation leaving incarnation liveness"
).split()


def _encode_words(words: Iterable[str]) -> bytes:
    return b"".join(msgspec.msgpack.encode(word) for word in words)


_DICTIONARY_1 = (
    _encode_words(_WORDS_1)
    + _encode_words(["MembersDigest", "buckets", "Hello", "sender"])
    + _encode_words(_RECORD_FIELDS_1)
    + _encode_words(["stamp", "wall_ms", "counter"])
    + _encode_words(["VersionState", "in_force", "revision", "digest", "staged"])
    + msgspec.msgpack.encode("127.0.0.1")
)

MESSAGE_TYPES: dict[str, type] = {
    cls.__name__: cls
    for cls in (
        Hello,
        VersionState,
        OfferManifest,
        WantChunks,
        WantManifest,
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
    deflater = zlib.compressobj(6, zlib.DEFLATED, -zlib.MAX_WBITS, zdict=_DICTIONARY_1)
    return _DICTIONARY_ID_1 + deflater.compress(body) + deflater.flush()


def _decompress(frame: bytes) -> bytes:
    if len(frame) > MAX_FRAME_BYTES:
        raise MessageError(f"the frame has {len(frame)} bytes, more than {MAX_FRAME_BYTES}")
    if frame[:1] != _DICTIONARY_ID_1:
        raise MessageError("the frame starts with an unknown byte")
    inflater = zlib.decompressobj(-zlib.MAX_WBITS, zdict=_DICTIONARY_1)
    try:
        body = inflater.decompress(frame[1:], MAX_FRAME_BYTES)
    except zlib.error as error:
        raise MessageError(f"the frame is not deflated data: {error}") from error
    if not inflater.eof:
        raise MessageError("the frame is truncated or too large")
    return body


def decode_frame(frame: bytes) -> list[Any]:
    """Decodes a frame into typed messages.

    Raises:
      MessageError: The frame is malformed, truncated, oversized or holds an unknown message.
    """
    try:
        parts = msgspec.msgpack.decode(_decompress(frame), type=list[tuple[str, msgspec.Raw]])
        return [_decode_message(name, raw) for name, raw in parts]
    except MessageError:
        raise
    except Exception as error:  # No list of exceptions covers all bytes, such as deep nesting.
        raise MessageError(f"the frame is malformed: {type(error).__name__} {error}") from error


def _decode_message(name: str, raw: msgspec.Raw) -> Any:
    cls = MESSAGE_TYPES.get(name)
    if cls is None:
        raise MessageError(f"unknown message '{name[:40]}'")
    return msgspec.msgpack.decode(raw, type=cls)
