"""Stand-in for the platform's metadata store: paged listings, watches and injected failures.

It implements the part of the store's published protocol that nodes use, and is for development and
tests only.
"""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
from aiohttp import web

ERA_HEADER = "Store-Era"
PAGE_ITEMS = 50


@attrs.frozen
class StoreCopy:
    """Content of a store at a revision.

    Attributes:
      revision: The revision.
      items: Value and revision of each item by its key.
    """

    revision: int
    items: dict[str, tuple[bytes, int]]


@attrs.frozen
class _Event:
    """A change of an item.

    Attributes:
      key: Key of the item.
      revision: Revision of the change.
      encoded: The change as JSON, encoded once for all watches.
    """

    key: str
    revision: int
    encoded: bytes


@attrs.define(eq=False)
class StandInStore:
    """Items with a history of their changes.

    Attributes:
      revision: Revision of the last change.
      era: Number of restores from a copy.
      error_status: HTTP status of every response, 0 for normal operation.
      silent: Whether requests get no response.
      cut_after_s: Time after which a watch that waits is cut, None for never.
      truncated_pages: Number of listing pages still to be cut off in the middle.
      calls: Number of requests so far.
      sent_bytes: Size of all listings and changes sent so far.
    """

    revision: int = 1
    era: int = 1
    error_status: int = 0
    silent: bool = False
    cut_after_s: float | None = None
    truncated_pages: int = 0
    calls: int = 0
    sent_bytes: int = 0
    _items: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)
    _events: list[_Event] = attrs.field(factory=list)
    _first_kept_revision: int = 1
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, key: str, value: bytes) -> None:
        """Writes an item."""
        self.revision += 1
        self._items[key] = (value, self.revision)
        self._append_event(_Event(key, self.revision, _item(key, value, self.revision)))

    def delete(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self._items.pop(key, None)
        body = {"key": key, "revision": self.revision, "deleted": True}
        self._append_event(_Event(key, self.revision, json.dumps(body).encode()))

    def drop_history(self) -> None:
        """Drops all past events; watches from an earlier revision get status 410."""
        self._events.clear()
        self._first_kept_revision = self.revision + 1

    def copy(self) -> "StoreCopy":
        """Returns a copy of the content, from which the store can be restored."""
        return StoreCopy(self.revision, dict(self._items))

    def restore(self, copy: "StoreCopy") -> None:
        """Goes back to a copy: what was written since is lost, and its revisions are reused."""
        self.era += 1
        self.revision, self._items = copy.revision, dict(copy.items)
        self.drop_history()
        self._changed.set()
        self._changed = asyncio.Event()

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        application.router.add_get("/-/kv-key", self._key)
        application.router.add_get("/-/kv-range", self._range)
        application.router.add_get("/-/kv-watch", self._watch)
        return application

    def _append_event(self, event: _Event) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _injected_failure(self) -> web.Response | None:
        self.calls += 1
        if self.silent:
            await asyncio.Event().wait()
        return web.Response(status=self.error_status) if self.error_status else None

    async def _key(self, request: web.Request) -> web.Response:
        if failure := await self._injected_failure():
            return failure
        key = request.query["key"]
        if key not in self._items:
            return web.Response(status=404, headers=self._headers())
        return self._respond(_item(key, *self._items[key]))

    async def _range(self, request: web.Request) -> web.StreamResponse:
        if failure := await self._injected_failure():
            return failure
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [_item(key, *self._items[key]) for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        body = _list_body("items", items, has_more=has_more, current_rev=self.revision)
        if self.truncated_pages:
            self.truncated_pages -= 1
            return await _send_truncated(request, body)
        return self._respond(body)

    async def _watch(self, request: web.Request) -> web.Response:
        if failure := await self._injected_failure():
            return failure
        after, wait_s = int(request.query["after"]), int(request.query["wait_ms"]) / 1000
        era = self.era
        if not self._first_kept_revision - 1 <= after <= self.revision:
            return web.Response(status=410, headers=self._headers())
        events = self._events_after(after, request.query["prefix"])
        if not events:
            is_cut = self.cut_after_s is not None and self.cut_after_s < wait_s
            try:
                async with asyncio.timeout(self.cut_after_s if is_cut else wait_s):
                    await self._changed.wait()
            except TimeoutError:
                if is_cut:
                    request.transport.abort()
                    return web.Response()  # Nobody reads it: the connection is reset.
            if self.era != era:
                return web.Response(status=410, headers=self._headers())
            events = self._events_after(after, request.query["prefix"])
        encoded = [event.encoded for event in events]
        return self._respond(_list_body("events", encoded, current_rev=self.revision))

    def _respond(self, body: bytes) -> web.Response:
        self.sent_bytes += len(body)
        headers = self._headers()
        return web.Response(body=body, headers=headers, content_type="application/json")

    def _headers(self) -> dict[str, str]:
        return {ERA_HEADER: str(self.era)}

    def _events_after(self, after: int, prefix: str) -> list[_Event]:
        return [e for e in self._events if e.revision > after and e.key.startswith(prefix)]


async def _send_truncated(request: web.Request, body: bytes) -> web.StreamResponse:
    """Sends half of a body and closes the connection."""
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    request.transport.close()
    return response


def _item(key: str, value: bytes, revision: int) -> bytes:
    encoded = base64.b64encode(value).decode()
    body = {"key": key, "value": encoded, "revision": revision, "created": revision, "lease": 0}
    return json.dumps(body).encode()


def _list_body(name: str, encoded: list[bytes], **fields: int | bool) -> bytes:
    """Returns a JSON object with a list of encoded values and other fields."""
    rest = json.dumps(fields).encode()[1:]
    return b'{"%s": [%s], %s' % (name.encode(), b", ".join(encoded), rest)


@asynccontextmanager
async def serve_store(host: str, port: int = 0) -> AsyncIterator[tuple[StandInStore, int]]:
    """Serves a store and yields it with its port; port 0 picks a free one."""
    store = StandInStore()
    runner = web.AppRunner(
        store.application(), access_log=None, shutdown_timeout=0.1, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    try:
        yield store, runner.addresses[0][1]
    finally:
        await runner.cleanup()
