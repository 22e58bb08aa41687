"""Client of the platform's metadata store: the registry of the fleet, read over HTTP."""

import base64
import binascii
import socket
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from ibisrack.errors import HistoryGoneError, PlatformError, PlatformTimeoutError
from ibisrack.links.frames import enable_dead_peer_detection
from ibisrack.registry.messages import Changes, Entry, Listing

ANSWER_S = 1.5  # Time for an answer beyond the waiting time that was asked for.
GONE = 410

_RANGE = "/-/kv-range"
_WATCH = "/-/kv-watch"


def open_session() -> ClientSession:
    """Returns an HTTP session whose connections notice a silent store."""

    def connected(address: Any) -> socket.socket:
        family, kind, protocol, _, _ = address
        connection = socket.socket(family=family, type=kind, proto=protocol)
        enable_dead_peer_detection(connection)
        return connection

    return ClientSession(connector=TCPConnector(socket_factory=connected))


class StoreClient:
    """Reads the store.

    The store counts a listing's pages and each watch as calls, and all of them are priced.
    """

    def __init__(self, session: ClientSession, host: str, port: int) -> None:
        self._session = session
        self._base = f"http://{host}:{port}"

    async def list_all(self) -> Listing:
        """Reads all pages; see Registry."""
        entries: list[Entry] = []
        revision, after = 0, ""
        while True:
            query = {"prefix": "", "after": after} if after else {"prefix": ""}
            page = await self._get(_RANGE, query, ANSWER_S)
            # Pages are not a snapshot: changes have to be followed from before the first.
            revision = revision or _number(page, "current_rev")
            items = [_entry(item) for item in _items(page, "items")]
            entries += items
            if not page.get("has_more") or not items:
                return Listing(revision, tuple(entries))
            after = items[-1].key

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Waits for events; see Registry."""
        query = {"prefix": "", "after": str(after), "wait_ms": str(max(1, int(wait_s * 1000)))}
        answer = await self._get(_WATCH, query, wait_s + ANSWER_S)
        events = tuple(_entry(item) for item in _items(answer, "events"))
        return Changes(_number(answer, "current_rev"), events)

    async def _get(self, path: str, query: dict[str, str], timeout_s: float) -> dict[str, Any]:
        timeout = ClientTimeout(total=timeout_s, sock_connect=ANSWER_S)
        try:
            url = self._base + path
            async with self._session.get(url, params=query, timeout=timeout) as answer:
                if answer.status == GONE:
                    raise HistoryGoneError(f"{path}: the history is gone")
                if answer.status != 200:
                    raise PlatformError(f"{path}: status {answer.status}")
                body = await answer.read()
        except TimeoutError as error:
            raise PlatformTimeoutError(f"{path}: no answer within {timeout_s:.1f} s") from error
        except (ClientError, OSError) as error:
            raise PlatformError(f"{path}: {type(error).__name__} {error}") from error
        try:
            decoded = msgspec.json.decode(body, type=dict[str, Any])
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise PlatformError(f"{path}: {error}") from error
        return decoded


def _items(body: dict[str, Any], name: str) -> list[Any]:
    items = body.get(name)
    if not isinstance(items, list):
        raise PlatformError(f"the answer lacks the list '{name}'")
    return items


def _number(body: dict[str, Any], name: str) -> int:
    number = body.get(name)
    if type(number) is not int or number < 0:
        raise PlatformError(f"'{name}' is not a revision")
    return number


def _entry(item: Any) -> Entry:
    """Decodes an item or an event; a value that is not base64 text is kept as an empty one."""
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise PlatformError("an item has no key")
    revision = _number(item, "revision")
    if item.get("deleted"):
        return Entry(item["key"], None, revision)
    try:
        content = base64.b64decode(str(item.get("value", "")), validate=True)
    except (binascii.Error, ValueError):
        content = b""
    return Entry(item["key"], content, revision)
