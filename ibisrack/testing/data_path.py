"""Fixtures for the data path: scripted servers and a node's call server, on loopback."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random

import attrs
import cattrs
from aiohttp import ClientSession, web

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.connections import CallConnections
from ibisrack.calls.gate import Gate
from ibisrack.calls.ingress import Ingress
from ibisrack.calls.keyed import create_keyed_calls
from ibisrack.calls.messages import Call
from ibisrack.calls.owner import Owner
from ibisrack.calls.server import CallServer
from ibisrack.clocks import read_clocks
from ibisrack.node.state import NodeState, create_node
from ibisrack.rules.model import RouteRule
from ibisrack.settings.node import NodeSettings
from ibisrack.testing.fixtures import PILBARA_RULES
from ibisrack.upstreams.connections import ConnectionPool, PeerPools
from ibisrack.upstreams.local import LocalUpstream, create_pool
from ibisrack.upstreams.sizing import PoolSizing
from ibisrack.versions.chunks import chunk_version

HOST = "127.0.0.1"


@attrs.define
class ScriptedServer:
    """A TCP server that runs a script on each connection.

    Attributes:
      port: TCP port.
      request_heads: Head of each request read by ``read_request``.
      connections: Number of connections accepted so far.
    """

    port: int = 0
    request_heads: list[bytes] = attrs.field(factory=list)
    connections: int = 0

    async def read_request(self, reader: asyncio.StreamReader) -> bytes:
        """Reads one request that has no body and returns its head."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.request_heads.append(head)
        return head


@asynccontextmanager
async def scripted_server(
    script: Callable[[ScriptedServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[ScriptedServer]:
    """Runs a scripted server; closes each connection when its script ends."""
    scripted = ScriptedServer()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        scripted.connections += 1
        try:
            await script(scripted, reader, writer)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    scripted.port = server.sockets[0].getsockname()[1]
    async with server:
        yield scripted


def create_loopback_pool(port: int, limit: int = 4) -> ConnectionPool:
    """Returns a connection pool for a server on loopback."""
    return ConnectionPool(HOST, port, PoolSizing(limit))


def create_approval_call(call_id: str = "call-1", method: str = "GET") -> Call:
    """Returns a call for the approval rank of the notice desk."""
    route = RouteRule(
        line=1,
        requester="Mei Tan",
        reason="test",
        method=method,
        match="notice-desk/approvals",
        to="notice-desk",
        rank="approval",
        deadline_ms=1000,
        idempotent=True,
    )
    return Call(call_id, method, "/approvals/12", {}, b"", route, 1, 0.0)


def _create_serving_node(upstream_port: int) -> NodeState:
    values = {
        "identity": {
            "node_id": "notice-desk-0",
            "service": "notice-desk",
            "zone": "karratha",
            "region": "wa-north",
        },
        "listen": {"host": HOST, "call_port": 1, "peer_port": 2, "admin_port": 3},
        "upstream": {"base_url": f"http://{HOST}:{upstream_port}"},
        "platform": {"base_url": f"http://{HOST}:1"},
    }
    node = create_node(cattrs.structure(values, NodeSettings), Random(1))
    version = chunk_version(1, PILBARA_RULES)
    node.versions.stage(version.manifest, version.chunks, 0.0)
    node.versions.activate()
    node.fire_trigger("join", read_clocks())
    node.fire_trigger("serve", read_clocks())
    return node


@asynccontextmanager
async def serving_node(upstream_port: int) -> AsyncIterator[tuple[Owner, str]]:
    """Runs the call server of a node; yields the node's Owner and the server's HOST:PORT."""
    node = _create_serving_node(upstream_port)
    upstream = LocalUpstream(node.settings.upstream, create_pool(node.settings.upstream.base_url))
    keyed = create_keyed_calls(node.settings.identity.node_id, read_clocks().wall_ms)
    owner = Owner(node, Gate(Scheduler(slots=1)), upstream, keyed)
    owner.reconfigure()
    pools = PeerPools(4)
    runner = web.ServerRunner(CallConnections(CallServer(node, owner, Ingress(node, owner, pools))))
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    try:
        yield owner, f"{HOST}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()
        upstream.pool.close()
        pools.close()


@asynccontextmanager
async def caller_session() -> AsyncIterator[ClientSession]:
    """Yields an HTTP client session for a caller."""
    async with ClientSession() as session:
        yield session
