"""Tests of changes that reach a zone while the process that reads the registry for it is frozen."""

import asyncio
import signal

from aiohttp import ClientSession

from ibisrack.clocks import read_monotonic_s
from ibisrack.testing.functions import function_tests
from ibisrack.testing.processes import ProcessUnderTest, run_processes
from ibisrack.testing.sidecars import (
    POLL_INTERVAL_S,
    STANDARD_ROUTES,
    TIMING,
    configuration_entry,
    route_resource,
)

PROCESSES = 4
MEMORY_MB = 300
STEADY_S = 3.0  # Longer than a process that was woken takes to follow the registry again.
TIMEOUT_S = 10.0


async def wait_for_route(process: ProcessUnderTest, session: ClientSession, path: str) -> None:
    """Waits until a process has a route whose service has no instance, and refuses its requests."""
    url = f"http://{process.host}:{process.ports.calls}{path}"
    number = 0
    while True:
        number += 1
        request_id = f"{process.host}{path}{number}"
        headers = {"Host": "desk.example", "Request-Id": request_id, "Deadline-Ms": "1000"}
        async with session.get(url, headers=headers) as answer:
            if answer.status == 503:
                return
            assert answer.status == 404, answer.status
        await asyncio.sleep(POLL_INTERVAL_S)


async def test_changes_reach_the_zone_when_a_process_is_frozen():
    """Guards against followers that rely on a reader which is suspended and answers nobody."""
    first = configuration_entry(1, *STANDARD_ROUTES)
    took_s = {}
    async with run_processes(PROCESSES, first, MEMORY_MB) as fleet, ClientSession() as session:
        # One of them reads the registry for the zone.
        for version, frozen in enumerate(fleet.processes, 2):
            await asyncio.sleep(STEADY_S)
            others = [process for process in fleet.processes if process is not frozen]
            frozen.process.send_signal(signal.SIGSTOP)
            try:
                path = f"/new-{version}/"
                new = route_resource(prefix=path, service="nowhere")
                routes, services = (*STANDARD_ROUTES, new), ("desk", "nowhere")
                changed = configuration_entry(version, *routes, services=services)
                fleet.store.put("op/config", changed)
                changed_at_s = read_monotonic_s()
                async with asyncio.timeout(TIMEOUT_S), asyncio.TaskGroup() as group:
                    for process in others:
                        group.create_task(wait_for_route(process, session, path))
                took_s[frozen.host] = read_monotonic_s() - changed_at_s
            finally:
                frozen.process.send_signal(signal.SIGCONT)
    assert max(took_s.values()) < TIMING.apply_s, took_s


load_tests = function_tests(__name__)
