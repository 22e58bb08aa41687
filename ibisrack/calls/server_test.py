"""Tests of the call port against hostile requests."""

from aiohttp import ClientSession, web

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.ingress import Ingress
from ibisrack.calls.keyed import create_keyed_runs
from ibisrack.calls.owner import Owner
from ibisrack.calls.server import CallServer
from ibisrack.clocks import read_clocks
from ibisrack.node.lifecycle import SERVING
from ibisrack.testing.fixtures import PILBARA_RULES, bare_node
from ibisrack.testing.functions import function_tests
from ibisrack.testing.hostile import exchange_all, hostile_requests
from ibisrack.versions.chunks import chunked
from ibisrack.versions.handlers import stage_version

_PATHS = (
    b"/notices /approvals/7 /approvals /approvals/x?y=%zz /approvals/%00?a=%ff //[ http://a/b *"
).split()
_HEADERS = (
    b"Host Ibis-Call-Id Ibis-Deadline-Ms Ibis-Depth Ibis-Hop Ibis-Rank Ibis-Retry-Right"
    b" Idempotency-Key Content-Length Transfer-Encoding Expect Upgrade"
).split()


def _call_server(session: ClientSession) -> CallServer:
    """Returns a serving node whose upstream does not run."""
    node, now = bare_node("n1"), read_clocks()
    stage_version(node, chunked(1, PILBARA_RULES), now)
    node.versions.activate()
    node.lifecycle.state = SERVING
    owner = Owner(node, Gate(Scheduler(1)), session, create_keyed_runs("n1", 0))
    owner.reconfigure()
    return CallServer(node, owner, Ingress(node, owner, session))


async def test_hostile_calls_get_an_outcome():
    """Guards against a refusal that does not say whether the call ran."""
    async with ClientSession() as session:
        runner = web.ServerRunner(web.Server(_call_server(session).handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        try:
            pairs = await exchange_all(address, hostile_requests(500, _PATHS, _HEADERS))
        finally:
            await runner.cleanup()
    served = [(r, a) for r, a in pairs if a and not a.startswith(b"HTTP/1.0 400")]
    assert len(served) > len(pairs) / 4
    for request, answer in served:
        assert b"Ibis-Outcome: " in answer, (request, answer)


load_tests = function_tests(__name__)
