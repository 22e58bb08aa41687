"""Tests of changes that reach a zone while the node that reads the registry for it is cut off."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

from ibisrack.clocks import read_monotonic_s
from ibisrack.registry.sources import Candidate
from ibisrack.sidecar.node import SidecarNode
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    STANDARD_ROUTES,
    TIMING,
    SidecarFleet,
    configuration_entry,
    route_resource,
    run_sidecars,
    wait_until,
)
from ibisrack.testing.tcp_proxy import TcpProxy, run_proxy

SIDECARS = 5
STORE_HOST = "127.0.0.1"
LARGE_ROUTES = 1500
PIECE_DELAY_S = 0.3


def reading(fleet: SidecarFleet) -> list[SidecarNode]:
    """Returns the nodes that read the registry."""
    return [node for node in fleet.nodes if node.registry_peers.sources.reads]


@asynccontextmanager
async def proxied_fleet() -> AsyncIterator[tuple[SidecarFleet, dict[str, TcpProxy]]]:
    """Yields a fleet of one zone with one reader, and each node's path to the store by node id."""
    async with run_sidecars(SIDECARS) as fleet:
        await wait_until(lambda: len(reading(fleet)) == 1)
        proxies: dict[str, TcpProxy] = {}
        async with AsyncExitStack() as stack:
            for node in fleet.nodes:
                port = node.settings.registry.port
                proxy = await stack.enter_async_context(run_proxy(STORE_HOST, port))
                proxies[node.settings.node_id] = proxy
                node.follower.registry._base = f"http://{STORE_HOST}:{proxy.port}"
            yield fleet, proxies


async def wait_for_begin_of_call(fleet: SidecarFleet) -> None:
    """Waits until a reader has just begun a call for changes over its proxy."""
    calls = fleet.store.calls
    # The first of the next two calls may have begun before the proxy was set.
    await wait_until(lambda: fleet.store.calls >= calls + 2)


def large_routes() -> list[dict]:
    """Returns routes whose configuration takes the registry several pieces to send."""
    return [route_resource(prefix=f"/large-{number}/") for number in range(LARGE_ROUTES)]


def change_everything(fleet: SidecarFleet, *more_routes: dict) -> None:
    """Changes the configuration, removes an instance, drains one and evacuates a zone."""
    fleet.store.put("op/config", configuration_entry(7, *STANDARD_ROUTES, *more_routes))
    fleet.store.delete("servers/i-4")
    fleet.register_instance(3, state="draining", sequence=2)
    fleet.store.put("op/evacuate/z", b"{}")


def has_applied(node: SidecarNode) -> bool:
    """Returns whether a node has all that ``change_everything`` changed."""
    drained = node.directory.get("i-3")
    return (
        node.configurations.version == 7
        and node.directory.get("i-4") is None
        and not drained.ready
        and "z" in node.directory.evacuated_zones
    )


async def check_apply(
    condition: Callable[[SidecarNode], bool], fleet: SidecarFleet, cut: Sequence[SidecarNode] = ()
) -> None:
    """Checks that a condition holds within the bound on the nodes that are not cut off."""
    changed_at_s = read_monotonic_s()
    others = [node for node in fleet.nodes if node not in cut]
    await wait_until(lambda: all(map(condition, others)))
    took_s = read_monotonic_s() - changed_at_s
    assert (
        took_s < TIMING.apply_s
    ), f"the other nodes of the zone had the changes after {took_s:.2f} s"


async def check_others_apply(fleet: SidecarFleet, cut: Sequence[SidecarNode]) -> None:
    """Checks that the nodes that are not cut off apply ``change_everything`` within the bound."""
    await check_apply(has_applied, fleet, cut)


async def test_changes_reach_the_zone_when_its_reader_is_cut_off_silently():
    """Guards against followers that rely on a reader which the registry doesn't reach."""
    async with proxied_fleet() as (fleet, proxies):
        await wait_for_begin_of_call(fleet)
        (reader,) = reading(fleet)
        proxies[reader.settings.node_id].fall_silent()
        change_everything(fleet)
        await check_others_apply(fleet, [reader])


async def test_changes_reach_the_zone_when_the_next_host_is_cut_off_too():
    """Guards against a zone that waits for a second host that the registry doesn't reach either."""
    async with proxied_fleet() as (fleet, proxies):
        await wait_for_begin_of_call(fleet)
        (reader,) = reading(fleet)
        others = [node for node in fleet.nodes if node is not reader]
        own_hosts = {node.settings.instance.host: node for node in others}
        hosts = sorted(own_hosts, key=lambda host: Candidate(host, 1.0, True, False).rank)
        second = own_hosts[hosts[0]]
        for node in (reader, second):
            proxies[node.settings.node_id].fall_silent()
        change_everything(fleet)
        await check_others_apply(fleet, [reader, second])


async def test_changes_reach_the_zone_when_they_reach_its_reader_slowly():
    """Guards against followers that wait for a long transfer on the path of one host."""
    async with proxied_fleet() as (fleet, proxies):
        await wait_for_begin_of_call(fleet)
        (reader,) = reading(fleet)
        proxies[reader.settings.node_id].delay_pieces(PIECE_DELAY_S)
        change_everything(fleet, *large_routes())
        await check_others_apply(fleet, [reader])


async def test_changes_reach_the_zone_when_its_reader_is_cut_off_during_their_transfer():
    """Guards against followers that wait for the rest of an answer which doesn't arrive."""
    async with proxied_fleet() as (fleet, proxies):
        await wait_for_begin_of_call(fleet)
        (reader,) = reading(fleet)
        proxy = proxies[reader.settings.node_id]
        proxy.delay_pieces(PIECE_DELAY_S)
        change_everything(fleet, *large_routes())
        asyncio.get_running_loop().call_later(3 * PIECE_DELAY_S, proxy.fall_silent)
        await check_others_apply(fleet, [reader])


async def test_changes_reach_the_zone_when_its_reader_ends():
    """Guards against followers that rely on a reader whose process is gone."""
    async with proxied_fleet() as (fleet, _):
        await wait_for_begin_of_call(fleet)
        (reader,) = reading(fleet)
        await fleet.stop_sidecar(fleet.nodes.index(reader))
        change_everything(fleet)
        await check_others_apply(fleet, [reader])


async def test_removals_reach_the_zone_when_one_call_is_cut_at_any_moment():
    """Guards against a call that is cut once and delays a change, or makes a removal doubtful."""
    async with proxied_fleet() as (fleet, proxies):
        for number, moment_s in enumerate((0.0, 0.3, 0.6, 0.95)):
            await wait_for_begin_of_call(fleet)
            await asyncio.sleep(moment_s)
            # The node beside a removed instance is no candidate for the others, and reads as well.
            for reader in reading(fleet):
                proxies[reader.settings.node_id].reset()
            removed = fleet.instances[number].instance_id
            fleet.store.delete(f"servers/{removed}")
            await check_apply(lambda node, gone=removed: node.directory.get(gone) is None, fleet)


load_tests = function_tests(__name__)
