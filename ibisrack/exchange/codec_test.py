"""Tests of the frame codec, also with malformed input."""

import zlib

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.errors import MessageError
from ibisrack.exchange.codec import _DICTIONARY_1, MAX_FRAME_BYTES, decode_frame, encode_frame
from ibisrack.exchange.messages import Hello
from ibisrack.membership.messages import MembersDigest, MembersUpdate
from ibisrack.testing.fixtures import member
from ibisrack.testing.functions import function_tests
from ibisrack.timeline.clock import Timestamp
from ibisrack.versions.chunks import VersionId
from ibisrack.versions.messages import VersionState

MESSAGES = [
    Hello(member("a"), Timestamp(1, 2)),
    VersionState(VersionId(3, b"x" * 16), None),
    MembersDigest((1, 2, 3)),
    MembersUpdate(tuple(member(f"n{i}") for i in range(20))),
]


def _refused(frame: bytes) -> bool:
    try:
        decode_frame(frame)
    except MessageError:
        return True
    return False


def test_messages_survive_a_round_trip():
    assert decode_frame(encode_frame(MESSAGES)) == MESSAGES


def _frame_of(value) -> bytes:
    """Returns a frame whose body is any value, encoded as encode_frame does."""
    body = msgspec.msgpack.encode(value)
    deflater = zlib.compressobj(6, zlib.DEFLATED, -zlib.MAX_WBITS, zdict=_DICTIONARY_1)
    return b"\x01" + deflater.compress(body) + deflater.flush()


def test_unknown_messages_and_wrong_types_are_refused():
    assert _refused(_frame_of([("Nonsense", {})]))
    assert _refused(_frame_of([("VersionState", {"in_force": 7})]))
    assert _refused(_frame_of({"a": 1}))
    assert _refused(b"")
    assert _refused(b"\x02" + encode_frame(MESSAGES)[1:])


def test_deeply_nested_message_is_refused():
    """Guards against a peer's frame whose nesting is no malformed frame but a failed exchange."""
    nested = b"\x91" * 5000 + b"\xc0"
    parts = msgspec.msgpack.encode([["Hello", {"x": 1}]])
    for body in (nested, parts.replace(b"\x81\xa1x\x01", b"\x81\xa1x" + nested)):
        assert _refused(_frame_of(msgspec.Raw(body)))


def test_decompression_is_bounded():
    """Guards against a small frame that expands without limit."""
    assert _refused(_frame_of(b"\x00" * (MAX_FRAME_BYTES + 10)))


def test_frame_of_an_idle_exchange_is_small():
    """Guards against idle exchanges that use up the byte budget for control traffic.

    A busy node takes part in about four exchanges a second, each of two frames.  Its budget of
    3,000 B/s leaves 375 bytes for a frame, of which HTTP headers take up to 170.
    """
    header = [Hello(member("service-0011-3", zone="zone-11"), Timestamp(1_796_000_000_000, 4))]
    version = VersionState(VersionId(3, bytes(range(16))), None)
    assert len(encode_frame([*header, version])) < 200


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.integers(0, 10_000), st.integers(0, 255), st.integers(0, 10_000))
def test_altered_and_truncated_frames_raise_only_message_errors(position, value, length):
    """Guards against another exception, which would end the link task that received the frame."""
    frame = bytearray(encode_frame(MESSAGES[:3]))
    frame[position % len(frame)] = value
    try:
        decode_frame(bytes(frame[: length % (len(frame) + 1)]))
    except MessageError:
        pass


load_tests = function_tests(__name__)
