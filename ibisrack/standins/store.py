"""Stand-in of the platform's metadata store: items, pages, watches, and the ways they fail.

It speaks the published protocol of the store as far as nodes use it, and is meant for development
and tests only.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
from aiohttp import web

PAGE_ITEMS = 50


@attrs.define(eq=False)
class StandInStore:
    """The store.

    Attributes:
      revision: Revision of the last change.
      error_status: Status of every answer, 0 while the store works.
      silent: Whether it does not answer at all.
      truncated_pages: Pages of a listing that break off in the middle before one is whole.
      calls: Calls so far.
    """

    revision: int = 1
    error_status: int = 0
    silent: bool = False
    truncated_pages: int = 0
    calls: int = 0
    _items: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)
    _events: list[dict] = attrs.field(factory=list)
    _first_known: int = 1
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, key: str, value: bytes) -> None:
        """Writes an item."""
        self.revision += 1
        self._items[key] = (value, self.revision)
        self._note(_item(key, value, self.revision))

    def delete(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self._items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "deleted": True})

    def drop_history(self) -> None:
        """Drops the history; watches from before it get 410."""
        self._events.clear()
        self._first_known = self.revision + 1

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        application.router.add_get("/-/kv-range", self._range)
        application.router.add_get("/-/kv-watch", self._watch)
        return application

    def _note(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _fail(self) -> web.Response | None:
        self.calls += 1
        if self.silent:
            await asyncio.Event().wait()
        return web.Response(status=self.error_status) if self.error_status else None

    async def _range(self, request: web.Request) -> web.StreamResponse:
        if failure := await self._fail():
            return failure
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [_item(key, *self._items[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        body = {"items": items, "has_more": more, "current_rev": self.revision}
        if self.truncated_pages:
            self.truncated_pages -= 1
            return await _cut_short(request, web.json_response(body).body)
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        if failure := await self._fail():
            return failure
        after, wait_s = int(request.query["after"]), int(request.query["wait_ms"]) / 1000
        if after < self._first_known - 1:
            return web.Response(status=410)
        events = self._since(after, request.query["prefix"])
        if not events:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
            events = self._since(after, request.query["prefix"])
        return web.json_response({"events": events, "current_rev": self.revision})

    def _since(self, after: int, prefix: str) -> list[dict]:
        return [e for e in self._events if e["revision"] > after and e["key"].startswith(prefix)]


async def _cut_short(request: web.Request, body: bytes) -> web.StreamResponse:
    """Sends half of a body and breaks off."""
    answer = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await answer.prepare(request)
    await answer.write(body[: len(body) // 2])
    request.transport.close()
    return answer


def _item(key: str, value: bytes, revision: int) -> dict:
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "revision": revision, "created": revision, "lease": 0}


@asynccontextmanager
async def serve_store(host: str, port: int = 0) -> AsyncIterator[tuple[StandInStore, int]]:
    """Serves a store on a port; 0 picks a free one."""
    store = StandInStore()
    runner = web.AppRunner(store.application(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    try:
        yield store, runner.addresses[0][1]
    finally:
        await runner.cleanup()
