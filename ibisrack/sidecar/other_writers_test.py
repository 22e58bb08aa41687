"""Tests of entries that other programs write into the registry."""

from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance, instance_entry, run_sidecars, wait_until


async def test_an_entry_under_a_service_that_nobody_names_leaves_its_instance_in_use():
    """Guards against 503 for all requests while an old registrar lists the instances again."""
    async with run_sidecars(1) as fleet:
        settings = fleet.nodes[0].settings
        stray = instance(
            "old-0",
            service="desk-2019",
            host=settings.instance.host,
            port=settings.instance.port,
            started_at_ms=9,
            slots=7,
        )
        fleet.store.put("servers/old-0", instance_entry(stray))
        await wait_until(lambda: fleet.nodes[0].directory.get("old-0") is not None)
        answer, body = await fleet.send_request(0)
        assert answer.status == 200, body
        assert fleet.nodes[0].instance_runner.instance.instance_id == "i-0"


load_tests = function_tests(__name__)
