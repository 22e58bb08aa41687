"""Tests of whole sidecars while a zone is evacuated and after it is taken back."""

import asyncio
from unittest.mock import Mock, patch

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.coldness import Doubt
from ibisrack.instances.directory import RECOVERY_GRACE_S
from ibisrack.instances.model import InstanceState
from ibisrack.platform import entries
from ibisrack.sidecar.content import RegistryContent
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    POLL_INTERVAL_S,
    SidecarFleet,
    route_resource,
    run_sidecars,
    wait_until,
)

KEY = "op/evacuate/b"
OTHER_KEY = "op/evacuate/a"
REQUESTS = 12
LONG_ROUTES = (
    route_resource("non_idempotent", prefix="/lodge/", timeout="20s", target_latency="20s"),
)
UNREACHABLE = "http://127.0.0.99:1"  # Nothing listens there.


def knows(*zones: str):
    """Returns a condition on a node: exactly these zones are evacuated."""
    return lambda node: node.directory.evacuated_zones == frozenset(zones)


async def wait_for_all(fleet: SidecarFleet, condition) -> None:
    await wait_until(lambda: all(condition(node) for node in fleet.nodes))


async def evacuate(fleet: SidecarFleet) -> None:
    """Evacuates zone b and waits until all nodes know it."""
    fleet.store.put(KEY, b"")
    await wait_for_all(fleet, knows("b"))


async def statuses_of_requests(fleet: SidecarFleet, name: str) -> set[int]:
    """Sends requests of both kinds through all nodes; returns the statuses of the answers."""
    statuses = set()
    for number in range(REQUESTS):
        path, method = (("/notices/7", "GET"), ("/lodge/7", "POST"))[number // 3 % 2]
        node = number % len(fleet.nodes)
        answer, _ = await fleet.send_request(node, path, f"{name}-{number}", method)
        statuses.add(answer.status)
    return statuses


def executed(fleet: SidecarFleet, number: int, name: str) -> list[str]:
    """Returns the requests of a round that ran at an instance."""
    return [each for each in fleet.instances[number].executed_ids if each.startswith(name)]


def has_evacuation_ended(fleet: SidecarFleet, number: int) -> bool:
    """Returns whether an instance may be cold because the evacuation of its zone ended."""
    coldness = fleet.nodes[number].instance_runner.cold_starts.coldness
    return coldness.doubt is Doubt.EVACUATION_ENDED


async def test_an_evacuated_zone_gets_no_requests_until_its_key_is_removed():
    """Guards against requests to an evacuated zone, and against a zone that stays out of use."""
    async with run_sidecars(3, zones="aba") as fleet:
        assert await statuses_of_requests(fleet, "before") == {200}
        assert executed(fleet, 1, "before")
        await evacuate(fleet)
        assert await statuses_of_requests(fleet, "during") == {200}
        assert not executed(fleet, 1, "during")
        assert not has_evacuation_ended(fleet, 1)
        fleet.store.delete(KEY)
        await wait_for_all(fleet, knows())
        assert await statuses_of_requests(fleet, "after") == {200}
        assert executed(fleet, 1, "after")
        assert has_evacuation_ended(fleet, 1)
        assert not has_evacuation_ended(fleet, 0)


async def test_a_request_that_waits_in_the_zone_runs_elsewhere_and_one_that_runs_is_answered():
    """Guards against requests that are lost, or run in the zone, because they came before."""
    async with run_sidecars(2, LONG_ROUTES, zones="ab") as fleet:
        release = asyncio.Event()

        async def hold(instance, request):
            await release.wait()
            return await instance.run(request)

        fleet.instances[1].custom_handler = hold
        fleet.store.put(OTHER_KEY, b"")
        await wait_for_all(fleet, knows("a"))
        runner = fleet.nodes[1].instance_runner
        calls = []
        for number in range(3):  # Two have a slot, the third waits.
            call = fleet.send_request(number % 2, "/lodge/1", f"q-{number}", "POST", 20_000)
            calls.append(asyncio.create_task(call))
        await wait_until(lambda: (runner.gate.load().busy, runner.gate.load().queued) == (2, 1))
        fleet.store.delete(OTHER_KEY)
        await wait_for_all(fleet, knows())
        await evacuate(fleet)
        await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        assert len(fleet.instances[0].executed_ids) == 1
        release.set()
        assert [(await call)[0].status for call in calls] == [200] * 3
        assert len(fleet.instances[1].executed_ids) == 2


async def test_senders_that_do_not_know_of_the_evacuation_are_refused_and_go_elsewhere():
    """Guards against a request that runs in the zone because its sender has heard of nothing."""
    async with run_sidecars(3, zones="abb") as fleet:
        sender = fleet.nodes[1]  # It prefers the other instance of its zone.
        fleet.register_instance(1, state=InstanceState.DRAINING, sequence=1)
        await wait_for_all(fleet, lambda node: not node.directory.get("i-1").ready)
        sender.dispatcher.selector.load_of = lambda instance: None
        sender.content.decoder = Mock(
            wraps=entries,
            CONFIGURATION_KEY=entries.CONFIGURATION_KEY,
            evacuated_zone=lambda key: "",
        )
        fleet.store.put(KEY, b"")
        await wait_until(lambda: all(knows("b")(node) for node in fleet.nodes[::2]))
        statuses = [
            (await fleet.send_request(1, request_id=f"during-{n}"))[0].status
            for n in range(REQUESTS)
        ]
        assert knows()(sender)
        assert statuses == [200] * REQUESTS
        assert len(executed(fleet, 0, "during")) == REQUESTS


async def test_a_service_whose_only_zone_is_evacuated_is_refused_with_a_retry_after():
    """Guards against requests that wait, or are lost, while their service has no zone."""
    async with run_sidecars(2, zones="b") as fleet:
        await evacuate(fleet)
        for number in range(2):
            answer, body = await fleet.send_request(number, "/lodge/1", f"q-{number}", "POST")
            assert answer.status == 503
            assert Reason.EVACUATED.value.encode() in body
            assert float(answer.headers["Retry-After"]) > 0
        assert not any(instance.executed_ids for instance in fleet.instances)


async def test_an_evacuation_outlasts_an_outage_of_the_registry_and_a_restart():
    """Guards against requests to the zone when the registry is lost or a node starts anew."""
    async with run_sidecars(3, zones="aba") as fleet:
        await evacuate(fleet)
        fleet.store.error_status = 500
        await wait_for_all(fleet, lambda node: node.directory.registry_down)
        assert await statuses_of_requests(fleet, "outage") == {200}
        fleet.store.error_status = 0
        await wait_for_all(fleet, lambda node: not node.directory.registry_down)
        states, apply = [], RegistryContent.apply

        def apply_and_record(content, changed):
            apply(content, changed)
            version = content.configurations.version
            states.append(
                (version, len(content.directory.all()), content.directory.evacuated_zones)
            )

        with patch.object(RegistryContent, "apply", apply_and_record):
            await fleet.restart_sidecar(0)
            while (await fleet.send_request(0, request_id="restart-first"))[0].status == 503:
                await asyncio.sleep(POLL_INTERVAL_S)
        assert set(states) == {(1, 3, frozenset("b"))}
        assert await statuses_of_requests(fleet, "restart") == {200}
        assert not executed(fleet, 1, "outage") + executed(fleet, 1, "restart")


async def test_a_zone_that_is_cut_off_from_the_registry_learns_of_its_evacuation_from_peers():
    """Guards against a zone that goes on to use itself because only its peers hear of the key."""
    async with run_sidecars(4, zones="ab") as fleet:
        # The nodes keep links with the subsets that they have used.
        assert await statuses_of_requests(fleet, "before") == {200}
        for node in fleet.nodes[1::2]:
            node.follower.registry._base = UNREACHABLE
            node.destination_of(fleet.nodes[0].directory.get("i-0")).request_open()
        await wait_until(lambda: all(n.directory.registry_down for n in fleet.nodes[1::2]))
        await evacuate(fleet)
        assert await statuses_of_requests(fleet, "during") == {200}
        assert not executed(fleet, 1, "during") + executed(fleet, 3, "during")
        fleet.store.delete(KEY)
        await wait_for_all(fleet, knows())


async def test_a_restored_registry_ends_or_brings_back_evacuations_as_its_content_says():
    """Guards against an evacuation that a copy without its key ends at once, or never."""
    async with run_sidecars(3, zones="aba") as fleet:
        fleet.store.put(OTHER_KEY, b"")
        copy = fleet.store.copy()
        fleet.store.delete(OTHER_KEY)
        fleet.store.put(KEY, b"")
        await wait_for_all(fleet, knows("b"))
        fleet.store.restore(copy)
        await wait_for_all(fleet, knows("a", "b"))
        await wait_for_all(fleet, knows("a"))
        held_s = read_monotonic_s() - min(n.directory.registry_recovered_at_s for n in fleet.nodes)
        assert held_s >= RECOVERY_GRACE_S
        assert await statuses_of_requests(fleet, "restored") == {200}
        fleet.store.delete(OTHER_KEY)
        await wait_for_all(fleet, knows())
        assert await statuses_of_requests(fleet, "after") == {200}
        assert not executed(fleet, 0, "restored") + executed(fleet, 2, "restored")


load_tests = function_tests(__name__)
