"""Demo for newcomers: a small fleet of sidecars on loopback addresses, set up as on the platform.

The store and the instances are stand-ins in this process; each sidecar is a separate process.
"""

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from aiohttp import ClientSession

from bench.sidecars import (
    POLL_INTERVAL_S,
    READY_TIMEOUT_S,
    Placement,
    Ports,
    SidecarProcess,
)
from ibisrack.ctl.main import run_command_line
from ibisrack.standins.instance import StandInInstance, serve_instance
from ibisrack.standins.store import StandInStore, serve_store
from ibisrack.testing.sidecars import (
    configuration_entry,
    free_ports,
    instance,
    instance_entry,
    route_resource,
)

SERVICES = ("desk", "desk", "desk", "docs", "docs", "docs")  # Service of each sidecar.
ZONES = ("north", "south")
INSTANCE_WORK_S = 0.02
INSTANCE_SLOTS = 4
REQUESTS_PER_PHASE = 300
FOLLOWED_REQUEST_ID = "normal-7"  # Looked up in the logs at the end.
MAX_CONCURRENT_REQUESTS = 16
ROUTES = (
    route_resource(),
    route_resource("non_idempotent", prefix="/lodge/"),
    route_resource(prefix="/docs/", service="docs"),
)


class FleetError(Exception):
    """A check of the fleet failed."""


@asynccontextmanager
async def _sidecar(
    number: int, ports: Ports, store: StandInStore, store_port: int, folder: Path
) -> AsyncIterator[SidecarProcess]:
    host = f"127.0.0.{number + 1}"
    placement = Placement(
        name=f"sidecar-{number}",
        service=SERVICES[number],
        zone=ZONES[number % len(ZONES)],
        host=host,
        links_host=host,
        store=f"127.0.0.1:{store_port}",
        ports=ports,
    )
    stand_in = StandInInstance(f"i-{number}", INSTANCE_WORK_S)
    registered = instance(
        stand_in.instance_id,
        service=placement.service,
        host=host,
        port=ports.app,
        zone=placement.zone,
        slots=INSTANCE_SLOTS,
    )
    sidecar = SidecarProcess(placement, folder)
    sidecar.write_settings(placement.settings())
    async with serve_instance(stand_in, host, ports.app):
        store.put(f"servers/{stand_in.instance_id}", instance_entry(registered))
        await sidecar.start()
        try:
            yield sidecar
        finally:
            await sidecar.kill()


async def _send_request(
    session: ClientSession, host: str, ports: Ports, path: str, request_id: str
) -> int:
    headers = {"Host": "desk.example", "Request-Id": request_id, "Deadline-Ms": "2000"}
    url = f"http://{host}:{ports.calls}{path}"
    async with session.get(url, headers=headers) as response:
        await response.read()
        return response.status


async def _send_requests(
    session: ClientSession, sidecars: list[SidecarProcess], ports: Ports, name: str
) -> None:
    start_s, concurrency = time.monotonic(), asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def send(number: int) -> int:
        path = "/docs/7" if number % 3 else "/notices/7"
        host = sidecars[number % len(sidecars)].host
        async with concurrency:
            return await _send_request(session, host, ports, path, f"{name}-{number}")

    statuses = await asyncio.gather(*map(send, range(REQUESTS_PER_PHASE)))
    served = statuses.count(200)
    print(f"{name}: {served} of {REQUESTS_PER_PHASE} served in {time.monotonic() - start_s:.2f} s")
    if served != REQUESTS_PER_PHASE:
        raise FleetError(f"{REQUESTS_PER_PHASE - served} requests were not served")


async def _run_demo(folder: Path) -> None:
    ports = Ports(*free_ports(5))
    async with AsyncExitStack() as stack:
        store, store_port = await stack.enter_async_context(serve_store("127.0.0.1"))
        store.put("op/config", configuration_entry(1, *ROUTES, services=("desk", "docs")))
        session = await stack.enter_async_context(ClientSession())
        sidecars = [
            await stack.enter_async_context(_sidecar(n, ports, store, store_port, folder))
            for n in range(len(SERVICES))
        ]
        for sidecar in sidecars:
            await sidecar.wait_until_ready(session)
        print(f"{len(sidecars)} sidecars are ready")
        await _send_requests(session, sidecars, ports, "normal")
        await _check_configuration_change(session, sidecars, ports, store)
        sidecars[0].process.kill()
        await _send_requests(session, sidecars[1:], ports, "one-killed")
        sidecars[3].signal(signal.SIGTERM)
        await _send_requests(session, sidecars[1:3] + sidecars[4:], ports, "one-stopping")
        code = await sidecars[3].process.wait()
        print(f"the stopping sidecar ended with exit status {code}")


async def _check_configuration_change(
    session: ClientSession, sidecars: list[SidecarProcess], ports: Ports, store: StandInStore
) -> None:
    """Publishes a version with a new route and waits until every sidecar serves the route."""
    routes = (*ROUTES, route_resource(prefix="/new/"))
    store.put("op/config", configuration_entry(2, *routes, services=("desk", "docs")))
    start_s = time.monotonic()
    async with asyncio.timeout(READY_TIMEOUT_S):
        for sidecar in sidecars:
            while await _send_request(session, sidecar.host, ports, "/new/1", "new") != 200:
                await asyncio.sleep(POLL_INTERVAL_S)
    print(f"version 2 in force on {len(sidecars)} in {time.monotonic() - start_s:.2f} s")


def main() -> int:
    """Runs the demo; returns 0 if every check passes, 1 otherwise."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(_run_demo(Path(folder)))
            print(f"\nibisctl follow {FOLLOWED_REQUEST_ID} LOGS")
            run_command_line(["follow", FOLLOWED_REQUEST_ID, str(Path(folder, "logs"))])
        except (FleetError, TimeoutError) as error:
            print(f"fleet failed: {error}", file=sys.stderr)
            return 1
    print("\nfleet passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
