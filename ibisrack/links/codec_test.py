"""Tests of encoding and decoding messages between nodes."""

from multidict import CIMultiDict

from ibisrack.errors import MessageError
from ibisrack.links.codec import LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES, decode, encode, frame_size
from ibisrack.links.messages import Answered, Entries, Load, Ping, Submit
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
    Load(1, 2, 3, 4.5, True, 6, False),
    Ping(),
    Entries(9, ("servers/i-1",), (("servers/i-1", 4, 0, b"{}"),)),
)


def test_decoding_restores_the_encoded_message():
    """Guards against an encoding that loses or reorders fields."""
    for message in MESSAGES:
        frame = encode(message)
        assert frame_size(frame[:LENGTH_PREFIX_BYTES]) == len(frame) - LENGTH_PREFIX_BYTES
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
    for size in (0, MAX_FRAME_BYTES + 1):
        try:
            frame_size(size.to_bytes(LENGTH_PREFIX_BYTES, "big"))
        except MessageError:
            continue
        raise AssertionError(size)


load_tests = function_tests(__name__)
