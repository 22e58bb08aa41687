"""Tests of the call port with hostile requests and unusual bodies."""

import gzip

from aiohttp import web

from ibisrack.testing.data_path import caller_session, serving_node
from ibisrack.testing.functions import function_tests
from ibisrack.testing.hostile_requests import hostile_requests, send_all

_PATHS = (
    b"/notices /approvals/7 /approvals /approvals/x?y=%zz /approvals/%00?a=%ff //[ http://a/b *"
).split()
_HEADERS = (
    b"Host Ibis-Call-Id Ibis-Deadline-Ms Ibis-Depth Ibis-Hop Ibis-Rank Ibis-Retry-Right"
    b" Idempotency-Key Content-Length Transfer-Encoding Expect Upgrade"
).split()


async def test_hostile_requests_get_an_outcome():
    """Guards against a refusal that does not say whether the call ran."""
    async with serving_node(1) as (_, address):
        pairs = await send_all(address, hostile_requests(500, _PATHS, _HEADERS))
    answered = [(request, answer) for request, answer in pairs if answer]
    assert len(answered) > len(pairs) / 2
    for request, answer in answered:
        assert b"Ibis-Outcome: " in answer, (request, answer)


async def test_compressed_body_is_forwarded_unchanged():
    """Guards against a body that is decompressed although its Content-Encoding is forwarded."""
    received: list[bytes] = []

    async def store_body(request: web.BaseRequest) -> web.Response:
        received.append(await request.read())
        return web.Response(text=request.headers["Content-Encoding"])

    upstream = web.ServerRunner(web.Server(store_body, auto_decompress=False))
    await upstream.setup()
    await web.TCPSite(upstream, "127.0.0.1", 0).start()
    headers = {"Host": "notice-desk", "Content-Encoding": "gzip"}
    try:
        async with serving_node(upstream.addresses[0][1]) as (_, address):
            async with caller_session() as session:
                for body in (gzip.compress(b"load 7"), b"not gzip"):
                    url = f"http://{address}/notices"
                    async with session.post(url, data=body, headers=headers) as answer:
                        assert (answer.status, await answer.text()) == (200, "gzip")
                    assert received.pop() == body
    finally:
        await upstream.cleanup()


async def test_truncated_chunked_body_is_refused_as_not_run():
    """Guards against an unknown outcome for a call whose body never arrived completely."""
    head = b"POST /notices HTTP/1.1\r\nHost: notice-desk\r\nTransfer-Encoding: chunked\r\n\r\n"
    async with serving_node(1) as (_, address):
        ((_, answer),) = await send_all(address, [head + b"zz"])
    assert b"Ibis-Outcome: not-run" in answer, answer


load_tests = function_tests(__name__)
