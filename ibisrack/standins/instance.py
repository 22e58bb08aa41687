"""Stand-in for an application instance on the platform, for development and tests only."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
from aiohttp import web

from ibisrack.platform.headers import (
    EXPECTED_INSTANCE,
    INSTANCE_ID,
    LEAVING,
    LIMIT,
    REQUEST_ID,
    SIGNATURE,
)

Handler = Callable[["StandInInstance", web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.define(eq=False)
class StandInInstance:
    """An instance that accepts requests addressed to its id.

    Attributes:
      instance_id: Identity of the instance; a restarted instance has a new one.
      work_s: Duration of a request in seconds.
      limit_per_s: Requests a second that it names in its answers as its limit, None for none.
      leaving: Whether it says in its answers that it is about to end.
      custom_handler: Replaces ``run`` if set.
      executed_ids: Ids of the requests that ran.
      last_request: The request received last, for tests; None before the first.
    """

    instance_id: str
    work_s: float = 0.0
    limit_per_s: float | None = None
    leaving: bool = False
    custom_handler: Handler | None = None
    executed_ids: list[str] = attrs.field(factory=list)
    last_request: web.BaseRequest | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves a request, or returns 421 if it is addressed to another instance."""
        self.last_request = request
        if request.headers.get(EXPECTED_INSTANCE, self.instance_id) != self.instance_id:
            return web.Response(status=421, headers={INSTANCE_ID: self.instance_id})
        if self.custom_handler is not None:
            return await self.custom_handler(self, request)
        return await self.run(request)

    async def run(self, request: web.BaseRequest) -> web.Response:
        """Runs a request and returns its response."""
        body = await request.read()
        self.executed_ids.append(request.headers[REQUEST_ID])
        await asyncio.sleep(self.work_s)
        return web.Response(body=b"done " + body, headers=self.headers(request))

    def headers(self, request: web.BaseRequest) -> dict[str, str]:
        """Returns the headers of a valid response."""
        headers = {
            REQUEST_ID: request.headers[REQUEST_ID],
            SIGNATURE: f"signed.{self.instance_id}",
        }
        return headers | self.statements()

    def statements(self) -> dict[str, str]:
        """Returns the headers in which the instance states its limit and that it leaves."""
        headers = {}
        if self.limit_per_s is not None:
            headers[LIMIT] = f"{self.limit_per_s:g}"
        if self.leaving:
            headers[LEAVING] = "1"
        return headers


@asynccontextmanager
async def serve_instance(instance: StandInInstance, host: str, port: int = 0) -> AsyncIterator[int]:
    """Serves an instance and yields its port; port 0 picks a free one."""
    server = web.Server(instance.handle, access_log=None, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()
