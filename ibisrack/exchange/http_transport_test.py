"""Tests of the peer port with malformed and hostile requests."""

import re

from ibisrack.errors import MessageError
from ibisrack.exchange.http_transport import EXCHANGE_PATH, start_server
from ibisrack.testing.functions import function_tests
from ibisrack.testing.hostile_requests import hostile_requests, send_all

_PATHS = [EXCHANGE_PATH.encode(), EXCHANGE_PATH.encode() + b"?x", b"/none"]
_HEADERS = b"Content-Encoding Content-Length Transfer-Encoding Host Expect".split()


def _refuse(frame: bytes) -> bytes:
    raise MessageError("the frame is malformed")


async def test_hostile_requests_do_not_stop_the_peer_port():
    """Guards against a request after which the server no longer answers other peers."""
    runner = await start_server("127.0.0.1", 0, _refuse)
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    head = b"POST " + EXCHANGE_PATH.encode() + b" HTTP/1.1\r\nHost: a\r\nContent-Encoding: gzip\r\n"
    encoded = head + b"Connection: close\r\nContent-Length: 3\r\n\r\nabc"
    try:
        pairs = await send_all(address, [*hostile_requests(300, _PATHS, _HEADERS), encoded])
    finally:
        await runner.cleanup()
    assert sum(bool(answer) for _, answer in pairs) > len(pairs) / 2
    for request, answer in pairs:
        assert not answer or re.match(rb"HTTP/1\.[01] [1234]", answer), (request, answer)


load_tests = function_tests(__name__)
