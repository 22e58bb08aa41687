"""Serves the wall screen: a static page and the view that it polls.

Requests are answered from the poller's memory.  The view is encoded at most once in VIEW_CACHE_S
for all screens together.
"""

import asyncio
from importlib.resources import files

import attrs
import msgspec
from aiohttp import ClientSession, DummyCookieJar, TCPConnector, web

from ibisrack.admin.client import AdminClient
from ibisrack.clocks import read_monotonic_s
from ibisrack.room.poller import Poller
from ibisrack.settings.room import RoomSettings

VIEW_CACHE_S = 0.5
MAX_CONNECTIONS = 16
_CONTENT_TYPES = {"index.html": "text/html", "room.css": "text/css", "room.js": "text/javascript"}
_HEADERS = {
    "Cache-Control": "no-store",
    "Content-Security-Policy": "default-src 'self'",
    "X-Content-Type-Options": "nosniff",
}


@attrs.define
class RoomServer:
    """HTTP server of the wall screens.

    Attributes:
      title: Name of the fleet on the screen.
      poller: Source of the view.
    """

    title: str
    poller: Poller
    _encoded: bytes = b""
    _encoded_at_s: float | None = None

    def application(self) -> web.Application:
        """Returns the application with the routes of the server."""
        app = web.Application(client_max_size=1024)
        app.router.add_get("/", self.page)
        app.router.add_get("/view.json", self.view)
        app.router.add_get("/{name:room\\.(?:css|js)}", self.page)
        return app

    async def page(self, request: web.Request) -> web.Response:
        """Returns one of the static files of the page."""
        name = request.match_info.get("name", "index.html")
        body = files("ibisrack.room").joinpath("page", name).read_bytes()
        return web.Response(
            body=body, content_type=_CONTENT_TYPES[name], charset="utf-8", headers=_HEADERS
        )

    async def view(self, request: web.Request) -> web.Response:
        """Returns the current view as JSON."""
        body = self.encoded_view(read_monotonic_s())
        return web.Response(body=body, content_type="application/json", headers=_HEADERS)

    def encoded_view(self, now_s: float) -> bytes:
        """Returns the view as JSON, encoded again when it is older than VIEW_CACHE_S."""
        if self._encoded_at_s is None or now_s - self._encoded_at_s >= VIEW_CACHE_S:
            data = {"title": self.title, "view": self.poller.view()}
            self._encoded = msgspec.json.encode(data)
            self._encoded_at_s = now_s
        return self._encoded


async def run_room(settings: RoomSettings) -> None:
    """Polls the fleet and serves screens until cancelled."""
    poll = settings.poll
    connector = TCPConnector(limit=MAX_CONNECTIONS)
    async with ClientSession(connector=connector, cookie_jar=DummyCookieJar()) as session:
        poller = Poller(
            AdminClient(session, poll.timeout_s, MAX_CONNECTIONS),
            poll.admin_addresses,
            poll.interval_s,
            poll.stale_s,
        )
        app = RoomServer(settings.title, poller).application()
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, settings.screen.host, settings.screen.port).start()
        try:
            await poller.run()
        except asyncio.CancelledError:
            pass
        finally:
            await runner.cleanup()
