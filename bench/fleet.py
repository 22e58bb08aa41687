"""Starts a fleet of real processes on loopback for the demo and the benches."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout

from bench.deployments import Deployment

HOST = "127.0.0.1"
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0


def free_ports(count: int) -> list[int]:
    """Returns TCP ports that are free on loopback, outside the ephemeral range."""
    ports: list[int] = []
    candidate = 10_000 + (os.getpid() * 37) % 15_000
    while len(ports) < count:
        candidate = candidate + 1 if candidate < 32_000 else 10_000
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, candidate))
            except OSError:
                continue
        ports.append(candidate)
    return ports


@attrs.define
class Process:
    """A started process.

    Attributes:
      name: Name for messages.
      module: Python module that it runs.
      settings: Its settings.
      handle: The operating system's process.
    """

    name: str
    module: str
    settings: dict
    handle: asyncio.subprocess.Process | None = None

    async def start(self, folder: Path) -> None:
        """Writes the settings file and starts the process."""
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = (folder / f"{self.name}.log").open("ab")
        command = [sys.executable, "-m", self.module, f"--settings={path}"]
        self.handle = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        log.close()

    def signal(self, number: int) -> None:
        """Sends a signal if the process runs."""
        if self.handle and self.handle.returncode is None:
            self.handle.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.handle:
            await self.handle.wait()


@attrs.define
class Node(Process):
    """A started node with the upstream beside it."""

    upstream: Process | None = None

    @property
    def node_id(self) -> str:
        """The node's id."""
        return self.settings["identity"]["node_id"]

    @property
    def zone(self) -> str:
        """The node's zone."""
        return self.settings["identity"]["zone"]

    @property
    def service(self) -> str:
        """Service of the upstream beside the node."""
        return self.settings["identity"]["service"]

    def url(self, port_name: str) -> str:
        """Returns the URL of a port: call_port or admin_port."""
        return f"http://{HOST}:{self.settings['listen'][port_name]}"


@attrs.define
class Fleet:
    """Platform, upstreams and nodes of one deployment."""

    deployment: Deployment
    folder: Path
    platform: Process
    nodes: list[Node]
    session: ClientSession

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://{HOST}:{self.platform.settings['port']}"

    async def publish(self, name: str, content: bytes, revision: int | None = None) -> int:
        """Publishes a value at the platform stand-in and returns its revision."""
        params = {} if revision is None else {"revision": str(revision)}
        url = f"{self.platform_url}/control/values/{name}"
        async with self.session.put(url, data=content, params=params) as answer:
            return (await answer.json())["revision"]

    async def faults(self, **faults) -> None:
        """Replaces the faults of the platform stand-in."""
        async with self.session.put(f"{self.platform_url}/control/faults", json=faults) as answer:
            answer.raise_for_status()

    async def platform_stats(self) -> dict:
        """Returns the counts of the platform stand-in."""
        async with self.session.get(f"{self.platform_url}/control/stats") as answer:
            return await answer.json()

    async def status(self, node: Node, timeout_s: float = 2.0) -> dict | None:
        """Returns a node's status, None when it does not answer."""
        try:
            url = node.url("admin_port") + "/status"
            timeout = ClientTimeout(total=timeout_s)
            async with self.session.get(url, timeout=timeout) as answer:
                return await answer.json()
        except (ClientError, OSError, TimeoutError):
            return None

    async def statuses(self) -> list[dict | None]:
        """Returns the status of every node."""
        return await asyncio.gather(*(self.status(node) for node in self.nodes))

    async def events(self, node: Node) -> list[dict]:
        """Returns the time line of a node."""
        async with self.session.get(node.url("admin_port") + "/timeline") as answer:
            return await answer.json()

    async def wait_for_revision(self, revision: int, nodes: list[Node] | None = None) -> None:
        """Waits until the nodes serve with a revision in force.

        Raises:
          TimeoutError: Some node did not get there.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in nodes or self.nodes:
                while True:
                    status = await self.status(node)
                    if status and status["state"] == "serving" and status["revision"] >= revision:
                        break
                    await asyncio.sleep(0.1)


def _node_settings(deployment: Deployment, ports: list[int], platform_port: int) -> list[dict]:
    zones = list(deployment.regions)
    places = [(plan, number) for plan in deployment.services for number in range(plan.instances)]
    nodes = []
    for index, (plan, number) in enumerate(places):
        zone = zones[index % len(zones)]
        call, peer, admin, upstream = ports[4 * index : 4 * index + 4]
        nodes.append(
            {
                "identity": {
                    "node_id": f"{plan.service}-{number}",
                    "service": plan.service,
                    "zone": zone,
                    "region": deployment.regions[zone],
                },
                "listen": {
                    "host": HOST,
                    "call_port": call,
                    "peer_port": peer,
                    "admin_port": admin,
                },
                "upstream": {"base_url": f"http://{HOST}:{upstream}"},
                "platform": {"base_url": f"http://{HOST}:{platform_port}"},
            }
        )
    return nodes


def _add_seeds(nodes: list[dict]) -> None:
    """Gives each node a few seeds: two of each zone."""
    by_zone: dict[str, list[str]] = {}
    for node in nodes:
        address = f"{HOST}:{node['listen']['peer_port']}"
        by_zone.setdefault(node["identity"]["zone"], []).append(address)
    seeds = [address for addresses in by_zone.values() for address in addresses[:2]]
    for node in nodes:
        node["exchange"] = {"seeds": seeds}


def _upstream(settings: dict, slots: int, work_ms: float, extra: dict) -> Process:
    instance = settings["identity"]["node_id"]
    port = int(settings["upstream"]["base_url"].rpartition(":")[2])
    own = {"host": HOST, "port": port, "instance": instance, "slots": slots, "work_ms": work_ms}
    return Process(f"upstream-{instance}", "ibisrack.bin.ibis_standin_upstream", own | extra)


@asynccontextmanager
async def started_fleet(
    deployment: Deployment,
    upstreams: bool = True,
    work_ms: float = 5.0,
    upstream_settings: dict | None = None,
) -> AsyncIterator[Fleet]:
    """Starts a fleet with its rules published and ends it afterwards.

    Args:
      deployment: What to start.
      upstreams: Whether upstream stand-ins are started too.
      work_ms: Mean time of a call at an upstream.
      upstream_settings: Further settings of every upstream stand-in.
    """
    extra = upstream_settings or {}
    count = sum(plan.instances for plan in deployment.services)
    platform_port, *ports = free_ports(4 * count + 1)
    platform = Process(
        "platform", "ibisrack.bin.ibis_standin_platform", {"host": HOST, "port": platform_port}
    )
    settings = _node_settings(deployment, ports, platform_port)
    _add_seeds(settings)
    slots = {plan.service: plan.slots for plan in deployment.services}
    nodes = [
        Node(
            f"node-{s['identity']['node_id']}",
            "ibisrack.bin.ibis_node",
            s,
            upstream=(
                _upstream(s, slots[s["identity"]["service"]], work_ms, extra) if upstreams else None
            ),
        )
        for s in settings
    ]
    with tempfile.TemporaryDirectory() as folder:
        async with ClientSession() as session:
            fleet = Fleet(deployment, Path(folder), platform, nodes, session)
            try:
                await _start(fleet)
                yield fleet
            finally:
                await _stop(fleet)


def _processes(fleet: Fleet) -> list[Process]:
    upstreams = [node.upstream for node in fleet.nodes if node.upstream]
    return [fleet.platform, *upstreams, *fleet.nodes]


async def _start(fleet: Fleet) -> None:
    await fleet.platform.start(fleet.folder)
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                await fleet.platform_stats()
                break
            except (ClientError, OSError):
                await asyncio.sleep(0.1)
    await fleet.publish("rules", fleet.deployment.rules)
    for process in _processes(fleet)[1:]:
        await process.start(fleet.folder)
    await fleet.wait_for_revision(1)


async def _stop(fleet: Fleet) -> None:
    processes = _processes(fleet)
    for process in processes:
        process.signal(signal.SIGCONT)
    await asyncio.gather(*(process.kill() for process in processes))
