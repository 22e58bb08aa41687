"""Tests of odd entries of the registry: each costs itself alone, whatever it does to a decoder."""

import asyncio
from random import Random

import attrs

from ibisrack.dispatch.choice import InstanceViews, choose_instance
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.metrics.tally import Tally
from ibisrack.platform import entries as platform_entries
from ibisrack.registry.deltas import pack_changes
from ibisrack.registry.follower import RegistryFollower
from ibisrack.registry.messages import NO_REVISION, Changes, Entry, Listing, Revision
from ibisrack.registry.view import RegistryView
from ibisrack.routing.holder import ConfigurationHolder
from ibisrack.sidecar.content import RegistryContent
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    STANDARD_ROUTES,
    configuration_entry,
    instance,
    instance_entry,
)

GUARD_S = 5.0
DEPTH = 5000  # Beyond the recursion limit of the interpreter.
NESTED = b"[" * DEPTH + b"]" * DEPTH
NESTED_FIELD = b'{"address":' + NESTED + b"}"
CONFIGURATION = configuration_entry(12, *STANDARD_ROUTES)


class OneListing:
    """A registry with one listing, after which nothing changes."""

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        self.is_applied = asyncio.Event()

    async def list_all(self) -> Listing:
        return self.listing

    async def changes(self, after: Revision, wait_s: float, max_bytes: int) -> Changes:
        self.is_applied.set()
        return await asyncio.Event().wait()


@attrs.define(eq=False)
class Reader:
    """A follower of a registry, with what its node knows."""

    follower: RegistryFollower
    content: RegistryContent

    @property
    def instance_ids(self) -> set[str]:
        return {listed.instance_id for listed in self.content.directory.all()}

    @property
    def version(self) -> int:
        return self.content.configurations.version


def reader_of(registry: OneListing | None) -> Reader:
    content = RegistryContent(
        platform_entries, InstanceDirectory(), ConfigurationHolder(), InstanceViews()
    )
    follower = RegistryFollower(
        registry,
        RegistryView(),
        Random(1),
        Tally(),
        on_entries=content.apply,
        on_restore=content.apply_restored,
        on_state=lambda answering: None,
    )
    return Reader(follower, content)


def listing_of(contents: dict[str, bytes]) -> Listing:
    revisions = enumerate(contents.items(), 1)
    listed = tuple(Entry(key, content, Revision(1, n)) for n, (key, content) in revisions)
    return Listing(Revision(1, len(listed)), listed)


async def read(contents: dict[str, bytes]) -> Reader:
    """Returns a reader that has followed a registry with these entries; its task must not end."""
    registry = OneListing(listing_of(contents))
    reader = reader_of(registry)
    reader.follower.set_delivered_by_peers(False)
    task = asyncio.create_task(reader.follower.follow())
    applied = asyncio.create_task(registry.is_applied.wait())
    await asyncio.wait((task, applied), timeout=GUARD_S, return_when=asyncio.FIRST_COMPLETED)
    if task.done():
        task.result()
    assert applied.done()
    task.cancel()
    return reader


def read_from_peer(contents: dict[str, bytes]) -> Reader:
    """Returns a reader that got these entries in a peer's delta."""
    peer, reader = RegistryView(), reader_of(None)
    peer.replace(listing_of(contents))
    reader.follower.apply_peer_delta(pack_changes(peer, NO_REVISION))
    return reader


def beside(odd: dict[str, bytes]) -> dict[str, bytes]:
    """Returns odd entries, with a configuration and an instance before and after them."""
    first, last = instance("i-1"), instance("i-9", host="10.0.0.9")
    return {
        "servers/i-1": instance_entry(first),
        **odd,
        "op/config": odd.get("op/config", CONFIGURATION),
        "servers/i-9": instance_entry(last),
    }


async def test_deeply_nested_instance_costs_itself_alone():
    """Guards against a nested entry that ends the follower and all entries after it."""
    for nested in (NESTED, NESTED_FIELD):
        contents = beside({"servers/i-2": nested})
        for reader in (await read(contents), read_from_peer(contents)):
            assert reader.instance_ids == {"i-1", "i-9"}
            assert reader.version == 12


async def test_deeply_nested_configuration_costs_itself_alone():
    """Guards against a nested configuration that ends the follower and all entries after it."""
    for nested in (NESTED, b'{"version":"0000000c","resources":' + NESTED + b"}"):
        contents = beside({"op/config": nested})
        for reader in (await read(contents), read_from_peer(contents)):
            assert reader.instance_ids == {"i-1", "i-9"}
            assert reader.version == 0


async def test_instance_can_be_chosen_beside_one_with_too_many_slots():
    """Guards against an entry whose slots fail every request of the service."""
    odd = instance_entry(instance("i-2", slots=10**400))
    reader = await read(beside({"servers/i-2": odd}))
    content = reader.content
    for _ in range(20):
        chosen = choose_instance(
            content.directory.of_service("desk"), content.views, "a", 0.1, Random(1), 0.0
        )
        assert chosen.instance_id in ("i-1", "i-9")


load_tests = function_tests(__name__)
