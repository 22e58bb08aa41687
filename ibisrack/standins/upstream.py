"""Stand-in for an upstream instance.

It models slots, a cold start, draining, load shedding, cancellation and deadlines, and its health
and load endpoints can report stale or false values.  Every execution is recorded with its call id,
so that a checker can compare the results that callers observed with the calls that ran.
"""

import asyncio
import json
import os
import time
from random import Random

import attrs
import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ibisrack.settings.standins import StandinUpstreamSettings

CALL_ID = "Ibis-Call-Id"
DEADLINE_MS = "Ibis-Deadline-Ms"
WORK_MS = "X-Work-Ms"
ANSWER_BYTES = "X-Answer-Bytes"
# Comma-separated HOST/PATH items: the first is called, the rest are sent on in the same header.
ONWARD_CALLS = "X-Onwards"
# Headers that are copied from a request to its onward call.
CONTEXT_HEADERS = (CALL_ID, DEADLINE_MS, "Ibis-Depth", "Ibis-Retry-Right")
ONWARD_TIMEOUT_S = 60.0


@attrs.define
class Execution:
    """One execution of a call.

    Attributes:
      call_id: Identity of the call.
      path: Path of the request.
      started_s: Monotonic time of the start.
      ended_s: Monotonic time of the end, 0 while it runs.
      result: running, done, cancelled, late (after the deadline) or cut (answer broken off).
    """

    call_id: str
    path: str
    started_s: float
    ended_s: float = 0.0
    result: str = "running"


@attrs.frozen
class Behaviour:
    """Injected behaviour.

    Attributes:
      draining: Whether new calls are shed and the health endpoint returns 503.
      shed: Whether new calls are shed, as under overload.
      fail: Whether calls run and then return status 500.
      cut_percent: Percentage of answers whose connection is closed in the middle.
      reported_busy: Busy slots that the load endpoint reports, -1 for the actual number.
      reported_healthy: Whether the health endpoint reports a healthy instance.
      slow_factor: Multiplies the duration of each call.
      twice_percent: Percentage of answers that are sent twice.
      other_call_percent: Percentage of answers that carry the id of another call.
      chunked: Whether answers use chunked encoding, without a length.
    """

    draining: bool = False
    shed: bool = False
    fail: bool = False
    cut_percent: int = 0
    reported_busy: int = -1
    reported_healthy: bool = True
    slow_factor: float = 1.0
    twice_percent: int = 0
    other_call_percent: int = 0
    chunked: bool = False


@attrs.define
class StandinUpstream:
    """State and handlers of the stand-in.

    Attributes:
      settings: Address, slots and duration of calls.
      behaviour: Injected behaviour.
      busy: Number of running calls.
      executions: All executions since the start.
      rng: Selects the answers that ``behaviour`` affects.
      started_s: Monotonic time of the start, in seconds.
    """

    settings: StandinUpstreamSettings
    behaviour: Behaviour = Behaviour()
    busy: int = 0
    executions: list[Execution] = attrs.field(factory=list)
    rng: Random = attrs.field(factory=lambda: Random(1))
    started_s: float = attrs.field(factory=time.monotonic)

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=2_000_000)
        app.router.add_get("/health", self.health)
        app.router.add_get("/load", self.load)
        app.router.add_get("/control/executions", self.list_executions)
        app.router.add_put("/control/behaviour", self.set_behaviour)
        app.router.add_route("*", "/{path:.*}", self.serve)
        return app

    async def health(self, request: web.Request) -> web.Response:
        """Returns the reported health as 200 or 503."""
        healthy = self.behaviour.reported_healthy and not self.behaviour.draining
        return web.Response(status=200 if healthy else 503)

    async def load(self, request: web.Request) -> web.Response:
        """Returns the reported load as JSON."""
        reported = self.behaviour.reported_busy
        busy = self.busy if reported < 0 else reported
        return web.json_response({"busy": busy, "slots": self.settings.slots})

    async def list_executions(self, request: web.Request) -> web.Response:
        """Returns all executions as JSON."""
        return web.Response(body=msgspec.json.encode(self.executions))

    async def set_behaviour(self, request: web.Request) -> web.Response:
        """Replaces the injected behaviour."""
        self.behaviour = msgspec.json.decode(await request.read(), type=Behaviour)
        return web.Response(body=msgspec.json.encode(self.behaviour))

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Runs a call, or sheds it with 503 if no slot is free."""
        await request.read()
        if self.behaviour.draining or self.behaviour.shed or self.busy >= self.settings.slots:
            return web.Response(status=503, headers={"Retry-After": "1"}, text="shed\n")
        call_id = request.headers.get(CALL_ID, "")
        execution = Execution(call_id, request.path, time.monotonic())
        self.executions.append(execution)
        self._append_record(execution)
        self.busy += 1
        try:
            await asyncio.sleep(self._work_duration_s(request))
            await self._send_onward_call(request)
            execution.result = self._result(request, execution)
        except asyncio.CancelledError:
            execution.result = "cancelled"
            raise
        finally:
            self.busy -= 1
            execution.ended_s = time.monotonic()
        return await self._respond(request, execution)

    def _append_record(self, execution: Execution) -> None:
        """Appends a line to the record file when a call starts; the file outlives the process."""
        if self.settings.record_file:
            line = f"{execution.call_id} {time.time():.6f} {self.settings.instance}\n"
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            descriptor = os.open(self.settings.record_file, flags, 0o600)
            os.write(descriptor, line.encode())
            os.close(descriptor)

    async def _send_onward_call(self, request: web.Request) -> None:
        """Sends the first onward call that the request names, through the local node."""
        first, _, rest = request.headers.get(ONWARD_CALLS, "").partition(",")
        if not first or not self.settings.node_url:
            return
        host, _, path = first.partition("/")
        headers = {
            name: request.headers[name] for name in CONTEXT_HEADERS if name in request.headers
        }
        headers |= {"Host": host, WORK_MS: request.headers.get(WORK_MS, "0"), ONWARD_CALLS: rest}
        timeout = ClientTimeout(total=ONWARD_TIMEOUT_S)
        try:
            async with ClientSession(timeout=timeout) as session:
                url = f"{self.settings.node_url}/{path}"
                async with session.get(url, headers=headers) as response:
                    await response.read()
        except (ClientError, OSError) as error:
            raise web.HTTPBadGateway(text=f"{type(error).__name__}\n") from error

    def _work_duration_s(self, request: web.Request) -> float:
        work_ms = float(request.headers.get(WORK_MS, self.settings.work_ms))
        cold = time.monotonic() - self.started_s < self.settings.cold_start_s
        factor = self.settings.cold_factor if cold else 1.0
        return work_ms * factor * self.behaviour.slow_factor / 1000

    def _result(self, request: web.Request, execution: Execution) -> str:
        deadline_s = float(request.headers.get(DEADLINE_MS, "3600000")) / 1000
        return "late" if time.monotonic() - execution.started_s > deadline_s else "done"

    async def _respond(self, request: web.Request, execution: Execution) -> web.StreamResponse:
        headers = {CALL_ID: execution.call_id, "X-Instance": self.settings.instance}
        if self._sample(self.behaviour.other_call_percent):
            headers[CALL_ID] = "another-call"
        if self.behaviour.fail:
            return web.Response(status=500, headers=headers, text="failed\n")
        text = json.dumps({"call_id": execution.call_id, "instance": self.settings.instance})
        body = text.encode().ljust(int(request.headers.get(ANSWER_BYTES, "0")), b" ")
        if self._sample(self.behaviour.cut_percent):
            execution.result = "cut"
            return await self._send_in_parts(request, headers, body, len(body) // 2)
        if self._sample(self.behaviour.twice_percent):
            text = f"HTTP/1.1 200 OK\r\n{CALL_ID}: {execution.call_id}\r\n"
            request.transport.write(f"{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        if self.behaviour.chunked:
            return await self._send_in_parts(request, headers, body, len(body))
        return web.Response(headers=headers, body=body)

    async def _send_in_parts(
        self, request: web.Request, headers: dict[str, str], body: bytes, sent_bytes: int
    ) -> web.StreamResponse:
        """Sends ``sent_bytes`` of a body in two parts and closes the connection if more remain."""
        response = web.StreamResponse(headers=headers)
        if self.behaviour.chunked:
            response.enable_chunked_encoding()
        else:
            response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: sent_bytes // 2])
        await response.write(body[sent_bytes // 2 : sent_bytes])
        if sent_bytes < len(body):
            # An orderly close looks like the end of the answer unless the reader checks the length.
            request.transport.close()
        return response

    def _sample(self, percent: int) -> bool:
        """Returns True with the given probability in percent."""
        return self.rng.random() * 100 < percent


async def run_upstream(settings: StandinUpstreamSettings) -> None:
    """Serves the stand-in until cancelled."""
    app = StandinUpstream(settings).application()
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, settings.host, settings.port, backlog=1024).start()
    await asyncio.Event().wait()
