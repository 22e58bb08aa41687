"""Tests of requests that crash the instances that run them, in a small fleet."""

import asyncio
from contextlib import asynccontextmanager

import attrs

from ibisrack.suspects.table import BLOCKING_CRASHES
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import SidecarFleet, run_sidecars, wait_until

DEADLY_PATH, HARMLESS_PATH = "/notices/deadly", "/notices/harmless"
DOWN_S = 0.2
SLOTS = 20


@attrs.define(eq=False)
class DeadlyFleet:
    """A fleet with a request that crashes the instances that run it.

    Attributes:
      fleet: The fleet.
      deadly_runs: Number of runs of the request.
      crashed: Ids of the instances that crashed.
    """

    fleet: SidecarFleet
    deadly_runs: int = 0
    crashed: set[str] = attrs.field(factory=set)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def handle(self, instance, request):
        """Runs a request; the deadly one ends its instance, which is back a little later."""
        if request.path != DEADLY_PATH:
            return await instance.run(request)
        self.deadly_runs += 1
        if instance.instance_id not in self.crashed:
            self.crashed.add(instance.instance_id)
            number = self.fleet.instances.index(instance)
            self._tasks.add(asyncio.create_task(self.restart(number)))
        await asyncio.Event().wait()

    async def restart(self, number: int) -> None:
        """Ends an instance, and starts it again under another id."""
        address = self.fleet.nodes[number].settings.instance
        await self.fleet.crash_instance(number)
        await asyncio.sleep(DOWN_S)
        self.fleet.store.delete(f"servers/{self.fleet.instances[number].instance_id}")
        self.fleet.instances[number].instance_id += "-again"
        await self.fleet.start_instance(number, address)
        self.fleet.register_instance(number, slots=SLOTS, started_at_ms=len(self._tasks))

    async def restarted(self) -> None:
        """Waits until the instances that crashed have started again."""
        await asyncio.gather(*self._tasks)

    async def send_deadly(self, number: int, request_id: str) -> int:
        """Sends the deadly request to a node; returns the status of the answer."""
        return (await self.fleet.send_request(number, DEADLY_PATH, request_id))[0].status

    def blocking_nodes(self) -> int:
        """Returns how many nodes have blocked a request."""
        return sum(node.suspects.recorder.blocks > 0 for node in self.fleet.nodes)


@asynccontextmanager
async def run_deadly_fleet(count: int = 5):
    """Runs a fleet in which one path is deadly."""
    async with run_sidecars(count) as fleet:
        deadly = DeadlyFleet(fleet)
        for number, instance in enumerate(fleet.instances):
            instance.custom_handler = deadly.handle
            fleet.register_instance(number, slots=SLOTS, sequence=1)
        for node in fleet.nodes:
            await wait_until(lambda node=node: all(i.slots == SLOTS for i in node.directory.all()))
            await fleet.send_request(fleet.nodes.index(node), request_id="first")
        yield deadly


async def test_a_request_that_crashes_its_instances_is_refused_after_the_second():
    """Guards against a request that comes again at any node and ends instance after instance."""
    async with run_deadly_fleet() as deadly:
        statuses = []
        for n in range(20):
            statuses.append(await deadly.send_deadly(n % 5, f"q-{n}"))
            await deadly.restarted()
        assert deadly.deadly_runs == BLOCKING_CRASHES
        assert set(statuses[1:]) == {503}
        answer, _ = await deadly.fleet.send_request(0, DEADLY_PATH, "last")
        assert float(answer.headers["Retry-After"]) > 10


async def test_requests_beside_a_deadly_one_are_served():
    """Guards against refusing the requests that a crash ended with the deadly one."""
    async with run_deadly_fleet() as deadly:
        for instance in deadly.fleet.instances:
            instance.work_s = 0.15
        calls = []
        for n in range(60):
            calls.append(
                asyncio.create_task(
                    deadly.fleet.send_request(n % 5, f"{HARMLESS_PATH}-{n % 20}", f"h-{n}")
                )
            )
            if n % 6 == 0:
                calls.append(
                    asyncio.create_task(deadly.fleet.send_request(n % 5, DEADLY_PATH, f"q-{n}"))
                )
            await asyncio.sleep(0.03)
        await asyncio.gather(*calls)
        await deadly.restarted()
        for n in range(40):
            number, path = n % 5, f"{HARMLESS_PATH}-{n % 20}"
            answer, _ = await deadly.fleet.send_request(number, path, f"after-{n}")
            assert answer.status == 200, path
        assert deadly.deadly_runs <= BLOCKING_CRASHES + 3


async def test_a_process_that_starts_learns_of_blocks_from_its_peers():
    """Guards against a restarted node that lets the deadly request in once more."""
    async with run_deadly_fleet(4) as deadly:
        for n in range(4):
            await deadly.send_deadly(n % 4, f"q-{n}")
            await deadly.restarted()
        await wait_until(lambda: deadly.blocking_nodes() == 4)
        runs = deadly.deadly_runs
        await deadly.fleet.restart_sidecar(0)
        await wait_until(lambda: deadly.fleet.nodes[0].ready and deadly.blocking_nodes() == 4)
        assert await deadly.send_deadly(0, "after") == 503
        assert deadly.deadly_runs == runs


async def test_crashes_of_another_cause_block_no_request():
    """Guards against refusing a request only because it often runs where instances crash."""
    async with run_deadly_fleet(4) as deadly:
        for instance in deadly.fleet.instances:
            instance.work_s = 0.05
        for n in range(6):
            calls = [
                asyncio.create_task(deadly.fleet.send_request(k % 4, HARMLESS_PATH, f"h-{n}-{k}"))
                for k in range(12)
            ]
            await asyncio.sleep(0.02)
            await deadly.restart(n % 4)
            await asyncio.gather(*calls)
        assert deadly.blocking_nodes() == 0
        answer, _ = await deadly.fleet.send_request(0, HARMLESS_PATH, "after")
        assert answer.status == 200


async def test_a_crashed_instance_gets_no_request_before_its_new_entry():
    """Guards against requests under the id of an instance that has crashed and started anew."""
    async with run_deadly_fleet(2) as deadly:
        fleet = deadly.fleet

        async def send_all(name: str) -> set[int]:
            """Sends requests to both nodes at once; returns the statuses of the answers."""
            answers = await asyncio.gather(
                *(
                    fleet.send_request(n % 2, f"/notices/{name}-{n}", f"{name}-{n}")
                    for n in range(20)
                )
            )
            return {answer.status for answer, _ in answers}

        for each in fleet.instances:
            each.work_s = 0.3
            each.executed_ids.clear()
        before = asyncio.create_task(send_all("before"))
        await wait_until(lambda: any(each.executed_ids for each in fleet.instances))
        instance = next(each for each in fleet.instances if each.executed_ids)
        number = fleet.instances.index(instance)
        await fleet.crash_instance(number)
        instance.instance_id += "-again"
        await before
        await fleet.start_instance(number, fleet.nodes[number].settings.instance)
        instance.last_request = None
        assert await send_all("without-entry") == {200}
        assert instance.last_request is None
        fleet.register_instance(number, slots=SLOTS, started_at_ms=1)
        for node in fleet.nodes:
            await wait_until(lambda node=node: node.directory.get(instance.instance_id) is not None)
        assert await send_all("with-entry") == {200}
        assert instance.last_request is not None


load_tests = function_tests(__name__)
