"""Tests of the call port against hostile requests and encoded bodies."""

import gzip

from ibisrack.testing.data_path import Receiver, caller_session, receiver, serving_node
from ibisrack.testing.functions import function_tests
from ibisrack.testing.hostile import exchange_all, hostile_requests

_PATHS = (
    b"/notices /approvals/7 /approvals /approvals/x?y=%zz /approvals/%00?a=%ff //[ http://a/b *"
).split()
_HEADERS = (
    b"Host Ibis-Call-Id Ibis-Deadline-Ms Ibis-Depth Ibis-Hop Ibis-Rank Ibis-Retry-Right"
    b" Idempotency-Key Content-Length Transfer-Encoding Expect Upgrade"
).split()


async def _no_upstream(state: Receiver, reader, writer) -> None:
    """Closes every connection at once."""


async def test_hostile_calls_get_an_outcome():
    """Guards against a refusal that does not say whether the call ran."""
    async with receiver(_no_upstream) as upstream, serving_node(upstream.port) as (_, address):
        pairs = await exchange_all(address, hostile_requests(500, _PATHS, _HEADERS))
    answered = [(request, answer) for request, answer in pairs if answer]
    assert len(answered) > len(pairs) / 4
    for request, answer in answered:
        assert b"Ibis-Outcome: " in answer, (request, answer)


async def test_compressed_body_is_passed_on_as_it_came():
    """Guards against a body that is decompressed while its Content-Encoding stays."""
    bodies: list[bytes] = []

    async def keep(state: Receiver, reader, writer) -> None:
        while True:
            head = await state.read_request(reader)
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            bodies.append(await reader.readexactly(length))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async with (
        receiver(keep) as upstream,
        serving_node(upstream.port) as (_, address),
        caller_session() as session,
    ):
        for body in (gzip.compress(b"load 7"), b"not gzip"):
            headers = {"Host": "notice-desk", "Content-Encoding": "gzip"}
            url = f"http://{address}/notices"
            async with session.post(url, data=body, headers=headers) as answer:
                assert answer.status == 200
            assert bodies.pop() == body


async def test_body_that_is_cut_short_is_refused_as_not_run():
    head = b"POST /notices HTTP/1.1\r\nHost: notice-desk\r\nTransfer-Encoding: chunked\r\n\r\n"
    async with receiver(_no_upstream) as upstream, serving_node(upstream.port) as (_, address):
        ((_, answer),) = await exchange_all(address, [head + b"zz"])
    assert b"Ibis-Outcome: not-run" in answer, answer


load_tests = function_tests(__name__)
