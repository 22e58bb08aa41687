"""Starts a fleet of real processes on loopback for the demo and the benchmarks."""

import asyncio
import signal
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout

from bench.deployments import Deployment
from bench.fleet_settings import node_settings, upstream_process
from bench.processes import HOST, Node, Process, free_ports

READY_TIMEOUT_S = 60.0


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
    settings = node_settings(deployment, ports, platform_port)
    slots = {plan.service: plan.slots for plan in deployment.services}
    nodes = [
        Node(
            f"node-{s['identity']['node_id']}",
            "ibisrack.bin.ibis_node",
            s,
            upstream=(
                upstream_process(s, slots[s["identity"]["service"]], work_ms, extra_settings)
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
