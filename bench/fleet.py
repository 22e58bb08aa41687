"""Starts a fleet of real processes on loopback for the demo and the benchmarks."""

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
    """A process of the fleet, not yet started, running or ended.

    Attributes:
      name: Name of its settings file and its log file.
      module: Python module that it runs.
      settings: Content of its settings file.
      handle: The child process, None before the first start.
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
        """Sends a signal if the process is running."""
        if self.handle and self.handle.returncode is None:
            self.handle.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.signal(signal.SIGKILL)
        if self.handle:
            await self.handle.wait()


@attrs.define
class Node(Process):
    """A node process and the upstream behind it.

    Attributes:
      upstream: The upstream stand-in, None if the fleet runs without upstreams.
    """

    upstream: Process | None = None

    @property
    def node_id(self) -> str:
        """Id of the node."""
        return self.settings["identity"]["node_id"]

    @property
    def zone(self) -> str:
        """Zone of the node."""
        return self.settings["identity"]["zone"]

    @property
    def service(self) -> str:
        """Service of the node's upstream."""
        return self.settings["identity"]["service"]

    def url(self, port_name: str) -> str:
        """Returns the base URL of a port, call_port or admin_port."""
        return f"http://{HOST}:{self.settings['listen'][port_name]}"


@attrs.define
class Fleet:
    """The running processes of one deployment.

    Attributes:
      deployment: The deployment.
      folder: Temporary folder of settings files and logs.
      platform: The platform stand-in.
      nodes: The nodes with their upstreams.
      session: HTTP client for the ports of the fleet.
    """

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
        """Publishes a value on the platform stand-in and returns its revision.

        Args:
          name: Name of the value.
          content: Content of the value.
          revision: Revision to give it, None for the next one.
        """
        params = {} if revision is None else {"revision": str(revision)}
        url = f"{self.platform_url}/control/values/{name}"
        async with self.session.put(url, data=content, params=params) as response:
            return (await response.json())["revision"]

    async def set_faults(self, **faults) -> None:
        """Replaces the injected faults of the platform stand-in; no arguments remove them all."""
        async with self.session.put(f"{self.platform_url}/control/faults", json=faults) as response:
            response.raise_for_status()

    async def platform_stats(self) -> dict:
        """Returns the read counts of the platform stand-in."""
        async with self.session.get(f"{self.platform_url}/control/stats") as response:
            return await response.json()

    async def status(self, node: Node, timeout_s: float = 2.0) -> dict | None:
        """Returns the status of a node, None if it does not respond in time."""
        try:
            url = node.url("admin_port") + "/status"
            timeout = ClientTimeout(total=timeout_s)
            async with self.session.get(url, timeout=timeout) as response:
                return await response.json()
        except (ClientError, OSError, TimeoutError):
            return None

    async def statuses(self) -> list[dict | None]:
        """Returns the status of every node, in the order of ``nodes``."""
        return await asyncio.gather(*(self.status(node) for node in self.nodes))

    async def events(self, node: Node) -> list[dict]:
        """Returns the entries of a node's time line."""
        async with self.session.get(node.url("admin_port") + "/timeline") as response:
            return await response.json()

    async def wait_for_revision(self, revision: int, nodes: list[Node] | None = None) -> None:
        """Waits until nodes are serving with at least a revision in force.

        Args:
          revision: The revision.
          nodes: Nodes to wait for, None for all.

        Raises:
          TimeoutError: A node did not reach the revision within READY_TIMEOUT_S.
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
    instances = [(plan, number) for plan in deployment.services for number in range(plan.instances)]
    nodes = []
    for index, (plan, number) in enumerate(instances):
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
    """Sets the seeds of every node to the first two nodes of each zone."""
    by_zone: dict[str, list[str]] = {}
    for node in nodes:
        address = f"{HOST}:{node['listen']['peer_port']}"
        by_zone.setdefault(node["identity"]["zone"], []).append(address)
    seeds = [address for addresses in by_zone.values() for address in addresses[:2]]
    for node in nodes:
        node["exchange"] = {"seeds": seeds}


def _upstream(settings: dict, slots: int, work_ms: float, extra_settings: dict) -> Process:
    instance = settings["identity"]["node_id"]
    port = int(settings["upstream"]["base_url"].rpartition(":")[2])
    common = {"host": HOST, "port": port, "instance": instance, "slots": slots, "work_ms": work_ms}
    return Process(
        f"upstream-{instance}", "ibisrack.bin.ibis_standin_upstream", common | extra_settings
    )


@asynccontextmanager
async def started_fleet(
    deployment: Deployment,
    upstreams: bool = True,
    work_ms: float = 5.0,
    upstream_settings: dict | None = None,
) -> AsyncIterator[Fleet]:
    """Publishes the rules of a deployment, starts its processes and kills them on exit.

    Args:
      deployment: The deployment to start.
      upstreams: Whether to start upstream stand-ins too.
      work_ms: Duration of a call at an upstream, unless the request sets one.
      upstream_settings: Additional settings of every upstream stand-in.
    """
    extra_settings = upstream_settings or {}
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
                _upstream(s, slots[s["identity"]["service"]], work_ms, extra_settings)
                if upstreams
                else None
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
