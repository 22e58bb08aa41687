"""Stand-in for the platform's configuration service.

It can be read and watched, counts every call and refuses past its rate.  The control endpoints
publish values and make the service slow, stale or unavailable; only tests and tools use them.
"""

import asyncio
import time
from collections import Counter, deque

import attrs
import msgspec
from aiohttp import web

from ibisrack.settings.standins import StandinPlatformSettings

MAX_WAIT_S = 60.0


@attrs.define
class Value:
    """A published value; watchers wait on ``changed``."""

    revision: int = 0
    content: bytes = b""
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.frozen
class Faults:
    """Misbehaviour that can be switched on.

    Attributes:
      delay_ms: Added to each answer.
      unavailable: Every read is answered with 503.
      stale: Reads are answered from the values as they were when this was switched on.
    """

    delay_ms: float = 0.0
    unavailable: bool = False
    stale: bool = False


@attrs.define
class StandinPlatform:
    """State and handlers of the stand-in."""

    settings: StandinPlatformSettings
    values: dict[str, Value] = attrs.field(factory=dict)
    frozen: dict[str, Value] = attrs.field(factory=dict)
    faults: Faults = Faults()
    counts: Counter = attrs.field(factory=Counter)
    _recent: deque[float] = attrs.field(factory=deque)

    def application(self) -> web.Application:
        """Returns the routes of the stand-in."""
        app = web.Application(client_max_size=2_000_000)
        app.router.add_get("/v1/config/{name}", self.read)
        app.router.add_put("/control/values/{name}", self.publish)
        app.router.add_put("/control/faults", self.set_faults)
        app.router.add_get("/control/stats", self.stats)
        return app

    async def read(self, request: web.Request) -> web.Response:
        """Answers a read or a watch."""
        if not self._admit():
            return web.Response(status=429)
        await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.unavailable:
            return web.Response(status=503)
        after = int(request.query.get("after_revision", "0"))
        wait_s = min(float(request.query.get("wait_s", "0")), MAX_WAIT_S)
        value = await self._wait(request.match_info["name"], after, wait_s)
        if self.faults.unavailable:
            return web.Response(status=503)
        if value.revision in (0, after):
            return web.Response(status=304)
        return web.Response(body=value.content, headers={"X-Revision": str(value.revision)})

    async def publish(self, request: web.Request) -> web.Response:
        """Publishes a value; the query may set its revision."""
        value = self.values.setdefault(request.match_info["name"], Value())
        value.content = await request.read()
        value.revision = int(request.query.get("revision", value.revision + 1))
        value.changed.set()
        value.changed = asyncio.Event()
        return web.json_response({"revision": value.revision})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the faults."""
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        if self.faults.stale:
            self.frozen = {n: Value(v.revision, v.content) for n, v in self.values.items()}
        return web.Response(body=msgspec.json.encode(self.faults))

    async def stats(self, request: web.Request) -> web.Response:
        """Answers with the counts of calls."""
        return web.json_response(dict(self.counts))

    async def _wait(self, name: str, after: int, wait_s: float) -> Value:
        values = self.frozen if self.faults.stale else self.values
        value = values.setdefault(name, Value())
        if value.revision in (0, after):
            try:
                await asyncio.wait_for(value.changed.wait(), wait_s)
            except TimeoutError:
                pass
        return value

    def _admit(self) -> bool:
        """Counts a call and tells whether it is within the rate of the last second."""
        now_s = time.monotonic()
        while self._recent and self._recent[0] <= now_s - 1.0:
            self._recent.popleft()
        self.counts["calls"] += 1
        self.counts["peak_calls_s"] = max(self.counts["peak_calls_s"], len(self._recent) + 1)
        if len(self._recent) >= self.settings.reads_per_s:
            self.counts["refused"] += 1
            return False
        self._recent.append(now_s)
        return True


async def run_platform(settings: StandinPlatformSettings) -> None:
    """Runs the stand-in until cancelled."""
    runner = web.AppRunner(StandinPlatform(settings).application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, settings.host, settings.port, backlog=1024).start()
    await asyncio.Event().wait()
