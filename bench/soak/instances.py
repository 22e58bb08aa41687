"""The application instances of a soak: each answers with its own signature and records its runs."""

import asyncio
import time

import attrs
from aiohttp import web

from bench.soak.history import Crash, History, Run
from ibisrack.platform.headers import REQUEST_ID, SIGNATURE
from ibisrack.standins.instance import StandInInstance, content_of, digest

SLOTS = 4
BREAK_OFF = 0  # In place of a status: the instance drops the connection after the work.
QUEUE = 4  # Requests beyond the slots that an instance accepts before it refuses more.


@attrs.frozen
class Work:
    """What a request asks of an instance; the last part of its path.

    Attributes:
      duration_ms: Duration in milliseconds.
      answer_bytes: Size of the answer's body.
      status: HTTP status of the answer, or BREAK_OFF.
    """

    duration_ms: int
    answer_bytes: int
    status: int

    def encode(self) -> str:
        """Returns the text for the path."""
        return f"{self.duration_ms}-{self.answer_bytes}-{self.status}"

    @classmethod
    def decode(cls, path: str) -> "Work":
        """Returns the work that a path asks for."""
        return cls(*map(int, path.rpartition("/")[2].split("-")))


@attrs.define(eq=False)
class SoakInstance:
    """An instance beside a sidecar.

    Attributes:
      node: Number of the sidecar.
      history: Receives the executions.
      stand_in: The stand-in that serves it.
      busy: Number of running requests.
    """

    node: int
    history: History
    stand_in: StandInInstance
    busy: int = 0

    async def handle(self, stand_in: StandInInstance, request: web.BaseRequest) -> web.Response:
        """Runs a request, or refuses it if the instance is full."""
        body = await request.read()
        if stand_in.is_down:
            return web.Response()  # Nobody reads it: a crash has reset the connection.
        if self.busy >= SLOTS + QUEUE:
            return stand_in.refusal(request, 503)
        request_id, path = request.headers[REQUEST_ID], request.path
        run = Run(request_id, stand_in.instance_id, self.node, path, digest(body), time.monotonic())
        self.history.runs.append(run)
        if content_of(request, body) in stand_in.deadly:
            crash = Crash(request_id, run.instance_id, self.node, run.started_at_s)
            self.history.crashes.append(crash)
            stand_in.crash()
            return web.Response()
        work = Work.decode(path)
        self.busy += 1
        try:
            await asyncio.sleep(work.duration_ms / 1000)
        finally:
            self.busy -= 1
        if work.status == BREAK_OFF:
            run.broke_off = True
            request.transport.abort()
            return web.Response()
        return _answer(run, work, stand_in.statements())


def _answer(run: Run, work: Work, statements: dict[str, str]) -> web.Response:
    line = f"{run.request_id} {run.instance_id} {run.path}\n".encode()
    body = (line * (work.answer_bytes // len(line) + 1))[: max(len(line), work.answer_bytes)]
    run.status, run.body_digest = work.status, digest(body)
    run.signature = f"{run.instance_id}.{run.body_digest}"
    headers = {REQUEST_ID: run.request_id, SIGNATURE: run.signature, **statements}
    return web.Response(status=work.status, body=body, headers=headers)
