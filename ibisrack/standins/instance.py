"""Stand-in of an application instance on the platform, for development and tests only."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
from aiohttp import web

from ibisrack.platform.headers import EXPECTED_INSTANCE, INSTANCE_ID, REQUEST_ID, SIGNATURE

Behaviour = Callable[["StandInInstance", web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.define(eq=False)
class StandInInstance:
    """An instance.

    Attributes:
      instance_id: Identity of this life.
      work_s: Time that a request takes.
      custom_handler: Answers the requests that are meant for this instance.
      ran: Ids of the requests that ran.
      seen: The last request's head, for tests.
    """

    instance_id: str
    work_s: float = 0.0
    custom_handler: Behaviour | None = None
    executed_ids: list[str] = attrs.field(factory=list)
    last_request: web.BaseRequest | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request."""
        self.last_request = request
        if request.headers.get(EXPECTED_INSTANCE, self.instance_id) != self.instance_id:
            return web.Response(status=421, headers={INSTANCE_ID: self.instance_id})
        if self.custom_handler is not None:
            return await self.custom_handler(self, request)
        return await self.run(request)

    async def run(self, request: web.BaseRequest) -> web.Response:
        """Runs a request and answers it."""
        body = await request.read()
        self.executed_ids.append(request.headers[REQUEST_ID])
        await asyncio.sleep(self.work_s)
        return web.Response(body=b"done " + body, headers=self.headers(request))

    def headers(self, request: web.BaseRequest) -> dict[str, str]:
        """Returns the headers of a proper answer."""
        return {REQUEST_ID: request.headers[REQUEST_ID], SIGNATURE: f"signed.{self.instance_id}"}


@asynccontextmanager
async def serve_instance(instance: StandInInstance, host: str, port: int = 0) -> AsyncIterator[int]:
    """Serves an instance; yields its port, 0 picks a free one."""
    server = web.Server(instance.handle, access_log=None, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()
