"""Tests of the client of the platform's store against the stand-in."""

from contextlib import asynccontextmanager

from ibisrack.errors import BacklogError
from ibisrack.platform.store_client import StoreClient, open_session
from ibisrack.standins.store import serve_store
from ibisrack.testing.functions import function_tests

VERSION_BYTES = 200_000
STORM_VERSIONS = 20


@asynccontextmanager
async def client_of_a_storm():
    """Yields a client and its store after a storm of large versions of one entry."""
    async with serve_store("127.0.0.1") as (store, port), open_session() as session:
        for _ in range(STORM_VERSIONS):
            store.put("op/config", bytes(VERSION_BYTES))
        yield StoreClient(session, "127.0.0.1", port), store


async def test_changes_beyond_the_limit_are_not_transferred():
    """Guards against a slow link that transfers versions that are replaced before they arrive."""
    async with client_of_a_storm() as (client, _):
        try:
            await client.changes(1, 1.0, VERSION_BYTES * 2)
        except BacklogError:
            return
        raise AssertionError("the changes were read")


async def test_a_listing_has_only_the_newest_version():
    """Guards against a node that can't catch up after a storm of large versions."""
    async with client_of_a_storm() as (client, store):
        listing = await client.list_all()
        assert listing.revision == store.revision
        assert [len(entry.content) for entry in listing.entries] == [VERSION_BYTES]


load_tests = function_tests(__name__)
