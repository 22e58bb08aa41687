"""Tests of the health checks of the instance."""

from aiohttp import ClientSession, web

from ibisrack.hosting.coldness import HealthAnswer
from ibisrack.platform.health_client import HealthClient, parse_cold_s
from ibisrack.settings.sidecar import Address
from ibisrack.standins.instance import StandInInstance, serve_instance
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import free_ports

HOST = "127.0.0.1"


async def test_an_instance_states_how_much_longer_it_is_cold():
    """Guards against a cold instance that counts as warm."""
    instance = StandInInstance("i-1", cold_ms=1500.5)
    async with ClientSession() as session, serve_instance(instance, HOST) as port:
        client = HealthClient(session, Address(HOST, port))
        assert await client.check("/healthz") == HealthAnswer(True, 1.5005)
        instance.cold_ms = 0
        assert await client.check("/healthz") == HealthAnswer(True, 0.0)
        assert await client.check("@10.0.0.1/healthz") == HealthAnswer(True)


async def test_failed_checks_say_nothing():
    """Guards against an instance that counts as warm because it is in trouble or not there."""

    async def fail(request):
        return web.Response(status=503, headers={"Cold-Ms": "0"})

    (free,) = free_ports(1)
    server = web.Server(fail)
    async with ClientSession() as session:
        assert await HealthClient(session, Address(HOST, free)).check("/") == HealthAnswer(False)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, HOST, free).start()
        assert await HealthClient(session, Address(HOST, free)).check("/") == HealthAnswer(True)
        await runner.cleanup()


def test_a_time_that_is_no_number_says_nothing():
    """Guards against an exception, or a cold instance that counts as warm, for an odd header."""
    assert parse_cold_s({}) == 0.0
    for text in ("", "-1", "1e3", "soon", "nan", "9" * 400):
        assert parse_cold_s({"Cold-Ms": text}) is None


load_tests = function_tests(__name__)
