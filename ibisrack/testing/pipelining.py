"""A caller's connection with pipelined requests, and an instance that holds them."""

import asyncio
from contextlib import asynccontextmanager

import attrs
from aiohttp import web

from ibisrack.platform.headers import REQUEST_ID
from ibisrack.testing.sidecars import route_resource, run_sidecars, wait_until

SLOTS = 100
GUARD_S = 5.0
SETTLE_S = 0.15  # A request that wrongly runs has reached the instance by then.
# No held request ends by itself while a test waits.
PATIENT_ROUTES = (
    route_resource(timeout="60s"),
    route_resource("non_idempotent", prefix="/lodge/", timeout="60s"),
)


@attrs.define(eq=False)
class HeldInstance:
    """Handler of an instance that holds each request until it is released.

    Attributes:
      started: Ids of the requests that have started.
      cancelled: Ids of those whose connection was closed while they were held.
      bodies: Body of each answer by request id, if it is not the id.
    """

    started: list[str] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    bodies: dict[str, bytes] = attrs.field(factory=dict)
    _released: dict[str, asyncio.Event] = attrs.field(factory=dict)

    def release(self, *names: str) -> None:
        """Lets requests end, also ones that have not started yet."""
        for name in names:
            self._event(name).set()

    async def run(self, instance, request) -> web.Response:
        """Runs a request."""
        name, body = request.headers[REQUEST_ID], await request.read()
        self.started.append(name)
        try:
            await self._event(name).wait()
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        answer = self.bodies.get(name, name.encode() + body)
        return web.Response(body=answer, headers=instance.headers(request))

    def _event(self, name: str) -> asyncio.Event:
        return self._released.setdefault(name, asyncio.Event())


@attrs.define(eq=False)
class Client:
    """A caller with one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_answer(self, method: str = "GET") -> tuple[int, dict[str, str], bytes]:
        """Reads the next answer."""
        async with asyncio.timeout(GUARD_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            status_line, *fields = head.strip().split("\r\n")
            headers = dict(field.split(": ", 1) for field in fields)
            length = 0 if method == "HEAD" else int(headers["Content-Length"])
            return int(status_line.split()[1]), headers, await self.reader.readexactly(length)

    async def read_bodies(self, count: int) -> list[bytes]:
        """Reads answers that are expected to be good ones, and returns their bodies."""
        answers = [await self.read_answer() for _ in range(count)]
        assert {status for status, _, _ in answers} == {200}, answers
        return [body for _, _, body in answers]

    async def reads_end(self) -> bool:
        """Returns whether the connection ends without another answer."""
        async with asyncio.timeout(GUARD_S):
            return await self.reader.read() == b""


def get(name: str, *fields: str, method: str = "GET", path: str = "/notices/1") -> bytes:
    """Returns a request without a body; it may be repeated unless another path is given."""
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"Request-Id: {name}", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def chunked(body: bytes) -> bytes:
    """Returns a body in one chunk."""
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def post(name: str, body: bytes = b"") -> bytes:
    """Returns a request that runs at most once."""
    head = get(name, f"Content-Length: {len(body)}", method="POST", path="/lodge/1")
    return head + body


@asynccontextmanager
async def pipelining():
    """Yields a fleet of one node, the handler of its instance, and a connection to the node."""
    held = HeldInstance()
    async with run_sidecars(1, PATIENT_ROUTES) as fleet_:
        fleet_.instances[0].custom_handler = lambda instance, request: held.run(instance, request)
        fleet_.register_instance(0, slots=SLOTS, sequence=1)
        await wait_until(lambda: fleet_.nodes[0].directory.get("i-0").slots == SLOTS)
        calls = fleet_.nodes[0].settings.calls
        reader, writer = await asyncio.open_connection(calls.host, calls.port)
        try:
            yield fleet_.nodes[0], held, Client(reader, writer)
        finally:
            writer.close()
