"""Tests of what instances say in their answers, a limit or their leaving, in a small fleet."""

import asyncio
from contextlib import asynccontextmanager

from ibisrack.clocks import read_monotonic_s
from ibisrack.links.codec import encode
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import SidecarFleet, run_sidecars, wait_until

LIMIT_PER_S = 10.0
# The users' promise: an instance gets at most this multiple of what its limit allows.
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5
ROUNDS = 40
ROUND_S = 0.05
SLOTS = 100


@asynccontextmanager
async def run_roomy_sidecars(count: int):
    """Runs sidecars whose instances have so many slots that only a limit makes requests wait."""
    async with run_sidecars(count) as fleet:
        for number in range(count):
            fleet.register_instance(number, slots=SLOTS, sequence=1)
        for node in fleet.nodes:
            await wait_until(lambda node=node: all(i.slots == SLOTS for i in node.directory.all()))
        yield fleet


async def send_rounds(fleet: SidecarFleet, requests: int) -> tuple[list[int], float]:
    """Sends rounds of requests from all nodes; returns the statuses and the time it took."""
    started_at_s = read_monotonic_s()
    calls = []
    for round_number in range(ROUNDS):
        calls += [
            asyncio.create_task(
                fleet.send_request(n % len(fleet.nodes), request_id=f"q-{round_number}-{n}")
            )
            for n in range(requests)
        ]
        await asyncio.sleep(ROUND_S)
    answers = await asyncio.gather(*calls)
    return [answer.status for answer, _ in answers], read_monotonic_s() - started_at_s


async def learn_limits(fleet: SidecarFleet, numbers: tuple[int, ...]) -> None:
    """Makes instances name a limit, and waits until the nodes beside them know it."""
    for number in numbers:
        fleet.instances[number].limit_per_s = LIMIT_PER_S
        while not fleet.nodes[number].instance_runner.notices.limit_per_s:
            await fleet.send_request(number, request_id=f"first-{number}")
    for instance in fleet.instances:
        instance.executed_ids.clear()


async def test_instance_gets_no_more_requests_than_its_limit_allows():
    """Guards against an instance in need that gets the requests of all nodes at the old rate."""
    async with run_roomy_sidecars(2) as fleet:
        await learn_limits(fleet, (0,))
        statuses, elapsed_s = await send_rounds(fleet, 6)
        limited, other = (len(i.executed_ids) for i in fleet.instances)
    assert limited <= ALLOWED_FACTOR * LIMIT_PER_S * elapsed_s + ALLOWED_REQUESTS
    assert statuses.count(200) == len(statuses)
    assert other > limited > 0


async def test_requests_beyond_all_limits_are_refused_as_not_run():
    """Guards against requests that wait for a limited service until their deadline."""
    async with run_roomy_sidecars(2) as fleet:
        await learn_limits(fleet, (0, 1))
        statuses, elapsed_s = await send_rounds(fleet, 4)
        ran = sum(len(i.executed_ids) for i in fleet.instances)
    assert set(statuses) == {200, 503}
    assert statuses.count(200) == ran
    assert ran <= ALLOWED_FACTOR * 2 * LIMIT_PER_S * elapsed_s + ALLOWED_REQUESTS


async def test_limit_of_any_size_ends_no_link():
    """Guards against a number in an instance's header that fails each load report of its node."""
    async with run_roomy_sidecars(2) as fleet:
        for limit_per_s in (1e19, 1e300, 1.7e308):
            fleet.instances[0].limit_per_s = limit_per_s
            calls = [
                fleet.send_request(n % 2, request_id=f"q-{limit_per_s}-{n}") for n in range(20)
            ]
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer, _ in answers] == [200] * len(answers)
            encode(fleet.nodes[0].load())
        links = [link for node in fleet.nodes for link in node.outgoing_links.values()]
        assert links and not any(link.losses for link in links)
        assert fleet.instances[0].executed_ids


async def test_limit_that_is_no_longer_named_ends():
    """Guards against an instance that is held to a limit after its need is over."""
    async with run_roomy_sidecars(1) as fleet:
        await learn_limits(fleet, (0,))
        fleet.instances[0].limit_per_s = None
        await asyncio.sleep(2 / LIMIT_PER_S)
        await fleet.send_request(0, request_id="without-limit")
        await wait_until(lambda: fleet.nodes[0].instance_runner.notices.limit_per_s is None)
        statuses, _ = await send_rounds(fleet, 4)
    assert statuses.count(200) == len(statuses)


async def test_process_that_starts_learns_the_limit_from_its_peers():
    """Guards against requests at the old rate until the instance has answered a new process."""

    async def never_answer(instance, request):
        await asyncio.Event().wait()

    async with run_roomy_sidecars(2) as fleet:
        await learn_limits(fleet, (0,))
        await wait_until(lambda: bool(fleet.nodes[1].outgoing_links))
        (link,) = fleet.nodes[1].outgoing_links.values()
        await wait_until(lambda: link.load is not None and link.load.limit_per_s == LIMIT_PER_S)
        fleet.instances[0].custom_handler = never_answer
        await fleet.restart_sidecar(0)
        await wait_until(lambda: fleet.nodes[0].instance_runner.notices.limit_per_s == LIMIT_PER_S)
        assert fleet.nodes[0].instance_runner.gate.scheduler.pace.stated_per_s == LIMIT_PER_S


async def test_instance_that_says_that_it_leaves_gets_no_more_requests():
    """Guards against requests after an instance's own word, while the registry still lists it."""
    async with run_roomy_sidecars(2) as fleet:
        fleet.instances[0].leaving = True
        for n in range(20):  # Until the instance has answered a request of each node.
            for number in (0, 1):
                await fleet.send_request(number, request_id=f"first-{n}-{number}")
        await wait_until(lambda: not any(n.directory.get("i-0").ready for n in fleet.nodes))
        assert fleet.instances[0].executed_ids
        fleet.instances[0].executed_ids.clear()
        await fleet.restart_sidecar(0)
        fleet.register_instance(0, sequence=2)
        await wait_until(lambda: fleet.nodes[0].ready and len(fleet.nodes[0].directory.all()) == 2)
        statuses, _ = await send_rounds(fleet, 2)
        assert not any(i.endswith("-1") for i in fleet.instances[0].executed_ids)
        assert statuses.count(200) == len(statuses)
        fleet.instances[0].leaving = False
        fleet.register_instance(0, started_at_ms=1)
        await wait_until(lambda: all(n.directory.get("i-0").ready for n in fleet.nodes))


load_tests = function_tests(__name__)
