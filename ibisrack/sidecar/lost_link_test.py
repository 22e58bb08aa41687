"""Tests of whole sidecars whose link is lost while a request is at the peer."""

import asyncio
from contextlib import asynccontextmanager

from aiohttp import web

from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.runs import RESULT_TTL_S
from ibisrack.instances.model import InstanceState
from ibisrack.links.silence import ABORT_AFTER_SILENCE_S
from ibisrack.platform.headers import NOT_EXECUTED
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import route_resource, run_sidecars, wait_until
from ibisrack.testing.tcp_proxy import run_proxy

CUT_S = 0.6  # Longer than a failed connection attempt, shorter than the wait for the slot.
ROUTES = (
    route_resource(timeout="4s", target_latency="3s"),
    route_resource("non_idempotent", prefix="/lodge/", timeout="4s", target_latency="3s"),
)


@asynccontextmanager
async def run_linked_sidecars(count: int = 2, slots: int = 1):
    """Yields sidecars and the proxy on the link from the first to the second one.

    Only the instances beside the others are ready.
    """
    async with run_sidecars(count, ROUTES) as fleet_:
        fleet_.register_instance(0, state=InstanceState.DRAINING, sequence=1)
        for number in range(1, count):
            fleet_.register_instance(number, slots=slots, sequence=1)
        nodes = fleet_.nodes
        await wait_until(lambda: all(not node.directory.get("i-0").ready for node in nodes))
        await wait_until(
            lambda: all(n.instance_runner.gate.load().slots == slots for n in nodes[1:])
        )
        peer = nodes[1].settings.links
        async with run_proxy(peer.host, peer.port) as proxy:
            link = nodes[0].destination_of(nodes[0].directory.get("i-1"))
            link.port = proxy.port
            yield fleet_, proxy


async def occupy_slot(fleet_, number: int, work_s: float) -> asyncio.Task:
    """Starts a request of a sidecar's own caller that occupies the slot of the instance."""
    fleet_.instances[number].work_s = work_s
    busy = asyncio.create_task(fleet_.send_request(number, request_id="busy", deadline_ms=4000))
    await wait_until(lambda: "busy" in fleet_.instances[number].executed_ids)
    fleet_.instances[number].work_s = 0.0
    return busy


def start_request(fleet_, path: str = "/notices/7") -> asyncio.Task:
    """Starts a request of a caller of the first sidecar."""
    return asyncio.create_task(fleet_.send_request(0, path, request_id="q-1", deadline_ms=4000))


async def test_request_that_waits_at_a_silent_peer_is_answered_when_the_peer_is_back():
    """Guards against a 502 for a request that the peer goes on holding and later runs."""
    async with run_linked_sidecars() as (fleet_, proxy):
        busy = await occupy_slot(fleet_, 1, work_s=1.2)
        call = start_request(fleet_)
        await wait_until(lambda: fleet_.nodes[1].instance_runner.gate.load().queued == 1)
        proxy.cut()
        await asyncio.sleep(CUT_S)
        proxy.resume()
        answer, _ = await call
        await busy
        assert answer.status == 200
        assert fleet_.instances[1].executed_ids == ["busy", "q-1"]


async def test_request_whose_link_is_lost_when_its_turn_comes_is_refused():
    """Guards against a run whose answer nobody can take, and against a 502 for one that waited."""
    async with run_linked_sidecars() as (fleet_, proxy):
        busy = await occupy_slot(fleet_, 1, work_s=0.3)
        call = start_request(fleet_, "/lodge/7")
        await wait_until(lambda: fleet_.nodes[1].instance_runner.gate.load().queued == 1)
        proxy.cut()
        await busy
        await asyncio.sleep(0.1)
        proxy.resume()
        answer, _ = await call
        assert answer.status == 503
        assert fleet_.instances[1].executed_ids == ["busy"]


async def test_abandoned_request_is_cancelled_over_the_next_link():
    """Guards against an instance at work for a caller that left while the link was lost."""
    async with run_linked_sidecars() as (fleet_, proxy):
        fleet_.instances[1].work_s = 3.0
        call = start_request(fleet_, "/lodge/7")
        await wait_until(lambda: bool(fleet_.instances[1].executed_ids))
        proxy.cut()
        await asyncio.sleep(0.1)
        call.cancel()
        await asyncio.sleep(0.1)
        proxy.resume()
        load = fleet_.nodes[1].instance_runner.gate.load
        async with asyncio.timeout(1.5):
            await wait_until(lambda: not load().busy)


async def run_at_first_peer(fleet_, work_s: float) -> asyncio.Task:
    """Starts a request that the first peer's instance runs although another one is ready."""
    fleet_.instances[1].work_s = work_s
    views = fleet_.nodes[0].dispatcher.selector.views
    views.of("i-2").avoid_until_s = read_monotonic_s() + 0.2
    call = start_request(fleet_)
    await wait_until(lambda: bool(fleet_.instances[1].executed_ids))
    return call


async def test_lost_request_that_no_other_instance_takes_is_answered_by_the_first():
    """Guards against a failure in place of the answer of an instance that is at work."""

    async def shed(instance, request):
        return web.Response(status=503, headers={NOT_EXECUTED: "1"})

    async with run_linked_sidecars(3) as (fleet_, proxy):
        fleet_.instances[2].custom_handler = shed
        call = await run_at_first_peer(fleet_, work_s=1.0)
        proxy.cut()
        await asyncio.sleep(CUT_S)
        proxy.resume()
        answer, _ = await call
        assert answer.status == 200
        assert answer.headers["Response-Signature"] == "signed.i-1"


async def test_lost_request_that_another_instance_answers_is_cancelled_at_the_first():
    """Guards against an instance at work on a request that another one has answered."""
    async with run_linked_sidecars(3) as (fleet_, proxy):
        call = await run_at_first_peer(fleet_, work_s=3.0)
        proxy.cut()
        answer, _ = await call
        assert answer.status == 200
        assert answer.headers["Response-Signature"] == "signed.i-2"
        proxy.resume()
        load = fleet_.nodes[1].instance_runner.gate.load
        async with asyncio.timeout(0.7):  # Before the run would be cancelled as an orphan.
            await wait_until(lambda: not load().busy)


async def test_answer_that_was_sent_into_a_dead_connection_is_delivered_over_the_next_link():
    """Guards against a lost answer, or a second run, if only the sender notices the loss."""
    async with run_linked_sidecars() as (fleet_, proxy):
        fleet_.instances[1].work_s = 0.3
        call = start_request(fleet_, "/lodge/7")
        await wait_until(lambda: bool(fleet_.instances[1].executed_ids))
        proxy.fall_silent()
        await asyncio.sleep(ABORT_AFTER_SILENCE_S + RESULT_TTL_S)
        proxy.resume()
        answer, _ = await call
        assert answer.status == 200
        assert fleet_.instances[1].executed_ids == ["q-1"]


load_tests = function_tests(__name__)
