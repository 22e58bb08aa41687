"""A short seeded soak, and tests of the plan and of the proxy."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import get_args

from bench.fleet import free_ports
from bench.soak.additions import Addition, make_extended_plan
from bench.soak.faults import Fault, kind_of
from bench.soak.history import Kind
from bench.soak.injection import inject
from bench.soak.plan import make_plan
from bench.soak.runner import SoakSettings, run_seed
from ibisrack.testing.functions import function_tests
from ibisrack.testing.tcp_proxy import STORE, Network

SEED = 2
FAULTS_S = 30.0
SIDECARS = 6
FOLDER = Path("build/soak/ci")  # Kept if a promise is broken.
SOURCE_HOST, TARGET_HOST = "127.0.2.1", "127.0.3.1"


def test_promises_hold_under_seeded_faults():
    """Guards against a broken promise under stops, kills, pauses and impaired connections."""
    result = run_seed(SoakSettings(SEED, FAULTS_S, SIDECARS, FOLDER))
    print(result.format_line())
    assert result.violations == []
    assert any(outcome.status == 200 for outcome in result.history.outcomes)


def test_plans_are_repeatable_and_use_every_fault():
    """Guards against a seed that can't be played again, and a fault that is never injected."""
    plans = [make_extended_plan(seed, 30.0, 6, Addition) for seed in range(20)]
    assert plans == [make_extended_plan(seed, 30.0, 6, Addition) for seed in range(20)]
    used = {type(timed.fault) for plan in plans for timed in plan}
    assert used == set(get_args(Fault))
    assert all(inject.dispatch(kind) is not inject.dispatch(object) for kind in used)


def test_added_faults_leave_those_of_the_seed_as_they_were():
    """Guards against a regression seed that means other faults once a kind was added."""
    for seed in range(20):
        plain = make_plan(seed, 30.0, 6)
        assert make_extended_plan(seed, 30.0, 6, ()) == plain
        extended = make_extended_plan(seed, 30.0, 6, Addition)
        planned = [timed for timed in plain if kind_of(timed.fault) is Kind.PLANNED]
        kept = [timed for timed in extended if timed in plain]
        assert len(extended) > len(kept) and kept in (plain, planned)


@asynccontextmanager
async def relayed_connection():
    """Yields a network, and a connection through its path from sidecar 1 to an echo server."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    (port,) = free_ports(1)
    network = Network({})
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(await asyncio.start_server(echo, TARGET_HOST, port))
        address = (TARGET_HOST, port)
        await stack.enter_async_context(network.relayed((1, STORE), SOURCE_HOST, port, address))
        reader, writer = await asyncio.open_connection(SOURCE_HOST, port)
        stack.callback(writer.close)
        yield network, reader, writer
        await network.close()


async def test_blocked_path_delivers_nothing_until_it_is_open_again():
    """Guards against a one-way cut that lets bytes through, loses them or reorders them."""
    async with relayed_connection() as (network, reader, writer):
        writer.write(b"a")
        assert await reader.read(1) == b"a"
        network.path(STORE, 1).block(1)
        writer.write(b"b")
        reading = asyncio.create_task(reader.readexactly(2))
        await asyncio.wait((reading,), timeout=0.1)
        assert not reading.done()
        writer.write(b"c")
        network.path(STORE, 1).block(-1)
        assert await reading == b"bc"


async def test_reset_reaches_the_caller():
    """Guards against a reset that leaves the connection open."""
    async with relayed_connection() as (network, reader, writer):
        writer.write(b"a")
        await reader.read(1)
        network.reset((1, STORE))
        try:
            assert await reader.read(1) == b""
        except ConnectionResetError:
            pass


load_tests = function_tests(__name__)
