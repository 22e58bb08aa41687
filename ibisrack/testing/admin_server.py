"""Fixture: admin servers on loopback that give prepared answers."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import attrs
from aiohttp import web


@attrs.define
class FakeAdminServer:
    """A running server.

    Attributes:
      address: IP:PORT.
      answers: Body by path; a path without one is answered with 404.
      requests: Paths that were asked for.
    """

    address: str
    answers: dict[str, bytes]
    requests: list[str] = attrs.field(factory=list)


@asynccontextmanager
async def fake_admin_server(answers: Mapping[str, bytes]) -> AsyncIterator[FakeAdminServer]:
    """Serves prepared answers until the block ends."""
    admin = FakeAdminServer("", dict(answers))

    async def handle(request: web.BaseRequest) -> web.Response:
        admin.requests.append(request.path)
        body = admin.answers.get(request.path)
        return web.Response(status=404) if body is None else web.Response(body=body)

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    admin.address = f"127.0.0.1:{runner.addresses[0][1]}"
    try:
        yield admin
    finally:
        await runner.cleanup()
