"""Fixture for admin servers on loopback with predefined answers."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import attrs
from aiohttp import web


@attrs.define
class FakeAdminServer:
    """A running admin server.

    Attributes:
      address: IP:PORT.
      answers: Answer body by path; other paths are answered with status 404.
      requests: Requested paths, in order.
    """

    address: str
    answers: dict[str, bytes]
    requests: list[str] = attrs.field(factory=list)


@asynccontextmanager
async def fake_admin_server(answers: Mapping[str, bytes]) -> AsyncIterator[FakeAdminServer]:
    """Runs a server with predefined answers until the block ends.

    Args:
      answers: Answer body by path.
    """
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
