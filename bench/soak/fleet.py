"""The processes, instances, store and network of a soak, on loopback addresses."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path

import attrs
from aiohttp import ClientSession

from bench.fleet import free_ports
from bench.sidecars import Placement, Ports, SidecarProcess
from bench.soak.history import VERSION_PATH, History, UnexpectedExit
from bench.soak.instances import SLOTS, SoakInstance
from ibisrack.instances.model import InstanceState
from ibisrack.platform.entries import EVACUATION_PREFIX
from ibisrack.standins.instance import RequestContent, StandInInstance, serve_instance
from ibisrack.standins.store import StandInStore, serve_store
from ibisrack.testing.sidecars import (
    configuration_entry,
    instance,
    instance_entry,
    route_resource,
)
from ibisrack.testing.tcp_proxy import STORE, Network

SERVICES = ("desk", "docs")
ZONES = ("north", "south", "west")
ROUTE_TIMEOUT_S = 2.5
STORE_HOST = "127.0.3.1"
# Exit statuses after SIGTERM or SIGKILL; a process that is still starting has no handler.
STOPPED_STATUSES = frozenset((0, -9, -15))


def version_prefix(version: int) -> str:
    """Returns the path prefix of the route that a version of the configuration adds."""
    return f"{VERSION_PATH}{version}/"


def configuration(version: int, filler_routes: int) -> bytes:
    """Returns the registry entry of a version, which keeps the routes of the earlier ones.

    Args:
      version: Number of the version.
      filler_routes: Number of routes that no caller uses; each takes about 290 bytes.
    """
    # With all digits of a float, as programs print a quotient.
    options = {
        "timeout": f"{ROUTE_TIMEOUT_S:.16f}s",
        "target_latency": f"{1000 / 3!r}ms",
    }
    routes = (
        route_resource(prefix="/notices/", **options),
        route_resource("non_idempotent", prefix="/lodge/", **options),
        route_resource(prefix="/docs/", service="docs", priority=1, **options),
        route_resource("download", prefix="/scans/", service="docs", priority=2, **options),
        *(route_resource(prefix=version_prefix(v), **options) for v in range(1, version + 1)),
        *(route_resource(prefix=f"/filler/{n}/", **options) for n in range(filler_routes)),
    )
    # Versions on the wire increase in uneven steps.
    return configuration_entry(version * 3 + version % 2, *routes, services=SERVICES)


@attrs.define(eq=False)
class Member:
    """A host of the fleet: its sidecar process and its instance.

    Attributes:
      number: Number of the sidecar, from 1.
      sidecar: The process.
      instance: The instance.
      history: Receives unexpected ends of the process.
      incarnation: Number of starts of the process so far.
      state: State of the instance in its entry.
      responded: Whether this incarnation has answered a request.
      stopped: Whether this incarnation was told to end.
    """

    number: int
    sidecar: SidecarProcess
    instance: SoakInstance
    history: History
    incarnation: int = 0
    state: InstanceState = InstanceState.READY
    responded: bool = False
    stopped: bool = False
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _watchers: set[asyncio.Task] = attrs.field(factory=set)

    async def start(self) -> None:
        """Starts the process unless it is running."""
        async with self._lock:
            if self.sidecar.running:
                return
            self.incarnation += 1
            self.responded = self.stopped = False
            await self.sidecar.start()
            watcher = asyncio.create_task(self._watch(self.sidecar.process))
            self._watchers.add(watcher)
            watcher.add_done_callback(self._watchers.discard)

    def end(self, number: int) -> None:
        """Sends a signal that ends the process."""
        if self.sidecar.running:
            self.stopped = True
            self.sidecar.signal(number)

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if not self.stopped or status not in STOPPED_STATUSES:
            self.history.exits.append(UnexpectedExit(self.number, status, time.monotonic()))


@attrs.define(eq=False)
class SoakFleet:
    """A running fleet.

    Attributes:
      seed: Seed of the run.
      history: Receives all observations.
      network: Paths between the sidecars and to the store.
      store: The registry's store.
      members: Hosts by number.
      session: HTTP session for readiness checks.
      version: Latest version of the configuration.
      filler_routes: Number of routes of the configuration that no caller uses.
      deadly: Requests that crash the instances that run them.
      evacuated: Zones that are evacuated.
      ending: Whether callers are to stop.
    """

    seed: int
    history: History
    network: Network
    store: StandInStore
    members: dict[int, Member]
    session: ClientSession
    version: int = 0
    filler_routes: int = 0
    deadly: set[RequestContent] = attrs.field(factory=set)
    evacuated: set[str] = attrs.field(factory=set)
    ending: bool = False

    def publish(self) -> None:
        """Writes the next version of the configuration to the store."""
        self.version += 1
        self._put_configuration()
        self.history.versions[self.version] = time.monotonic()

    def replace_entry(self, member: Member, earlier_id: str) -> None:
        """Writes the entry of a new instance at a member's address in place of the earlier one."""
        self.store.delete(f"servers/{earlier_id}")
        self.register(member)

    def evacuate(self, zone: str) -> None:
        """Writes the key of an evacuated zone."""
        self.evacuated.add(zone)
        self.store.put(EVACUATION_PREFIX + zone, b"")

    def take_back(self, zone: str) -> None:
        """Removes the key of an evacuated zone."""
        self.evacuated.discard(zone)
        self.store.delete(EVACUATION_PREFIX + zone)

    def rewrite(self) -> None:
        """Writes again what the store may have lost, and removes what has left since."""
        current = {f"servers/{m.instance.stand_in.instance_id}" for m in self.members.values()}
        for key in self.store.keys("servers/"):
            if key not in current:
                self.store.delete(key)
        for member in self.members.values():
            self.register(member, member.state)
        for key in self.store.keys(EVACUATION_PREFIX):
            if key.removeprefix(EVACUATION_PREFIX) not in self.evacuated:
                self.store.delete(key)
        for zone in self.evacuated:
            self.store.put(EVACUATION_PREFIX + zone, b"")
        self._put_configuration()

    def _put_configuration(self) -> None:
        self.store.put("op/config", configuration(self.version, self.filler_routes))

    def register(self, member: Member, state: InstanceState = InstanceState.READY) -> None:
        """Writes the registry entry of a member's instance."""
        stand_in, placement = member.instance.stand_in, member.sidecar.placement
        member.state = state
        entry = instance(
            stand_in.instance_id,
            service=placement.service,
            host=placement.host,
            port=placement.ports.app,
            zone=placement.zone,
            slots=SLOTS,
            state=state,
            started_at_ms=stand_in.started_at_ms,
            sequence=int(state is InstanceState.DRAINING),
        )
        self.store.put(f"servers/{stand_in.instance_id}", instance_entry(entry))


@asynccontextmanager
async def started_fleet(
    seed: int, sidecars: int, zones: int, folder: Path
) -> AsyncIterator[SoakFleet]:
    """Starts a fleet, waits until every sidecar is ready, and ends its processes on exit."""
    history = History()
    network = Network({f"127.0.1.{number}": number for number in range(1, sidecars + 1)})
    ports = Ports(*free_ports(5))
    async with AsyncExitStack() as stack:
        store, store_port = await stack.enter_async_context(serve_store(STORE_HOST))
        store_address = (STORE_HOST, store_port)
        session = await stack.enter_async_context(ClientSession())
        fleet = SoakFleet(seed, history, network, store, {}, session)
        fleet.publish()
        for number in range(1, sidecars + 1):
            placement = Placement(
                name=f"sidecar-{number}",
                service=SERVICES[number % len(SERVICES)],
                zone=ZONES[number % zones],
                host=f"127.0.0.{number}",
                links_host=f"127.0.1.{number}",
                store=f"127.0.2.{number}:{store_port}",
                ports=ports,
            )
            stand_in = StandInInstance(f"i-{number}", deadly=fleet.deadly)
            soak_instance = SoakInstance(number, history, stand_in)
            stand_in.custom_handler = soak_instance.handle
            sidecar = SidecarProcess(placement, folder)
            sidecar.write_settings(placement.settings())
            member = fleet.members[number] = Member(number, sidecar, soak_instance, history)
            stand_in.on_restart = partial(fleet.replace_entry, member)
            for server in (
                serve_instance(stand_in, placement.host, ports.app),
                network.relayed_links(number, placement.host, (placement.links_host, ports.links)),
                network.relayed((number, STORE), f"127.0.2.{number}", store_port, store_address),
            ):
                await stack.enter_async_context(server)
            fleet.register(member)
            stack.push_async_callback(_end, member)
            await member.start()
        for member in fleet.members.values():
            await member.sidecar.wait_until_ready(session)
        yield fleet


async def _end(member: Member) -> None:
    member.stopped = True
    await member.sidecar.kill()
