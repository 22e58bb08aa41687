"""Stand-in for an upstream instance.

It has slots, a cold start, draining, shedding, cancellation and deadlines, and health and load
endpoints that can lag or mislead.  Every execution is recorded by call identity, so that a checker
can compare what callers were told with what ran.
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
ONWARDS = "X-Onwards"  # HOST/PATH items, comma-separated; the first is called, the rest passed on.
CONTEXT = (CALL_ID, DEADLINE_MS, "Ibis-Depth", "Ibis-Retry-Right")
ONWARD_TIMEOUT_S = 60.0


@attrs.define
class Execution:
    """One execution of a call.

    Attributes:
      call_id: Identity of the call.
      path: Path of the request.
      started_s: Monotonic time of the start.
      ended_s: Monotonic time of the end, 0 while it runs.
      result: done, cancelled, late or cut.
    """

    call_id: str
    path: str
    started_s: float
    ended_s: float = 0.0
    result: str = "running"


@attrs.frozen
class Behaviour:
    """Behaviour that can be switched on.

    Attributes:
      draining: New calls are shed.
      shed: New calls are shed, as under overload.
      fail: Calls run and end with status 500.
      cut_percent: Share of answers whose connection breaks in the middle.
      reported_busy: Busy slots that the load endpoint reports, or -1 for the truth.
      reported_healthy: What the health endpoint reports.
      slow_factor: Multiplies the time of each call.
      twice_percent: Share of answers that are sent twice.
      other_call_percent: Share of answers that name another call.
      chunked: Answers are sent in chunks without a length.
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
    """State and handlers of the stand-in."""

    settings: StandinUpstreamSettings
    behaviour: Behaviour = Behaviour()
    busy: int = 0
    executions: list[Execution] = attrs.field(factory=list)
    rng: Random = attrs.field(factory=lambda: Random(1))
    started_s: float = attrs.field(factory=time.monotonic)

    def application(self) -> web.Application:
        """Returns the routes of the stand-in."""
        app = web.Application(client_max_size=2_000_000)
        app.router.add_get("/health", self.health)
        app.router.add_get("/load", self.load)
        app.router.add_get("/control/executions", self.list_executions)
        app.router.add_put("/control/behaviour", self.set_behaviour)
        app.router.add_route("*", "/{path:.*}", self.serve)
        return app

    async def health(self, request: web.Request) -> web.Response:
        """Answers with the reported health."""
        healthy = self.behaviour.reported_healthy and not self.behaviour.draining
        return web.Response(status=200 if healthy else 503)

    async def load(self, request: web.Request) -> web.Response:
        """Answers with the reported load."""
        reported = self.behaviour.reported_busy
        busy = self.busy if reported < 0 else reported
        return web.json_response({"busy": busy, "slots": self.settings.slots})

    async def list_executions(self, request: web.Request) -> web.Response:
        """Answers with every execution."""
        return web.Response(body=msgspec.json.encode(self.executions))

    async def set_behaviour(self, request: web.Request) -> web.Response:
        """Replaces the behaviour."""
        self.behaviour = msgspec.json.decode(await request.read(), type=Behaviour)
        return web.Response(body=msgspec.json.encode(self.behaviour))

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Runs a call."""
        await request.read()
        if self.behaviour.draining or self.behaviour.shed or self.busy >= self.settings.slots:
            return web.Response(status=503, headers={"Retry-After": "1"}, text="shed\n")
        call_id = request.headers.get(CALL_ID, "")
        execution = Execution(call_id, request.path, time.monotonic())
        self.executions.append(execution)
        self._record(execution)
        self.busy += 1
        try:
            await asyncio.sleep(self._work_s(request))
            await self._call_onwards(request)
            execution.result = self._result(request, execution)
        except asyncio.CancelledError:
            execution.result = "cancelled"
            raise
        finally:
            self.busy -= 1
            execution.ended_s = time.monotonic()
        return await self._answer(request, execution)

    def _record(self, execution: Execution) -> None:
        """Writes a line at the start of an execution; a killed process leaves it behind."""
        if self.settings.record_file:
            line = f"{execution.call_id} {time.time():.6f} {self.settings.instance}\n"
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            descriptor = os.open(self.settings.record_file, flags, 0o600)
            os.write(descriptor, line.encode())
            os.close(descriptor)

    async def _call_onwards(self, request: web.Request) -> None:
        """Makes the call onwards that the request names, through the own node."""
        first, _, rest = request.headers.get(ONWARDS, "").partition(",")
        if not first or not self.settings.node_url:
            return
        host, _, path = first.partition("/")
        headers = {name: request.headers[name] for name in CONTEXT if name in request.headers}
        headers |= {"Host": host, WORK_MS: request.headers.get(WORK_MS, "0"), ONWARDS: rest}
        timeout = ClientTimeout(total=ONWARD_TIMEOUT_S)
        try:
            async with ClientSession(timeout=timeout) as session:
                url = f"{self.settings.node_url}/{path}"
                async with session.get(url, headers=headers) as answer:
                    await answer.read()
        except (ClientError, OSError) as error:
            raise web.HTTPBadGateway(text=f"{type(error).__name__}\n") from error

    def _work_s(self, request: web.Request) -> float:
        work_ms = float(request.headers.get(WORK_MS, self.settings.work_ms))
        cold = time.monotonic() - self.started_s < self.settings.cold_start_s
        factor = self.settings.cold_factor if cold else 1.0
        return work_ms * factor * self.behaviour.slow_factor / 1000

    def _result(self, request: web.Request, execution: Execution) -> str:
        deadline_s = float(request.headers.get(DEADLINE_MS, "3600000")) / 1000
        return "late" if time.monotonic() - execution.started_s > deadline_s else "done"

    async def _answer(self, request: web.Request, execution: Execution) -> web.StreamResponse:
        headers = {CALL_ID: execution.call_id, "X-Instance": self.settings.instance}
        if self._happens(self.behaviour.other_call_percent):
            headers[CALL_ID] = "another-call"
        if self.behaviour.fail:
            return web.Response(status=500, headers=headers, text="failed\n")
        text = json.dumps({"call_id": execution.call_id, "instance": self.settings.instance})
        body = text.encode().ljust(int(request.headers.get(ANSWER_BYTES, "0")), b" ")
        if self._happens(self.behaviour.cut_percent):
            execution.result = "cut"
            return await self._send(request, headers, body, len(body) // 2)
        if self._happens(self.behaviour.twice_percent):
            text = f"HTTP/1.1 200 OK\r\n{CALL_ID}: {execution.call_id}\r\n"
            request.transport.write(f"{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        if self.behaviour.chunked:
            return await self._send(request, headers, body, len(body))
        return web.Response(headers=headers, body=body)

    async def _send(
        self, request: web.Request, headers: dict[str, str], body: bytes, sent_bytes: int
    ) -> web.StreamResponse:
        """Sends an answer in two parts and breaks the connection if it is not whole."""
        response = web.StreamResponse(headers=headers)
        if self.behaviour.chunked:
            response.enable_chunked_encoding()
        else:
            response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: sent_bytes // 2])
        await response.write(body[sent_bytes // 2 : sent_bytes])
        if sent_bytes < len(body):
            # Closing in order looks like an end to a reader that does not count.
            request.transport.close()
        return response

    def _happens(self, percent: int) -> bool:
        return self.rng.random() * 100 < percent


async def run_upstream(settings: StandinUpstreamSettings) -> None:
    """Runs the stand-in until cancelled."""
    app = StandinUpstream(settings).application()
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, settings.host, settings.port, backlog=1024).start()
    await asyncio.Event().wait()
