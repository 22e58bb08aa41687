"""Tests of encoding and decoding messages between nodes."""

import inspect
from typing import Any, get_args, get_type_hints

import attrs
import msgspec
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from ibisrack.errors import MessageError
from ibisrack.links import messages as link_messages
from ibisrack.links.codec import (
    FRAME_HEAD_BYTES,
    LENGTH_PREFIX_BYTES,
    MAX_FRAME_BYTES,
    MAX_SHORT_FRAME_BYTES,
    MESSAGE_TYPES,
    decode,
    encode,
    frame_size,
)
from ibisrack.links.messages import Answered, Entries, Follow, Hello, Load, Ping, Submit
from ibisrack.registry.messages import NO_REVISION, Revision
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz
from ibisrack.testing.messages import check_messages

SUBMIT = Submit(
    number=7,
    request_id="q",
    attempt=1,
    is_retry=False,
    instance_id="i-1",
    service="desk",
    rank="priority-0",
    idempotent=True,
    remaining_ms=900,
    remaining_target_ms=-5,
    initial_target_ms=500,
    caller_service="docs",
    method="GET",
    host="desk.example",
    target="/a%2F?b=\xe9",
    headers=(("X", "\xe9"), ("X", "2")),
    body=b"\x00\xff",
)
MESSAGES = (
    SUBMIT,
    Answered(7, 200, (("A", "b"),), b"x" * 9, 12, True),
    Load(1, 2, 3, 4.5, True, Revision(1, 6), False, True),
    Ping(),
    Entries(
        Revision(1, 9), ("servers/i-1",), (("servers/i-1", Revision(1, 4), NO_REVISION, b"{}"),)
    ),
)


def payload_of(message: Any) -> bytes:
    """Returns the frame of a message without its length prefix."""
    return encode(message)[LENGTH_PREFIX_BYTES:]


def assert_malformed(payload: bytes) -> None:
    """Asserts that the payload of a frame is rejected with the error that a link handles."""
    try:
        message = decode(payload)
    except MessageError:
        return
    raise AssertionError(f"{payload} was decoded to {message}")


def test_every_message_class_has_a_type_code():
    """Guards against a new message that raises a KeyError when it is sent first."""
    assert len(set(MESSAGE_TYPES)) == len(MESSAGE_TYPES)
    defined = {
        cls
        for _, cls in inspect.getmembers(link_messages, inspect.isclass)
        if attrs.has(cls) and cls.__module__ == link_messages.__name__
    }
    parts = {
        part for cls in defined for kind in get_type_hints(cls).values() for part in _parts(kind)
    }
    assert defined - parts <= set(MESSAGE_TYPES)


def _parts(kind: Any) -> set[Any]:
    """Returns the types that a field's type is made of."""
    return {kind}.union(*(_parts(item) for item in get_args(kind)))


def test_decoding_restores_every_generated_message():
    """Guards against a field of any message that is lost, reordered or of another type."""

    def check(message: Any) -> None:
        frame = encode(message)
        assert frame_size(frame[:FRAME_HEAD_BYTES]) == len(frame) - LENGTH_PREFIX_BYTES
        decoded = decode(frame[LENGTH_PREFIX_BYTES:])
        assert decoded == message
        # Equality does not distinguish True from 1 and 1 from 1.0.
        assert repr(decoded) == repr(message)

    check_messages(check, 50)


def test_a_cut_or_extended_frame_of_any_message_is_malformed():
    """Guards against a message that is read from part of its frame."""

    def check(message: Any) -> None:
        payload = payload_of(message)
        if not attrs.fields(type(message)):
            return  # decode does not read the payload of a message without fields.
        for size in range(len(payload)):
            assert_malformed(payload[:size])
        assert_malformed(payload + b"\x00")

    check_messages(check, 10)


def test_a_wrong_number_or_type_of_fields_is_malformed():
    """Guards against accepting a message of a release with other fields."""

    def check(message: Any) -> None:
        payload = payload_of(message)
        fields = msgspec.msgpack.decode(payload[1:])
        if not fields:
            return
        no_type = msgspec.msgpack.Ext(1, b"")
        replaced = [[*fields[:i], no_type, *fields[i + 1 :]] for i in range(len(fields))]
        for values in (fields[:-1], [*fields, 0], *replaced):
            assert_malformed(payload[:1] + msgspec.msgpack.encode(values))

    check_messages(check, 10)


@fuzz(1000)
@given(st.integers(0, 255), st.binary(max_size=60))
def test_any_bytes_are_a_message_or_malformed(code, content):
    """Guards against an exception that ends a link's task because of what a peer sent."""
    try:
        message = decode(bytes((code,)) + content)
    except MessageError:
        return
    assert type(message) is MESSAGE_TYPES[code]


def test_decoding_restores_the_encoded_message():
    """Guards against an encoding that loses or reorders fields."""
    for message in MESSAGES:
        frame = encode(message)
        assert frame_size(frame[:FRAME_HEAD_BYTES]) == len(frame) - LENGTH_PREFIX_BYTES
        assert decode(frame[LENGTH_PREFIX_BYTES:]) == message


def test_header_names_from_http_library_are_encoded():
    """Guards against an encoder that rejects subclasses of ``str``."""
    headers = tuple(CIMultiDict({"Response-Signature": "s"}).items())
    frame = encode(Answered(1, 200, headers, b""))
    assert decode(frame[LENGTH_PREFIX_BYTES:]).headers == (("Response-Signature", "s"),)


def test_malformed_frames_raise_message_error():
    """Guards against an unhandled exception in a link's task when a peer runs another release."""
    frame = encode(SUBMIT)[LENGTH_PREFIX_BYTES:]
    malformed = [b"", b"\xff", frame[:-1], frame[:1], bytes((frame[0],)) + b"\x90", frame + b"\x00"]
    for payload in malformed:
        try:
            decode(payload)
        except MessageError:
            continue
        raise AssertionError(payload)


def test_deeply_nested_unknown_field_is_malformed():
    """Guards against a peer's message whose nesting ends a link's task and is logged as a fault."""
    plain = msgspec.msgpack.encode({"era": 1, "number": 6})
    nested = b"\x91" * 5000 + b"\xc0"
    revision = b"\x83" + plain[1:] + msgspec.msgpack.encode("x") + nested
    code = bytes((MESSAGE_TYPES.index(Follow),))
    assert decode(code + b"\x91" + plain) == Follow(Revision(1, 6))
    assert_malformed(code + b"\x91" + revision)
    assert_malformed(code + b"\x91" + nested)


def _head(size: int, code: int) -> bytes:
    return size.to_bytes(LENGTH_PREFIX_BYTES, "big") + bytes((code,))


def test_frames_that_can_not_be_messages_are_refused_by_their_head():
    """Guards against memory for bytes that are no message, or for a message that is never long."""
    submit, hello = MESSAGE_TYPES.index(Submit), MESSAGE_TYPES.index(Hello)
    assert frame_size(_head(MAX_FRAME_BYTES, submit)) == MAX_FRAME_BYTES
    refused = (
        _head(0, hello),
        _head(MAX_FRAME_BYTES + 1, submit),
        _head(MAX_SHORT_FRAME_BYTES + 1, hello),
        _head(100, len(MESSAGE_TYPES)),
        b"GET /",
    )
    for head in refused:
        try:
            frame_size(head)
        except MessageError:
            continue
        raise AssertionError(head)


load_tests = function_tests(__name__)
