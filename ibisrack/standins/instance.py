"""Stand-in for an application instance on the platform, for development and tests only."""

import asyncio
import hashlib
import itertools
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
from aiohttp import web

from ibisrack.platform.headers import (
    CALLER_SERVICE,
    COLD_MS,
    EXPECTED_INSTANCE,
    INSTANCE_ID,
    LEAVING,
    LIMIT,
    NOT_EXECUTED,
    REQUEST_ID,
    SIGNATURE,
)
from ibisrack.standins.resets import reset

HEALTH_PATH = "/healthz"

Handler = Callable[["StandInInstance", web.BaseRequest], Awaitable[web.StreamResponse]]


def digest(content: bytes) -> str:
    """Returns a short digest."""
    return hashlib.blake2b(content, digest_size=8).hexdigest()


@attrs.frozen
class RequestContent:
    """What stays the same when a request comes again under a new id.

    Attributes:
      method: HTTP method.
      path: Path with the query.
      caller: Service of the host from which it came.
      body_digest: Digest of the body.
    """

    method: str
    path: str
    caller: str
    body_digest: str


@attrs.define(eq=False)
class InstanceServer:
    """Listener of an instance, which can end like a crashed process and listen again.

    Attributes:
      host: IP number.
      port: TCP port; 0 before the first start picks a free one.
      http: Accepts the connections.
    """

    host: str
    port: int
    http: web.Server
    _listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self.http, self.host, self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuses new connections."""
        self._listener.close()

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for connection in self.http.connections:
            if connection.transport is not None:
                reset(connection.transport)


@attrs.define(eq=False)
class StandInInstance:
    """An instance that accepts requests addressed to its id.

    Attributes:
      instance_id: Identity of the instance; a restarted instance has a new one.
      work_s: Duration of a request in seconds.
      limit_per_s: Requests a second that it names in its answers as its limit, None for none.
      leaving: Whether it says in its answers that it is about to end.
      started_at_ms: Time of day at which it started, 0 for the first start.
      deadly: Requests that crash it when it begins to run them.
      down_s: Time from a crash until it is back with a new id.
      on_restart: Called with its earlier id when it is back after a crash.
      server: Its listener while it is served.
      custom_handler: Replaces ``run`` if set.
      executed_ids: Ids of the requests that ran.
      last_request: The request received last, for tests; None before the first.
      cold_ms: How much longer it is cold, as its health answers say.
      health_checks: Number of health checks that it answered.
      arrivals: Ids of the requests that are addressed to it, with the monotonic times of arrival.
    """

    instance_id: str
    work_s: float = 0.0
    limit_per_s: float | None = None
    leaving: bool = False
    started_at_ms: int = 0
    deadly: set[RequestContent] = attrs.field(factory=set)
    down_s: float = 1.0
    on_restart: Callable[[str], None] = lambda earlier_id: None
    server: InstanceServer | None = None
    custom_handler: Handler | None = None
    executed_ids: list[str] = attrs.field(factory=list)
    last_request: web.BaseRequest | None = None
    cold_ms: float = 0.0
    health_checks: int = 0
    arrivals: list[tuple[str, float]] = attrs.field(factory=list)
    _restart: asyncio.Task | None = None
    _starts: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves a request, or returns 421 if it is addressed to another instance."""
        if request.path == HEALTH_PATH:
            self.health_checks += 1
            return web.Response(headers={COLD_MS: f"{self.cold_ms:g}"})
        self.last_request = request
        if self.is_down:
            return web.Response()  # Nobody reads it: a crash has reset the connection.
        if request.headers.get(EXPECTED_INSTANCE, self.instance_id) != self.instance_id:
            return self.refusal(request, 421)
        self.arrivals.append((request.headers[REQUEST_ID], time.monotonic()))
        if self.custom_handler is not None:
            return await self.custom_handler(self, request)
        return await self.run(request)

    async def run(self, request: web.BaseRequest) -> web.Response:
        """Runs a request and returns its response."""
        body = await request.read()
        self.executed_ids.append(request.headers[REQUEST_ID])
        if content_of(request, body) in self.deadly:
            self.crash()
        await asyncio.sleep(self.work_s)
        return web.Response(body=b"done " + body, headers=self.headers(request))

    def refusal(self, request: web.BaseRequest, status: int) -> web.Response:
        """Returns the response to a request that it does not run."""
        headers = {
            REQUEST_ID: request.headers[REQUEST_ID],
            INSTANCE_ID: self.instance_id,
            NOT_EXECUTED: "1",
        }
        return web.Response(status=status, headers=headers)

    @property
    def is_down(self) -> bool:
        """Whether it has crashed and is not back yet."""
        return self._restart is not None and not self._restart.done()

    def crash(self) -> None:
        """Resets its connections and refuses new ones until it starts again by itself."""
        if not self.is_down:
            self.server.stop()
            self.server.reset_connections()
            self._restart = asyncio.create_task(self._start_again())

    def begin_incarnation(self) -> str:
        """Takes a new id and start; returns the earlier id."""
        earlier_id = self.instance_id
        self.instance_id = f"{earlier_id.partition('+')[0]}+{next(self._starts)}"
        self.started_at_ms = int(time.time() * 1000)
        self.leaving, self.limit_per_s = False, None
        return earlier_id

    async def _start_again(self) -> None:
        await asyncio.sleep(self.down_s)
        earlier_id = self.begin_incarnation()
        await self.server.start()
        self.on_restart(earlier_id)

    async def close(self) -> None:
        """Stops its listener, or its start after a crash."""
        if self.is_down:
            self._restart.cancel()
        self.server.stop()
        await self.server.http.shutdown(timeout=0.1)

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


def content_of(request: web.BaseRequest, body: bytes) -> RequestContent:
    """Returns the content of a received request."""
    caller = request.headers.get(CALLER_SERVICE, "")
    return RequestContent(request.method, request.path_qs, caller, digest(body))


@asynccontextmanager
async def serve_instance(instance: StandInInstance, host: str, port: int = 0) -> AsyncIterator[int]:
    """Serves an instance and yields its port; port 0 picks a free one."""
    http = web.Server(instance.handle, access_log=None, handler_cancellation=True)
    instance.server = InstanceServer(host, port, http)
    await instance.server.start()
    try:
        yield instance.server.port
    finally:
        await instance.close()
