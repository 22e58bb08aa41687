"""Tests of sidecars that follow the registry through peers of their zone."""

import asyncio
from contextlib import contextmanager
from unittest.mock import patch

from ibisrack.links.messages import Entries
from ibisrack.registry.messages import NO_REVISION, Revision
from ibisrack.registry.sources import READERS
from ibisrack.sidecar.node import SidecarNode
from ibisrack.sidecar.registry_peers import RegistryPeers
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    STANDARD_ROUTES,
    SidecarFleet,
    configuration_entry,
    route_resource,
    run_sidecars,
    wait_until,
)

LARGE_CONFIGURATION_ROUTES = 1000
ROUTES_ABOVE_ONE_MEBIBYTE = 4500
MEBIBYTE = 1024 * 1024
SIDECARS = 5


def large_configuration(version: int, routes: int = LARGE_CONFIGURATION_ROUTES) -> bytes:
    """Returns a configuration of many routes that differs in one route by version."""
    unused = (route_resource(prefix=f"/unused-{n}/") for n in range(routes))
    changed = route_resource(prefix=f"/changed-{version}/")
    return configuration_entry(version, *STANDARD_ROUTES, changed, *unused)


def followers(fleet: SidecarFleet) -> list[SidecarNode]:
    """Returns the nodes that follow the registry through peers."""
    return [node for node in fleet.nodes if not node.registry_peers.sources.reads]


async def wait_until_in_force(fleet: SidecarFleet, version: int) -> None:
    await wait_until(lambda: all(n.configurations.version == version for n in fleet.nodes))


async def wait_until_followed(fleet: SidecarFleet) -> None:
    await wait_until(lambda: len(followers(fleet)) == SIDECARS - READERS)


async def test_a_version_is_read_by_few_nodes():
    """Guards against a fleet that fills its links by reading each version at every node."""
    async with run_sidecars(SIDECARS) as fleet:
        fleet.store.put("op/config", large_configuration(2))
        await wait_until_in_force(fleet, 2)
        await wait_until_followed(fleet)
        # A follower's last call for changes is still waiting.
        await asyncio.sleep(1.2)
        sent_before = fleet.store.sent_bytes
        content = large_configuration(3)
        fleet.store.put("op/config", content)
        await wait_until_in_force(fleet, 3)
        read_by = (fleet.store.sent_bytes - sent_before) / len(content)
        assert read_by < READERS * 4 / 3 + 0.5, read_by


async def test_a_configuration_above_one_mebibyte_reaches_followers():
    """Guards against followers that refuse what their readers took from the registry."""
    async with run_sidecars(SIDECARS) as fleet:
        fleet.store.put("op/config", large_configuration(2))
        await wait_until_in_force(fleet, 2)
        await wait_until_followed(fleet)
        content = large_configuration(3, ROUTES_ABOVE_ONE_MEBIBYTE)
        assert len(content) > MEBIBYTE
        fleet.store.put("op/config", content)
        await wait_until_in_force(fleet, 3)
        links = [link for node in fleet.nodes for link in node.outgoing_links.values()]
        assert not any(link.losses for link in links)
        assert len(followers(fleet)) == SIDECARS - READERS


async def test_stop_of_a_reader_does_not_make_all_others_read():
    """Guards against a zone that fills its links whenever one of its readers stops."""
    async with run_sidecars(SIDECARS) as fleet:
        fleet.store.put("op/config", large_configuration(2))
        await wait_until_in_force(fleet, 2)
        await wait_until_followed(fleet)
        await asyncio.sleep(1.2)  # A follower's last call for changes is still waiting.
        reader = next(n for n, node in enumerate(fleet.nodes) if node.registry_peers.sources.reads)
        await fleet.stop_sidecar(reader)
        sent_before = fleet.store.sent_bytes
        content = large_configuration(3)
        fleet.store.put("op/config", content)
        left = [node for n, node in enumerate(fleet.nodes) if n != reader]
        await wait_until(lambda: all(n.configurations.version == 3 for n in left))
        read_by = (fleet.store.sent_bytes - sent_before) / len(content)
        assert read_by < READERS * 4 / 3 + 0.5, read_by


async def test_followers_take_over_when_their_peers_lose_the_registry():
    """Guards against nodes that keep an old configuration because they rely on cut-off peers."""
    async with run_sidecars(SIDECARS) as fleet:
        await wait_until_followed(fleet)
        for node in fleet.nodes:
            if node.registry_peers.sources.reads:
                node.follower.registry._base = "http://127.0.0.99:1"
        fleet.store.put("op/config", configuration_entry(5, *STANDARD_ROUTES))
        await wait_until_in_force(fleet, 5)


async def test_followers_take_over_when_their_peers_are_lost():
    """Guards against nodes that wait for changes from peers that have stopped."""
    async with run_sidecars(SIDECARS) as fleet:
        await wait_until_followed(fleet)
        left = followers(fleet)
        for number, node in enumerate(fleet.nodes):
            if node.registry_peers.sources.reads:
                await fleet.stop_sidecar(number)
        fleet.store.put("op/config", configuration_entry(5, *STANDARD_ROUTES))
        await wait_until(lambda: all(n.configurations.version == 5 for n in left))


@contextmanager
def spoiled_changes(base: Revision):
    """Yields a list; the peers added to it send changes whose content can't be unpacked.

    Args:
      base: Revision that the changes name as the base of their compression.
    """
    spoiling, entries_after = [], RegistryPeers.entries_after

    def spoiled_entries_after(peers: RegistryPeers, revision: Revision) -> Entries | None:
        entries = entries_after(peers, revision)
        if entries is None or peers not in spoiling:
            return entries
        junk = ("op/config", Revision(99, 1), base, b"junk")
        return Entries(entries.revision, entries.keys, (junk,))

    with patch.object(RegistryPeers, "entries_after", spoiled_entries_after):
        yield spoiling


async def check_spoiled_changes(base: Revision) -> None:
    with spoiled_changes(base) as spoiling:
        async with run_sidecars(SIDECARS) as fleet:
            await wait_until_followed(fleet)
            await asyncio.sleep(1.2)  # A follower's last call for changes is still waiting.
            spoiling += [
                node.registry_peers for node in fleet.nodes if node.registry_peers.sources.reads
            ]
            left = followers(fleet)
            fleet.store.put("op/config", configuration_entry(5, *STANDARD_ROUTES))
            await wait_until_in_force(fleet, 5)
            assert not any(link.losses for n in fleet.nodes for link in n.outgoing_links.values())
            refused = [node.tally.refused_deltas for node in left]
            assert all(0 < count <= len(spoiling) for count in refused), refused


async def test_unusable_changes_of_a_peer_neither_break_links_nor_hold_the_node_back():
    """Guards against a link that breaks forever, and a node that waits for a peer's junk."""
    await check_spoiled_changes(NO_REVISION)


async def test_changes_that_never_fit_do_not_hold_the_node_back():
    """Guards against a loop of requests to a peer whose whole content does not fit either."""
    await check_spoiled_changes(Revision(98, 1))


async def test_instance_changes_reach_followers():
    """Guards against followers that send work to an instance that has left."""
    async with run_sidecars(SIDECARS) as fleet:
        await wait_until_followed(fleet)
        fleet.store.delete("servers/i-4")
        await wait_until(lambda: all(n.directory.get("i-4") is None for n in fleet.nodes))


load_tests = function_tests(__name__)
