"""Tests of the calls of running requests, which are known by the host from which they come."""

from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import SidecarFleet, run_sidecars


def nested_share(fleet: SidecarFleet) -> float:
    """Returns how much of what the instances run counts as calls of running requests."""
    queues = [q for n in fleet.nodes for q in n.instance_runner.gate.scheduler._queues.values()]
    return sum(queue.nested_share for queue in queues)


async def test_calls_are_known_by_the_host_of_the_instance():
    """Guards against requests of clients that count as calls, and calls that count as theirs."""
    async with run_sidecars(2) as fleet:
        # The test's requests come from 127.0.0.1, which is the first instance's host only.
        await fleet.send_request(1, request_id="q-1")
        assert nested_share(fleet) == 0.0
        await fleet.send_request(0, request_id="q-2")
        assert nested_share(fleet) > 0.0


load_tests = function_tests(__name__)
