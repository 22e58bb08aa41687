"""Fixtures for sidecars: registry entries, and a small fleet on loopback addresses."""

import asyncio
import json
import logging
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager, suppress

import attrs
from aiohttp import ClientResponse, ClientSession

from ibisrack.instances.model import Instance
from ibisrack.registry.timing import RegistryTiming
from ibisrack.routing.model import Repeats, Route, RoutePart
from ibisrack.settings.sidecar import Address, SidecarSettings
from ibisrack.sidecar.node import SidecarNode
from ibisrack.sidecar.run import serving
from ibisrack.standins.instance import StandInInstance, serve_instance
from ibisrack.standins.store import StandInStore, serve_store

TIMING = RegistryTiming(2.0, 1.5)  # Of the default settings.
POLL_INTERVAL_S = 0.01
CONDITION_TIMEOUT_S = 5.0
FIXTURE_PORTS = range(10_000, 32_000)


def route(name: str = "r", **fields) -> Route:
    """Returns a route with defaults for a test."""
    defaults = {
        "host": "desk.example",
        "prefix": "/notices/",
        "repeats": Repeats.ALLOWED,
        "timeout_s": 2.0,
        "target_s": 0.5,
        "priority": 0,
        "max_attempts": 2,
        "parts": (RoutePart("desk", 1),),
    }
    return Route(name=name, **{**defaults, **fields})


def instance(instance_id: str = "i-1", **fields) -> Instance:
    """Returns an instance with defaults for a test."""
    defaults = {"service": "desk", "host": "10.0.0.1", "port": 80, "zone": "a", "slots": 2}
    return Instance(instance_id=instance_id, **{**defaults, **fields})


def instance_entry(listed: Instance) -> bytes:
    """Returns the registry entry of an instance, as JSON."""
    body = {
        "address": f"{listed.host}:{listed.port}",
        "born": listed.started_at_ms,
        "info": {
            "service": listed.service,
            "version": "v1",
            "zone": listed.zone,
            "slots": listed.slots,
        },
        "status": {
            "state": str(listed.state),
            "seq": listed.sequence,
            "cold_remaining": f"{listed.cold_left_s}s",
        },
    }
    return json.dumps(body).encode()


def route_resource(kind: str = "idempotent", **spec) -> dict:
    """Returns a route as a resource of the platform's configuration."""
    defaults = {
        "host": "desk.example",
        "prefix": "/notices/",
        "kind": kind,
        "timeout": "2000ms",
        "target_latency": "500ms",
        "priority": 0,
        "service": "desk",
        "max_attempts": 2,
    }
    name = f"r-{kind}-{spec.get('prefix', '')}"
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": {**defaults, **spec}}


def configuration_entry(
    version: int, *routes: dict, services: tuple[str, ...] = ("desk",), **service_options: object
) -> bytes:
    """Returns the registry entry of a configuration, as JSON.

    Args:
      version: Version of the configuration.
      routes: Route resources.
      services: Names of the services.
      service_options: Further options of each service, by the platform's names.
    """
    options = {"health_path": "/healthz", "max_connections": 50, "protocol": "h1", "tls": False}
    options |= service_options
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout": "3000ms",
        "idle_timeout": "15s",
    }
    resources = [
        *routes,
        *(
            {"resource_type": "services", "metadata": {"name": n}, "spec": options}
            for n in services
        ),
        {"resource_type": "limits", "metadata": {}, "spec": limits},
    ]
    return json.dumps({"version": f"{version:08x}", "resources": resources}).encode()


STANDARD_ROUTES = (
    route_resource(),
    route_resource("non_idempotent", prefix="/lodge/"),
)


@attrs.define(eq=False)
class SidecarFleet:
    """Running sidecars with their instances and the registry's store.

    Attributes:
      store: The stand-in for the registry's store.
      nodes: The sidecars.
      instances: The local instance of each sidecar, in the order of nodes.
      session: HTTP client session of the callers.
    """

    store: StandInStore
    nodes: list[SidecarNode]
    instances: list[StandInInstance]
    session: ClientSession
    _stack: AsyncExitStack
    _stops: list[Callable[[], Awaitable[None]]] = attrs.field(factory=list)
    _instance_stops: list[Callable[[], Awaitable[None]]] = attrs.field(factory=list)

    async def start_instance(self, number: int, address: Address) -> None:
        """Starts the instance of a sidecar."""
        stack = await self._stack.enter_async_context(AsyncExitStack())
        serving_instance = serve_instance(self.instances[number], address.host, address.port)
        await stack.enter_async_context(serving_instance)
        self._instance_stops[number:] = [stack.aclose, *self._instance_stops[number + 1 :]]

    async def crash_instance(self, number: int) -> None:
        """Ends an instance with all its connections; its registry entry stays."""
        await self._instance_stops[number]()

    async def stop_sidecar(self, number: int) -> None:
        """Closes the serving context of a sidecar, as its process does after draining."""
        await self._stops[number]()

    async def start_sidecar(self, settings: SidecarSettings) -> SidecarNode:
        """Starts a sidecar and returns it."""
        stack = await self._stack.enter_async_context(AsyncExitStack())
        node = await stack.enter_async_context(serving(settings))
        self.nodes.append(node)
        self._stops.append(stack.aclose)
        return node

    async def restart_sidecar(self, number: int) -> None:
        """Stops a sidecar and starts one that knows nothing in its place."""
        await self.stop_sidecar(number)
        await self.start_sidecar(self.nodes[number].settings)
        self.nodes[number] = self.nodes.pop()
        self._stops[number] = self._stops.pop()

    async def send_request(
        self,
        number: int,
        path: str = "/notices/7",
        request_id: str = "q-1",
        method: str = "GET",
        deadline_ms: int = 2000,
        **options,
    ) -> tuple[ClientResponse, bytes]:
        """Sends a request as a local caller of a sidecar.

        Args:
          number: Index of the sidecar.
          path: Path of the request.
          request_id: Value of the Request-Id header.
          method: HTTP method.
          deadline_ms: Value of the Deadline-Ms header.
          options: Options of aiohttp's request; "headers" replace or extend the default ones.

        Returns:
          The answer and its body.
        """
        calls = self.nodes[number].settings.calls
        headers = {
            "Host": "desk.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            **options.pop("headers", {}),
        }
        url = f"http://{calls.host}:{calls.port}{path}"
        async with self.session.request(method, url, headers=headers, **options) as answer:
            return answer, await answer.read()

    def register_instance(self, number: int, **changes) -> None:
        """Writes the registry entry of an instance.

        Args:
          number: Index of the sidecar and of its instance.
          changes: Fields that differ from the defaults.
        """
        settings = self.nodes[number].settings
        address = settings.instance
        listed = instance(
            self.instances[number].instance_id,
            **{"host": address.host, "port": address.port, "zone": settings.zone, **changes},
        )
        self.store.put(f"servers/{listed.instance_id}", instance_entry(listed))


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds; raises TimeoutError after CONDITION_TIMEOUT_S."""
    async with asyncio.timeout(CONDITION_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)


class _RecordCollector(logging.Handler):
    """Appends each log record to a list."""

    def __init__(self, records: list[logging.LogRecord]) -> None:
        super().__init__()
        self.records = records

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


@contextmanager
def capture_log() -> Iterator[list[logging.LogRecord]]:
    """Collects the project's log records; the test runner disables logging otherwise."""
    logger, records = logging.getLogger("ibisrack"), []
    handler, level = _RecordCollector(records), logger.level
    logging.disable(logging.NOTSET)
    logger.addHandler(handler)
    logger.setLevel(logging.DEBUG)
    logger.propagate = False
    try:
        yield records
    finally:
        logger.propagate = True
        logger.setLevel(level)
        logger.removeHandler(handler)
        logging.disable(logging.CRITICAL)


def free_ports(count: int) -> list[int]:
    """Returns TCP ports free on 127.0.0.1; a test uses them on all its loopback addresses.

    They are below the ports that the system gives to outgoing connections, one of which could
    otherwise take a port before its server listens.
    """
    ports: list[int] = []
    for port in random.sample(FIXTURE_PORTS, len(FIXTURE_PORTS)):
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            break
    return ports


@asynccontextmanager
async def run_sidecars(
    count: int, routes: tuple[dict, ...] = STANDARD_ROUTES, zones: str = "a"
) -> AsyncIterator[SidecarFleet]:
    """Runs sidecars on 127.0.0.1, 127.0.0.2 and so on, with the same ports on each.

    Args:
      count: Number of sidecars.
      routes: Route resources of the configuration.
      zones: Names of the zones, one letter each, to which the sidecars belong in turn.
    """
    app, calls, links, ready, metrics = free_ports(5)
    async with AsyncExitStack() as stack:
        store, store_port = await stack.enter_async_context(serve_store("127.0.0.1"))
        store.put("op/config", configuration_entry(1, *routes))
        session = await stack.enter_async_context(ClientSession())
        fleet = SidecarFleet(store, [], [], session, stack)
        for number in range(count):
            host = f"127.0.0.{number + 1}"
            stand_in = StandInInstance(f"i-{number}")
            settings = SidecarSettings(
                node_id=f"node-{number}",
                service="desk",
                zone=zones[number % len(zones)],
                instance=Address(host, app),
                calls=Address(host, calls),
                links=Address(host, links),
                ready=Address(host, ready),
                registry=Address("127.0.0.1", store_port),
                metrics=Address(host, metrics),
                retry_slack=100.0,
            )
            fleet.instances.append(stand_in)
            await fleet.start_instance(number, settings.instance)
            await fleet.start_sidecar(settings)
            fleet.register_instance(number)
        await wait_until(lambda: all(len(node.directory.all()) == count for node in fleet.nodes))
        yield fleet
