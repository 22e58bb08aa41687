"""Tests of removed and of lapsed instances while calls to the registry fail."""

import asyncio

from ibisrack.clocks import read_monotonic_s
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import TIMING, SidecarFleet, run_sidecars, wait_until

ZONES = "ab"  # A reader each.
SIDECARS = 4


async def check_removal(fleet: SidecarFleet, instance_id: str) -> None:
    """Checks that no node uses an instance after the bound from its removal on."""
    fleet.store.delete(f"servers/{instance_id}")
    removed_at_s = read_monotonic_s()
    await wait_until(lambda: all(n.directory.get(instance_id) is None for n in fleet.nodes))
    took_s = read_monotonic_s() - removed_at_s
    assert took_s < TIMING.apply_s, f"the instance was used for {took_s:.2f} s after its removal"


async def test_a_removed_instance_is_not_used_while_watches_are_cut():
    """Guards against cut watches that count as an outage in which entries lapse."""
    for cut_after_s in (0.05, 0.5, 0.9):
        async with run_sidecars(SIDECARS, zones=ZONES) as fleet:
            fleet.store.cut_after_s = cut_after_s
            await asyncio.sleep(2.5)
            await check_removal(fleet, "i-3")


async def test_a_removed_instance_is_not_used_after_a_short_spell_of_cut_watches():
    """Guards against a grace period that outlasts the failed calls it began with."""
    async with run_sidecars(SIDECARS, zones=ZONES) as fleet:
        fleet.store.cut_after_s = 0.05
        await asyncio.sleep(1.1)
        fleet.store.cut_after_s = None
        await asyncio.sleep(0.1)
        await check_removal(fleet, "i-3")


async def test_a_removed_instance_is_not_used_after_calls_were_refused():
    """Guards against refused calls that count as an outage in which entries lapse."""
    async with run_sidecars(SIDECARS, zones=ZONES) as fleet:
        fleet.store.error_status = 503
        await asyncio.sleep(0.5)
        fleet.store.error_status = 0
        await wait_until(lambda: not any(node.directory.registry_down for node in fleet.nodes))
        await check_removal(fleet, "i-3")


async def test_a_removed_instance_is_not_used_by_a_node_whose_own_calls_fail():
    """Guards against one node that keeps what its peers know to be removed."""
    async with run_sidecars(SIDECARS) as fleet:
        await wait_until(lambda: sum(n.registry_peers.sources.reads for n in fleet.nodes) == 1)
        (reader,) = (node for node in fleet.nodes if node.registry_peers.sources.reads)
        reader.follower.registry._base = "http://127.0.0.99:1"
        await wait_until(lambda: reader.follower.calls.failures > 3)
        await check_removal(fleet, next(n for n in ("i-3", "i-2") if n != own_id(fleet, reader)))


def own_id(fleet: SidecarFleet, node) -> str:
    """Returns the id of the instance beside a node."""
    return fleet.instances[fleet.nodes.index(node)].instance_id


async def check_lapse(fleet: SidecarFleet, end_outage) -> None:
    """Checks that all nodes keep instances whose entries lapsed, until they are listed again."""
    await asyncio.sleep(TIMING.lapse_s + 2 * TIMING.answer_age_s)
    for number in range(SIDECARS):
        fleet.store.delete(f"servers/i-{number}")
    end_outage()
    await wait_until(lambda: not any(node.directory.registry_down for node in fleet.nodes))
    await wait_until(lambda: all(not len(node.view.entries) > 1 for node in fleet.nodes))
    assert all(len(node.directory.all()) == SIDECARS for node in fleet.nodes)
    for number in range(SIDECARS):
        fleet.register_instance(number, sequence=9)
    await wait_until(lambda: all(len(node.view.entries) > SIDECARS for node in fleet.nodes))
    await asyncio.sleep(1.0)
    assert all(len(node.directory.all()) == SIDECARS for node in fleet.nodes)


async def test_entries_that_lapse_while_the_registry_refuses_calls_are_kept():
    """Guards against dropping all instances because of an outage of the registry."""
    async with run_sidecars(SIDECARS, zones=ZONES) as fleet:
        fleet.store.error_status = 503
        await check_lapse(fleet, lambda: setattr(fleet.store, "error_status", 0))


async def test_entries_that_lapse_while_the_registry_is_silent_are_kept():
    """Guards against nodes that notice an outage late and take a lapse for a removal."""
    async with run_sidecars(SIDECARS, zones=ZONES) as fleet:
        fleet.store.silent = True
        await check_lapse(fleet, lambda: setattr(fleet.store, "silent", False))


load_tests = function_tests(__name__)
