"""Processes on loopback that the demo and the benchmarks start."""

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import attrs

HOST = "127.0.0.1"


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
