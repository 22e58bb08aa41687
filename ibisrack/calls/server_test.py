"""Tests of the call port against hostile requests."""

import gzip
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest.mock import patch

from aiohttp import ClientSession, web

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.connections import CallConnections
from ibisrack.calls.gate import Gate
from ibisrack.calls.ingress import Ingress
from ibisrack.calls.keyed import create_keyed_runs
from ibisrack.calls.messages import Answer
from ibisrack.calls.owner import Owner
from ibisrack.calls.server import CallServer
from ibisrack.clocks import read_clocks
from ibisrack.node.lifecycle import SERVING
from ibisrack.testing.fixtures import PILBARA_RULES, bare_node
from ibisrack.testing.functions import function_tests
from ibisrack.testing.hostile import exchange_all, hostile_requests
from ibisrack.upstreams.connections import PeerPools
from ibisrack.upstreams.local import LocalUpstream, open_pool
from ibisrack.versions.chunks import chunked
from ibisrack.versions.handlers import stage_version

_PATHS = (
    b"/notices /approvals/7 /approvals /approvals/x?y=%zz /approvals/%00?a=%ff //[ http://a/b *"
).split()
_HEADERS = (
    b"Host Ibis-Call-Id Ibis-Deadline-Ms Ibis-Depth Ibis-Hop Ibis-Rank Ibis-Retry-Right"
    b" Idempotency-Key Content-Length Transfer-Encoding Expect Upgrade"
).split()


def _call_server() -> CallServer:
    """Returns a serving node whose upstream does not run."""
    node, now = bare_node("n1"), read_clocks()
    stage_version(node, chunked(1, PILBARA_RULES), now)
    node.versions.activate()
    node.lifecycle.state = SERVING
    upstream = LocalUpstream(node.settings.upstream, open_pool("http://127.0.0.1:1"))
    owner = Owner(node, Gate(Scheduler(1)), upstream, create_keyed_runs("n1", 0))
    owner.reconfigure()
    return CallServer(node, owner, Ingress(node, owner, PeerPools(1)))


@asynccontextmanager
async def _call_port() -> AsyncIterator[tuple[str, CallServer]]:
    """Provides the address of a call port and its server object."""
    calls = _call_server()
    runner = web.ServerRunner(CallConnections(calls))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield f"127.0.0.1:{runner.addresses[0][1]}", calls
    finally:
        await runner.cleanup()


async def test_hostile_calls_get_an_outcome():
    """Guards against a refusal that does not say whether the call ran."""
    async with _call_port() as (address, _):
        pairs = await exchange_all(address, hostile_requests(500, _PATHS, _HEADERS))
    served = [(r, a) for r, a in pairs if a and not a.startswith(b"HTTP/1.0 400")]
    assert len(served) > len(pairs) / 4
    for request, answer in served:
        assert b"Ibis-Outcome: " in answer, (request, answer)


async def test_compressed_body_is_passed_on_as_it_came():
    """Guards against a body that is decompressed while its Content-Encoding stays."""
    sent: list[bytes] = []

    async def keep(pool, call, headers, budget_s) -> Answer:
        sent.append(call.body)
        return Answer(200, {}, b"")

    for body in (gzip.compress(b"load 7"), b"not gzip"):
        headers = {"Host": "notice-desk", "Content-Encoding": "gzip"}
        async with _call_port() as (address, _), ClientSession() as session:
            with patch("ibisrack.upstreams.local.send", keep):
                url = f"http://{address}/notices"
                async with session.post(url, data=body, headers=headers) as answer:
                    assert answer.status == 200
        assert sent.pop() == body


async def test_body_that_is_cut_short_is_refused_as_not_run():
    head = b"POST /notices HTTP/1.1\r\nHost: notice-desk\r\nTransfer-Encoding: chunked\r\n\r\n"
    async with _call_port() as (address, _):
        ((_, answer),) = await exchange_all(address, [head + b"zz"])
    assert answer.startswith(b"HTTP/1.0 400") or b"Ibis-Outcome: not-run" in answer, answer


load_tests = function_tests(__name__)
