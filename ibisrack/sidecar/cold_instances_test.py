"""Tests of sidecars beside instances that are cold, or that may be after a failure."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import asynccontextmanager, contextmanager
from unittest.mock import patch

import attrs

from ibisrack.calls.start_window import WINDOW_S
from ibisrack.hosting.cold_starts import ColdStarts
from ibisrack.instances.model import InstanceState
from ibisrack.platform.upstream import HttpUpstream
from ibisrack.standins.instance import StandInInstance
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    CONDITION_TIMEOUT_S,
    STANDARD_ROUTES,
    SidecarFleet,
    configuration_entry,
    run_sidecars,
    wait_until,
)

# Deployment A.
COLD_PER_S = 6.5
COLD_FACTOR = 1.5
COLD_SLACK = 8
MOST_IN_A_SECOND = 17.75
SLOTS = 30
OFFERED_PER_ROUND = 6
ROUND_S = 0.05


@asynccontextmanager
async def run_cold_sidecars(count: int):
    """Runs sidecars whose service states how many requests a cold instance tolerates.

    Yields the fleet, and the times at which requests are written to instances.
    """
    with recorded_sends() as sends:
        async with run_sidecars(count) as fleet:
            await _state_cold_rate(fleet)
            yield fleet, sends


async def _state_cold_rate(fleet: SidecarFleet) -> None:
    """Puts settings and a configuration with a cold rate in force at warm instances."""
    for number, node in enumerate(fleet.nodes):
        changes = {"cold_rate_factor": COLD_FACTOR, "cold_rate_slack": COLD_SLACK}
        node.reload(attrs.evolve(node.settings, **changes))
        fleet.register_instance(number, slots=SLOTS, sequence=1)
    entry = configuration_entry(2, *STANDARD_ROUTES, cold_per_s=COLD_PER_S)
    fleet.store.put("op/config", entry)
    for node in fleet.nodes:
        await wait_until(lambda node=node: node.configurations.version == 2)
        await wait_until(lambda node=node: not window_of(node).in_force)


def cold_starts_of(node) -> ColdStarts:
    return node.instance_runner.cold_starts


def window_of(node):
    return cold_starts_of(node).window


async def offer(fleet: SidecarFleet, rounds: int, name: str) -> list[int]:
    """Offers more than a cold instance tolerates, at all nodes; returns the statuses."""
    calls = []
    for round_number in range(rounds):
        calls += [
            asyncio.create_task(
                fleet.send_request(n % len(fleet.nodes), request_id=f"{name}-{round_number}-{n}")
            )
            for n in range(OFFERED_PER_ROUND)
        ]
        await asyncio.sleep(ROUND_S)
    return [answer.status for answer, _ in await asyncio.gather(*calls)]


@attrs.define
class SendTimes:
    """Monotonic time at which each request was written to an instance, by their ids."""

    sent_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def assert_within_bound(self, instance: StandInInstance, first: int = 0) -> None:
        """Asserts that requests arrived, and in no second more than a cold instance tolerates.

        A machine that delays arrivals by more than the margin of the window shortens the second.
        """
        arrivals = instance.arrivals[first:]
        arrived_s = [at_s for _, at_s in arrivals]
        delay_s = max(
            at_s - self.sent_s[request_id, instance.instance_id] for request_id, at_s in arrivals
        )
        second_s = WINDOW_S - max(WINDOW_S - 1.0, delay_s)
        most = max(sum(a <= b <= a + second_s for b in arrived_s) for a in arrived_s)
        assert most <= MOST_IN_A_SECOND, (most, delay_s)


@contextmanager
def recorded_sends() -> Iterator[SendTimes]:
    """Yields the times at which requests are written to instances."""
    times, send = SendTimes(), HttpUpstream.send

    async def send_recorded(upstream, submit, remaining_s, on_sent):
        def record() -> None:
            times.sent_s[submit.request_id, submit.instance_id] = time.monotonic()
            on_sent()

        return await send(upstream, submit, remaining_s, record)

    with patch.object(HttpUpstream, "send", send_recorded):
        yield times


async def test_a_cold_instance_gets_no_more_than_it_tolerates_in_any_second():
    """Guards against a crash by the load that all nodes offer to a cold instance."""
    async with run_cold_sidecars(2) as (fleet, sends):
        cold, node = fleet.instances[0], fleet.nodes[0]
        cold.cold_ms = 60_000.0
        fleet.register_instance(0, slots=SLOTS, sequence=2, cold_left_s=60.0)
        # The other instance takes less than what is offered.
        fleet.instances[1].work_s = 0.5
        await wait_until(lambda: window_of(node).in_force)
        (link,) = fleet.nodes[1].outgoing_links.values()
        await wait_until(lambda: link.load is not None and link.load.paced_per_s is not None)
        assert link.load.cold_left_ms > 0
        statuses = await offer(fleet, 50, "cold")
        sends.assert_within_bound(cold)
        ran = sum(len(i.executed_ids) for i in fleet.instances)
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) == ran
        cold.cold_ms = 0.0
        fleet.register_instance(0, slots=SLOTS, sequence=3)
        await wait_until(lambda: not window_of(node).in_force)
        fleet.register_instance(1, state=InstanceState.DRAINING, sequence=2)
        await wait_until(lambda: not any(n.directory.get("i-1").ready for n in fleet.nodes))
        cold.arrivals.clear()
        await offer(fleet, 10, "warm")
        assert len(cold.arrivals) > MOST_IN_A_SECOND
        assert cold.health_checks <= 3


async def test_a_busy_instance_that_becomes_cold_gets_no_burst():
    """Guards against a full bound on top of the requests of the second before."""
    async with run_cold_sidecars(1) as (fleet, sends):
        cold, node = fleet.instances[0], fleet.nodes[0]
        await offer(fleet, 20, "busy")
        assert len(cold.arrivals) > MOST_IN_A_SECOND
        fleet.register_instance(0, slots=SLOTS, sequence=2, cold_left_s=60.0)
        await wait_until(lambda: window_of(node).in_force)
        busy = len(cold.arrivals)
        statuses = await offer(fleet, 40, "cold")
        assert statuses.count(200) == len(cold.arrivals) - busy > 0
        # The last starts before count as well.
        sends.assert_within_bound(cold, busy - int(MOST_IN_A_SECOND))


async def test_a_node_that_starts_again_assumes_that_the_bound_was_used():
    """Guards against two full bounds in one second, of the earlier process and of the next one."""
    async with run_cold_sidecars(1) as (fleet, sends):
        cold = fleet.instances[0]
        cold.cold_ms = 60_000.0
        fleet.register_instance(0, slots=SLOTS, sequence=2, cold_left_s=60.0)
        await wait_until(lambda: window_of(fleet.nodes[0]).in_force)
        await offer(fleet, 30, "before")
        await fleet.restart_sidecar(0)
        await wait_until(lambda: fleet.nodes[0].ready)
        assert window_of(fleet.nodes[0]).in_force
        await offer(fleet, 40, "after")
        sends.assert_within_bound(cold)


async def test_a_node_without_the_registry_goes_by_the_health_answers():
    """Guards against full load on an instance that restarts while its entry can't change."""
    async with run_cold_sidecars(1) as (fleet, sends):
        cold, node = fleet.instances[0], fleet.nodes[0]
        fleet.store.error_status = 503
        await wait_until(lambda: node.directory.registry_down)
        await fleet.send_request(0)
        await fleet.crash_instance(0)
        await fleet.send_request(0, request_id="refused")
        assert window_of(node).in_force
        cold.cold_ms = 60_000.0
        # Forgets the crash, after which nothing is sent for some seconds.
        node.suspects.table = type(node.suspects.table)()
        await fleet.start_instance(0, node.settings.instance)
        cold.arrivals.clear()
        await offer(fleet, 50, "cold")
        sends.assert_within_bound(cold)
        assert cold_starts_of(node).coldness.cold_until_s > time.monotonic() + 30
        cold.cold_ms = 0.0
        cold_starts_of(node).coldness.cold_until_s = time.monotonic()
        # The check that ends it takes its place in the window, and is sent only under load.
        async with asyncio.timeout(CONDITION_TIMEOUT_S):
            while window_of(node).in_force:
                await offer(fleet, 2, "over")


async def test_an_instance_that_restarted_unnoticed_is_held_to_the_bound():
    """Guards against full load on another process under the same id, whose entry is late."""
    async with run_cold_sidecars(1) as (fleet, sends):
        cold, node = fleet.instances[0], fleet.nodes[0]
        await fleet.send_request(0)
        await fleet.crash_instance(0)
        cold.cold_ms = 60_000.0
        cold.arrivals.clear()
        await fleet.start_instance(0, node.settings.instance)
        await offer(fleet, 30, "cold")
        sends.assert_within_bound(cold)
        assert cold.health_checks <= 3


async def test_a_single_connection_that_is_dropped_raises_no_doubt():
    """Guards against a bound and health checks for each connection that a busy instance drops."""

    released = asyncio.Event()

    async def drop_or_run(instance, request):
        response = await instance.run(request)
        if request.path == "/notices/long":
            await released.wait()
        elif request.path == "/notices/drop":
            request.transport.abort()
        return response

    async with run_cold_sidecars(1) as (fleet, _):
        warm, node = fleet.instances[0], fleet.nodes[0]
        warm.custom_handler, checks = drop_or_run, warm.health_checks
        running = asyncio.create_task(fleet.send_request(0, "/notices/long", "long"))
        await wait_until(lambda: "long" in warm.executed_ids)
        for n in range(3):
            await fleet.send_request(0, "/notices/drop", f"drop-{n}")
            await fleet.send_request(0, request_id=f"next-{n}")
        released.set()
        await running
        events = cold_starts_of(node).events
        assert (events, warm.health_checks) == ({}, checks), (events, warm.health_checks)


async def test_peers_without_a_run_say_nothing_of_the_usual_service_time():
    """Guards against an instance that counts as slow because its peers have run nothing yet."""
    async with run_sidecars(3) as fleet:
        node, *others = fleet.nodes
        assert node.peer_service_s() == 0.0
        for other, service_ms in zip(others, (0.0, 100.0), strict=True):
            link = node.destination_of(other.instance_runner.instance)
            link.load = attrs.evolve(other.load(), service_ms=service_ms)
        assert node.peer_service_s() == 0.1


load_tests = function_tests(__name__)
