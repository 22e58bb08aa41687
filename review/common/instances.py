"""Stand-in for an application instance, as the users' pages describe a sound one.

It runs as many requests at a time as it has slots, queues a few more and refuses the rest with
``Not-Executed``.  It stops at the deadline that it receives, drops a request whose connection
closes, and reports itself to the store with each heartbeat.
"""

import asyncio
import hashlib
import json
import time

import attrs
from aiohttp import web

from review.common.record import Record

HEARTBEAT_S = 1.5
QUEUED_REQUESTS = 24
MAX_FIELD_BYTES = 64 * 1024  # Of a request line or a header field.


@attrs.define(eq=False)
class Instance:
    """A running instance.

    Attributes:
      instance_id: Its id, a new one for each start.
      service: Its service.
      zone: Availability zone.
      host: IP number.
      port: TCP port.
      slots: Number of requests that it runs at a time.
      work_s: Time that a request takes.
      answer_bytes: Size of the bodies of its answers; smaller ones are filled up to it.
      record: Gets a line for each request that it begins to run.
      born_ms: Start in Unix milliseconds.
      sequence: Number of its reports.
      runs: Number of runs by request id.
      finished_at_s: Time on the record at which it finished each run, by request id.
    """

    instance_id: str
    service: str
    zone: str
    host: str
    port: int
    slots: int
    work_s: float
    record: Record
    answer_bytes: int = 0
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    runs: dict[str, int] = attrs.field(factory=dict)
    finished_at_s: dict[str, float] = attrs.field(factory=dict)
    _free: asyncio.Semaphore | None = None
    _waiting: int = 0
    _runner: web.ServerRunner | None = None

    def entry(self) -> bytes:
        """Returns what it says of itself, as it stands in the store."""
        self.sequence += 1
        body = {
            "address": f"{self.host}:{self.port}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": "ready", "seq": self.sequence, "cold_remaining": "0ms"},
            "born": self.born_ms,
        }
        return json.dumps(body).encode()

    async def start(self) -> None:
        """Begins to listen."""
        self._free = asyncio.Semaphore(self.slots)
        sizes = {"max_line_size": MAX_FIELD_BYTES, "max_field_size": MAX_FIELD_BYTES}
        server = web.Server(self._handle, access_log=None, handler_cancellation=True, **sizes)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.host, self.port).start()

    async def close(self) -> None:
        """Stops listening."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/healthz":
            return web.Response(headers={"Instance-Id": self.instance_id})
        request_id = request.headers.get("Request-Id", "")
        not_run = {"Not-Executed": "1", "Request-Id": request_id}
        if not request_id:
            return web.Response(status=400, headers=not_run)
        if request.headers.get("Expected-Instance", self.instance_id) != self.instance_id:
            return web.Response(status=421, headers=not_run | {"Instance-Id": self.instance_id})
        if self._free.locked() and self._waiting >= QUEUED_REQUESTS:
            return web.Response(status=503, headers=not_run)
        deadline_s = int(request.headers["Deadline-Ms"]) / 1000
        size, digest = await _read_body(request)
        self._waiting += 1
        try:
            async with asyncio.timeout(deadline_s):
                await self._free.acquire()
        except TimeoutError:
            return web.Response(status=503, headers=not_run)
        finally:
            self._waiting -= 1
        try:
            return await self._run(request, request_id, size, digest)
        finally:
            self._free.release()

    async def _run(
        self, request: web.BaseRequest, request_id: str, size: int, digest: str
    ) -> web.Response:
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.write(
            "run",
            request=request_id,
            instance=self.instance_id,
            service=self.service,
            path=request.path,
            body_bytes=size,
        )
        await asyncio.sleep(self.work_s)
        self.finished_at_s[request_id] = self.record.now_s()
        self.record.write("finished", request=request_id, instance=self.instance_id)
        headers = {"Request-Id": request_id, "Response-Signature": f"{self.instance_id}.{digest}"}
        body = f"{request_id} {size} {digest}".encode().ljust(self.answer_bytes)
        return web.Response(body=body, headers=headers)


async def _read_body(request: web.BaseRequest) -> tuple[int, str]:
    """Reads a body; returns its size and a digest."""
    size, digest = 0, hashlib.blake2b(digest_size=8)
    async for part in request.content.iter_any():
        size += len(part)
        digest.update(part)
    return size, digest.hexdigest()
