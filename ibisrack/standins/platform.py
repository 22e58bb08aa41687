"""Stand-in for the platform's configuration service.

It serves reads and watches, counts every call and returns 429 above its rate limit.  The control
endpoints publish values and make the service slow, stale or unavailable; only tests and tools use
them.
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
    """A published value.

    Attributes:
      revision: Revision of the value, 0 before it is first published.
      content: Content in bytes.
      changed: Set at the next change, which replaces it by a new event.
    """

    revision: int = 0
    content: bytes = b""
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.frozen
class Faults:
    """Injected faults.

    Attributes:
      delay_ms: Delay of each response, in milliseconds.
      unavailable: Whether every read returns 503.
      stale: Whether reads return the values from the time when this was set.
    """

    delay_ms: float = 0.0
    unavailable: bool = False
    stale: bool = False


@attrs.define
class StandinPlatform:
    """State and handlers of the stand-in.

    Attributes:
      settings: Address and rate limit.
      values: Published values by name.
      stale_values: Copy of the values that is served while ``faults.stale`` is set.
      faults: Injected faults.
      counts: Calls, refused calls, and the peak rate in calls per second.
    """

    settings: StandinPlatformSettings
    values: dict[str, Value] = attrs.field(factory=dict)
    stale_values: dict[str, Value] = attrs.field(factory=dict)
    faults: Faults = Faults()
    counts: Counter = attrs.field(factory=Counter)
    _recent_calls_s: deque[float] = attrs.field(factory=deque)

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=2_000_000)
        app.router.add_get("/v1/config/{name}", self.read)
        app.router.add_put("/control/values/{name}", self.publish)
        app.router.add_put("/control/faults", self.set_faults)
        app.router.add_get("/control/stats", self.stats)
        return app

    async def read(self, request: web.Request) -> web.Response:
        """Serves a read or a watch."""
        if not self._admit():
            return web.Response(status=429)
        await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.unavailable:
            return web.Response(status=503)
        after = int(request.query.get("after_revision", "0"))
        wait_s = min(float(request.query.get("wait_s", "0")), MAX_WAIT_S)
        value = await self._wait_for_change(request.match_info["name"], after, wait_s)
        if self.faults.unavailable:
            return web.Response(status=503)
        if value.revision in (0, after):
            return web.Response(status=304)
        return web.Response(body=value.content, headers={"X-Revision": str(value.revision)})

    async def publish(self, request: web.Request) -> web.Response:
        """Publishes a value; the query can set its revision."""
        value = self.values.setdefault(request.match_info["name"], Value())
        value.content = await request.read()
        value.revision = int(request.query.get("revision", value.revision + 1))
        value.changed.set()
        value.changed = asyncio.Event()
        return web.json_response({"revision": value.revision})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the injected faults."""
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        if self.faults.stale:
            self.stale_values = {n: Value(v.revision, v.content) for n, v in self.values.items()}
        return web.Response(body=msgspec.json.encode(self.faults))

    async def stats(self, request: web.Request) -> web.Response:
        """Returns the counts as JSON."""
        return web.json_response(dict(self.counts))

    async def _wait_for_change(self, name: str, after: int, wait_s: float) -> Value:
        values = self.stale_values if self.faults.stale else self.values
        value = values.setdefault(name, Value())
        if value.revision in (0, after):
            try:
                await asyncio.wait_for(value.changed.wait(), wait_s)
            except TimeoutError:
                pass
        return value

    def _admit(self) -> bool:
        """Counts a call and returns whether it is within the rate limit over the last second."""
        now_s = time.monotonic()
        while self._recent_calls_s and self._recent_calls_s[0] <= now_s - 1.0:
            self._recent_calls_s.popleft()
        self.counts["calls"] += 1
        self.counts["peak_calls_s"] = max(
            self.counts["peak_calls_s"], len(self._recent_calls_s) + 1
        )
        if len(self._recent_calls_s) >= self.settings.reads_per_s:
            self.counts["refused"] += 1
            return False
        self._recent_calls_s.append(now_s)
        return True


async def run_platform(settings: StandinPlatformSettings) -> None:
    """Serves the stand-in until cancelled."""
    runner = web.AppRunner(StandinPlatform(settings).application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, settings.host, settings.port, backlog=1024).start()
    await asyncio.Event().wait()
