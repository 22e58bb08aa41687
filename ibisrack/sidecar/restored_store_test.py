"""Tests of a small fleet whose registry comes back from an earlier copy of itself."""

import asyncio

from ibisrack.instances.directory import RECOVERY_GRACE_S
from ibisrack.instances.model import InstanceState
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    STANDARD_ROUTES,
    SidecarFleet,
    configuration_entry,
    route_resource,
    run_sidecars,
    wait_until,
)

# Calls of one node in the second after a restore: a listing and some watches and retries.
MAX_CALLS_PER_NODE = 8


def publish(fleet: SidecarFleet, version: int) -> None:
    """Writes a configuration with a route of its own."""
    added = (*STANDARD_ROUTES, route_resource(prefix=f"/{version}/"))
    fleet.store.put("op/config", configuration_entry(version, *added))


async def wait_for_version(fleet: SidecarFleet, version: int) -> None:
    """Waits until a configuration is in force on every node."""
    await wait_until(lambda: all(n.configurations.version == version for n in fleet.nodes))


async def test_change_after_a_restore_is_in_force_on_every_node():
    """Guards against a confirmed change that is ignored since its revision was given out before."""
    async with run_sidecars(3) as fleet:
        copy = fleet.store.copy()
        for version in (5, 6, 7):
            publish(fleet, version)
        await wait_for_version(fleet, 7)
        fleet.store.restore(copy)
        publish(fleet, 8)
        await wait_for_version(fleet, 8)
        for number in range(3):
            answer, _ = await fleet.send_request(number, "/8/1", request_id=f"q-{number}")
            assert answer.status == 200


async def test_restore_takes_few_calls():
    """Guards against a loop of listings and watches until the old revisions are reached again."""
    async with run_sidecars(3) as fleet:
        copy = fleet.store.copy()
        publish(fleet, 5)
        await wait_for_version(fleet, 5)
        fleet.store.restore(copy)
        before = fleet.store.calls
        await asyncio.sleep(1.0)
        assert fleet.store.calls - before <= 3 * MAX_CALLS_PER_NODE


async def test_restored_content_undoes_nothing():
    """Guards against an older configuration, or an instance that has left, from the copy."""
    async with run_sidecars(3) as fleet:
        copy = fleet.store.copy()
        publish(fleet, 5)
        fleet.register_instance(0, state=InstanceState.DRAINING, sequence=3)
        fleet.store.delete("servers/i-1")
        await wait_for_version(fleet, 5)
        await wait_until(lambda: all(n.directory.get("i-1") is None for n in fleet.nodes))
        fleet.store.restore(copy)
        await wait_until(lambda: all(n.view.revision.era == 2 for n in fleet.nodes))
        await asyncio.sleep(0.3)
        for node in fleet.nodes:
            assert node.configurations.version == 5
            assert not node.directory.get("i-0").ready
            assert node.directory.get("i-1") is None


async def test_route_that_the_copy_lacks_is_not_denied_by_a_node_that_starts_after_the_restore():
    """Guards against a final 404 at a new node for a route that the other nodes serve."""
    async with run_sidecars(3) as fleet:
        copy = fleet.store.copy()
        publish(fleet, 5)
        await wait_for_version(fleet, 5)
        fleet.store.restore(copy)
        await fleet.restart_sidecar(0)
        await wait_until(lambda: fleet.nodes[0].lacks_later_configuration())
        assert fleet.nodes[0].configurations.version == 1
        assert (await fleet.send_request(0, "/5/1"))[0].status == 503
        assert (await fleet.send_request(1, "/5/1", "q-2"))[0].status == 200
        publish(fleet, 6)
        await wait_for_version(fleet, 6)
        assert (await fleet.send_request(0, "/5/1", "q-3"))[0].status == 404


async def test_instance_that_the_copy_lacks_is_kept_until_it_could_write_again():
    """Guards against taking a healthy instance out because its entry was lost with the store."""
    async with run_sidecars(3) as fleet:
        fleet.store.delete("servers/i-1")
        fleet.store.delete("servers/i-2")
        copy = fleet.store.copy()
        fleet.register_instance(1, sequence=2)
        fleet.register_instance(2, sequence=2)
        for node in fleet.nodes:
            await wait_until(lambda node=node: len(node.directory.all()) == 3)
        fleet.store.restore(copy)
        await wait_until(lambda: all(n.view.revision.era == 2 for n in fleet.nodes))
        assert all(len(node.directory.all()) == 3 for node in fleet.nodes)
        fleet.register_instance(1, sequence=3)
        await asyncio.sleep(RECOVERY_GRACE_S)
        await wait_until(lambda: all(n.directory.get("i-2") is None for n in fleet.nodes))
        assert all(node.directory.get("i-1") is not None for node in fleet.nodes)


load_tests = function_tests(__name__)
