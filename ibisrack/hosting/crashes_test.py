"""Tests of telling a crash of the instance from connections that it dropped."""

import asyncio
import socket
from contextlib import ExitStack, asynccontextmanager
from unittest.mock import patch

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.crashes import Crash, CrashDetector
from ibisrack.hosting.runs import Run
from ibisrack.instances.model import Instance, InstanceState
from ibisrack.links.codec_test import SUBMIT
from ibisrack.suspects.table import DOWN_S
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import free_ports, instance

HOST = "127.0.0.1"


@attrs.define(eq=False)
class DetectorFixture:
    """A detector, the instance that it watches, and the crashes that it saw."""

    detector: CrashDetector
    listed: Instance
    crashes: list[Crash] = attrs.field(factory=list)

    async def lose_connections(self, count: int = 1) -> set[bool]:
        """Checks after open runs have lost their connections; returns the results."""
        with ExitStack() as stack:
            for _ in range(count):
                stack.enter_context(self.detector.track(Run(SUBMIT)))
            checks = (self.detector.has_crashed(self.listed) for _ in range(count))
            return set(await asyncio.gather(*checks))


def watch(port: int, **fields) -> DetectorFixture:
    """Returns a detector for an instance at a port."""
    fixture = DetectorFixture(CrashDetector((HOST, port)), instance(host=HOST, port=port, **fields))
    fixture.detector.on_crash = fixture.crashes.append
    return fixture


@asynccontextmanager
async def listening(on_connect):
    """Accepts connections and yields the port."""
    server = await asyncio.start_server(on_connect, HOST, 0, family=socket.AF_INET)
    async with server:
        yield server.sockets[0].getsockname()[1]


async def test_runs_that_a_crash_ended_are_reported_once_and_together():
    """Guards against one report for each broken connection, or a report that lacks a run."""
    fixture = watch(free_ports(1)[0])
    assert await fixture.lose_connections(5) == {True}
    assert len(fixture.crashes) == 1
    assert len(fixture.crashes[0].runs) == 5
    assert fixture.crashes[0].instance is fixture.listed


async def test_a_run_that_notices_the_crash_later_is_no_second_crash():
    """Guards against counting one crash twice."""
    fixture = watch(free_ports(1)[0])
    assert await fixture.lose_connections() == {True}
    assert await fixture.lose_connections() == {True}
    assert fixture.detector.crashes == 1


async def test_a_crash_after_a_start_under_the_same_entry_is_a_second_one():
    """Guards against crashes that go unseen until the store lists the new start."""
    fixture = watch(free_ports(1)[0])
    await fixture.lose_connections()
    later_s = read_monotonic_s() + DOWN_S + 1.0
    with patch("ibisrack.hosting.crashes.read_monotonic_s", lambda: later_s):
        assert await fixture.lose_connections() == {True}
    assert fixture.detector.crashes == 2


async def test_an_instance_that_drops_a_connection_and_lives_has_not_crashed():
    """Guards against blaming requests for lost answers and reset connections."""

    async def hold(reader, writer):
        await reader.read()
        writer.close()

    async with listening(hold) as port:
        fixture = watch(port)
        assert await fixture.lose_connections() == {False}
    assert fixture.crashes == []


async def test_an_instance_that_resets_surplus_connections_has_not_crashed():
    """Guards against taking an instance at its limit of connections for a crashed one."""

    async def reset(reader, writer):
        writer.transport.abort()

    async with listening(reset) as port:
        assert await watch(port).lose_connections() == {False}


async def test_the_end_of_an_instance_that_drains_is_no_crash():
    """Guards against blaming the requests that a planned end breaks off."""
    fixture = watch(free_ports(1)[0], state=InstanceState.DRAINING)
    assert await fixture.lose_connections() == {False}
    assert not await fixture.detector.has_crashed(None)


load_tests = function_tests(__name__)
