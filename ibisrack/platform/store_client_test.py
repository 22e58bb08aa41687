"""Tests of the client of the platform's store: large answers, and answers without end."""

import asyncio
from contextlib import asynccontextmanager

from ibisrack.errors import BacklogError, HistoryGoneError, PlatformError, PlatformTimeoutError
from ibisrack.platform.store_client import StoreClient, open_session
from ibisrack.registry.messages import MAX_CONTENT_BYTES, NO_REVISION, Revision
from ibisrack.registry.timing import RESPONSE_TIMEOUT_S
from ibisrack.standins.store import serve_store
from ibisrack.testing.data_path import HOST, ScriptedServer, scripted_server
from ibisrack.testing.endless import EndlessBytes, endless_server
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import wait_until

GUARD_S = 10.0
# The largest answer must leave most of a machine of 128 MB to the rest of the process.
MAX_WRITTEN_BYTES = 32 * 1024 * 1024
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = b"2000\r\n" + b" " * 0x2000 + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
VERSION_BYTES = 200_000
STORM_VERSIONS = 20


async def _error(start: bytes, repeated: bytes) -> PlatformError:
    """Returns the error of a listing; checks that the store sees the close of its connection."""
    async with endless_server(EndlessBytes(start, repeated)) as server, open_session() as session:
        client = StoreClient(session, HOST, server.port)
        try:
            async with asyncio.timeout(GUARD_S):
                await client.list_all()
        except PlatformError as error:
            await wait_until(lambda: server.closed_connections == 1)
            assert server.written_bytes < MAX_WRITTEN_BYTES, server.written_bytes
            return error
        raise AssertionError("the endless answer was accepted")


async def test_body_without_end_is_cut_off():
    """Guards against a listing that takes all memory of the machine."""
    for start, repeated in (
        (CHUNKED, LARGE_CHUNK),
        (b"HTTP/1.1 200 OK\r\n\r\n", b" "),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", b" "),
    ):
        assert not isinstance(await _error(start, repeated), PlatformTimeoutError)


async def test_changes_that_do_not_fit_lead_to_a_listing():
    """Guards against a node that asks for the same changes forever after a long outage."""
    endless = EndlessBytes(CHUNKED, LARGE_CHUNK)
    async with endless_server(endless) as server, open_session() as session:
        try:
            async with asyncio.timeout(GUARD_S):
                await StoreClient(session, HOST, server.port).changes(
                    NO_REVISION, 0.5, MAX_WRITTEN_BYTES, RESPONSE_TIMEOUT_S
                )
        except BacklogError:
            await wait_until(lambda: server.closed_connections == 1)
        else:
            raise AssertionError("the endless answer was accepted")


async def test_body_of_a_failure_is_not_read():
    """Guards against an endless body of an answer whose status is enough."""
    head = b"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert "503" in str(await _error(head, LARGE_CHUNK))


async def test_head_without_end_is_cut_off():
    """Guards against a head that is buffered until the timeout."""
    for start, repeated in (
        (b"HTTP/1.1 200 OK\r\nX-A: ", b"a"),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
        (b"", b"\x00\xffnoise"),
    ):
        assert not isinstance(await _error(start, repeated), PlatformTimeoutError)


async def test_interim_answers_without_end_are_cut_off():
    """Guards against a process that does nothing but read answers of status 100."""
    assert not isinstance(await _error(b"", INTERIM), PlatformTimeoutError)


@asynccontextmanager
async def client_of_a_storm():
    """Yields a client and its store after a storm of large versions of one entry."""
    async with serve_store("127.0.0.1") as (store, port), open_session() as session:
        for _ in range(STORM_VERSIONS):
            store.put("op/config", bytes(VERSION_BYTES))
        yield StoreClient(session, "127.0.0.1", port), store


async def test_changes_beyond_the_limit_are_not_transferred():
    """Guards against a slow link that transfers versions that are replaced before they arrive."""
    async with client_of_a_storm() as (client, store):
        try:
            await client.changes(Revision(store.era, 1), 1.0, VERSION_BYTES * 2, RESPONSE_TIMEOUT_S)
        except BacklogError:
            return
        raise AssertionError("the changes were read")


async def test_a_listing_has_only_the_newest_version():
    """Guards against a node that can't catch up after a storm of large versions."""
    async with client_of_a_storm() as (client, store):
        listing = await client.list_all()
        assert listing.revision == Revision(store.era, store.revision)
        assert [len(entry.content) for entry in listing.entries] == [VERSION_BYTES]


async def test_entry_above_the_limit_leaves_the_others_readable():
    """Guards against a listing that is refused as a whole because of one entry."""
    async with serve_store(HOST) as (store, port), open_session() as session:
        store.put("a", b"1")
        store.put("op/config", bytes(MAX_CONTENT_BYTES))
        client = StoreClient(session, HOST, port)
        assert len((await client.list_all()).entries[1].content) == MAX_CONTENT_BYTES
        for excess_bytes in (1, 2, 3):
            store.put("op/config", bytes(MAX_CONTENT_BYTES + excess_bytes))
            listing = await client.list_all()
            assert [entry.content for entry in listing.entries] == [b"1", b""]


async def test_watch_across_a_restore_says_that_the_history_is_gone():
    """Guards against changes of a restored store taken for those after an old revision."""
    async with serve_store(HOST) as (store, port), open_session() as session:
        client = StoreClient(session, HOST, port)
        copy = store.copy()
        store.put("a", b"1")
        known = (await client.list_all()).revision
        store.restore(copy)
        store.put("b", b"1")
        store.put("c", b"1")
        assert known.number < store.revision
        try:
            await client.changes(known, 0.1, VERSION_BYTES, RESPONSE_TIMEOUT_S)
        except HistoryGoneError:
            listing = await client.list_all()
            assert listing.revision == Revision(store.era, store.revision) > known
            return
        raise AssertionError("changes of another era were accepted")


@asynccontextmanager
async def client_of_answer(body: bytes):
    """Yields a client of a store that answers each call with the same body."""

    async def script(scripted: ScriptedServer, reader, writer) -> None:
        while True:
            await scripted.read_request(reader)
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode())
            writer.write(body)

    async with scripted_server(script) as server, open_session() as session:
        yield StoreClient(session, HOST, server.port)


async def _check_refused(body: bytes) -> None:
    """Checks that a listing and a watch that the store answers with this body fail."""
    async with client_of_answer(body) as client:
        watch = client.changes(NO_REVISION, 0.1, MAX_WRITTEN_BYTES, RESPONSE_TIMEOUT_S)
        for call in (client.list_all(), watch):
            try:
                await call
            except PlatformError:
                continue
            raise AssertionError(body[:100])


def _page(item: bytes) -> bytes:
    """Returns an answer that is both a page and a watch, with one item."""
    return b'{"current_rev":2,"items":[' + item + b'],"events":[' + item + b"]}"


async def test_answer_that_can_not_be_decoded_is_a_failed_read():
    """Guards against a store's odd answer that ends the follower instead of one read."""
    for depth in (900, 990, 5000):
        nested = b"[" * depth + b"]" * depth
        await _check_refused(nested)
        await _check_refused(b'{"current_rev":' + nested + b"}")
        await _check_refused(_page(b'{"key":' + nested + b"}"))
        await _check_refused(_page(b'{"key":"a","revision":' + nested + b"}"))


async def test_number_that_links_can_not_hold_is_no_revision():
    """Guards against a revision that no link can send, which ends the task of each link."""
    for revision in (b"9" * 400, b"18446744073709551616", b"9007199254740992", b"-1", b"1.5"):
        await _check_refused(_page(b'{"key":"a","revision":' + revision + b"}"))
        await _check_refused(b'{"current_rev":' + revision + b',"items":[],"events":[]}')


async def test_value_that_is_no_text_is_empty():
    """Guards against an item whose value fails the whole listing, or is read as its text."""
    for value in (b"[" * 900 + b"]" * 900, b"7", b"null", b'"%"', b'"\\u00e9"'):
        page = _page(b'{"key":"a","revision":2,"value":' + value + b"}")
        async with client_of_answer(page) as client:
            listing = await client.list_all()
        assert [entry.content for entry in listing.entries] == [b""], value


load_tests = function_tests(__name__)
