"""Tests of sidecars with configurations and requests whose numbers have many digits."""

import json

from aiohttp import ClientSession, web

from ibisrack.dispatch.dispatcher import MAX_RETRY_AFTER_S
from ibisrack.platform.headers import NOT_EXECUTED, REQUEST_ID
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import (
    SidecarFleet,
    configuration_entry,
    route_resource,
    run_sidecars,
    wait_until,
)

LONGEST = "9" * 200 + "s"  # Far beyond what timers and messages between nodes can hold.


async def publish(fleet: SidecarFleet, version: int, **spec: object) -> None:
    """Publishes a version with one route and waits until all nodes have it in force."""
    fleet.store.put("op/config", configuration_entry(version, route_resource(**spec)))
    await wait_until(lambda: all(node.configurations.version == version for node in fleet.nodes))


async def test_version_with_a_time_of_many_digits_comes_into_force():
    """Guards against a fleet that stays on the old version for the digits of one time."""
    async with run_sidecars(3) as fleet:
        await publish(fleet, 2, prefix="/new/", timeout="2.3333333333333335s")
        for number in range(3):
            answer, _ = await fleet.send_request(number, "/new/1", request_id=f"q-{number}")
            assert answer.status == 200


async def test_deadline_of_many_digits_is_read():
    """Guards against a final 400 for a proper request whose caller waits without end."""
    async with run_sidecars(2) as fleet:
        for number, deadline_ms in enumerate((10**10, 2**63 - 1, 10**200)):
            answer, _ = await fleet.send_request(
                0, request_id=f"q-{number}", deadline_ms=deadline_ms
            )
            assert answer.status == 200, deadline_ms
        fields = {"Deadline-Ms": "000000000001500"}
        answer, _ = await fleet.send_request(0, request_id="zeros", headers=fields)
        assert answer.status == 200


async def test_requests_are_served_under_limits_beyond_32_bits():
    """Guards against limits of a configuration that fail each new connection."""
    async with run_sidecars(1) as fleet:
        body = json.loads(configuration_entry(2, route_resource(max_attempts=10**400)))
        body["resources"][-1]["spec"] |= {"max_header_bytes": 2**64, "max_body_bytes": 10**400}
        fleet.store.put("op/config", json.dumps(body).encode())
        await wait_until(lambda: fleet.nodes[0].configurations.version == 2)
        async with ClientSession() as new_connections:
            fleet.session = new_connections
            answer, _ = await fleet.send_request(0, method="POST", data=b"x" * 500_000)
        assert answer.status == 200


async def test_requests_are_served_under_times_without_end():
    """Guards against times that break the links of requests, or reach callers as Retry-After."""

    async def refuse(instance, request):
        request_id = request.headers[REQUEST_ID]
        return web.Response(status=503, headers={NOT_EXECUTED: "1", REQUEST_ID: request_id})

    async with run_sidecars(3) as fleet:
        await publish(fleet, 2, timeout=LONGEST, target_latency=LONGEST)
        for number in range(12):
            answer, _ = await fleet.send_request(number % 3, request_id=f"q-{number}")
            assert answer.status == 200
        assert not any(link.losses for node in fleet.nodes for link in node.outgoing_links.values())
        for instance in fleet.instances:
            instance.custom_handler = refuse
        answer, _ = await fleet.send_request(0, request_id="refused")
        assert answer.status == 503
        assert 0 < float(answer.headers["Retry-After"]) <= MAX_RETRY_AFTER_S


load_tests = function_tests(__name__)
