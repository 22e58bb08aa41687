"""Tests of encoding and decoding messages between nodes."""

from multidict import CIMultiDict

from ibisrack.errors import MessageError
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
from ibisrack.links.messages import Answered, Entries, Hello, Load, Ping, Submit
from ibisrack.testing.functions import function_tests

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
    Answered(7, 200, (("A", "b"),), b"x" * 9, True),
    Load(1, 2, 3, 4.5, True, 6),
    Ping(),
    Entries(9, (("servers/i-1", b"{}", 4),)),
)


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
