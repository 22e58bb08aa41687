"""Starts sidecars as separate processes on loopback addresses, for the demo and the soak."""

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path

import attrs
import yaml
from aiohttp import ClientError, ClientSession, ClientTimeout

from ibisrack.platform.settings_file import METRICS_PORT_VARIABLE, SETTINGS_PATH_VARIABLE

GRACE_S = 6.0  # Time from SIGTERM until the platform kills the process.
READY_TIMEOUT_S = 20.0
READY_CHECK_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.05


@attrs.frozen
class Ports:
    """Ports of a sidecar and its instance, the same on every loopback address.

    Attributes:
      app: Port of the instance.
      calls: Port for requests from callers on the same host.
      links: Port for links from other sidecars.
      ready: Port of the readiness endpoint.
      metrics: Port of the metrics.
    """

    app: int
    calls: int
    links: int
    ready: int
    metrics: int


@attrs.frozen
class Placement:
    """Where a sidecar runs and what it serves.

    Attributes:
      name: Name of its host, and of its settings file and log.
      service: Service of its instance.
      zone: Availability zone.
      host: IP number of the host.
      links_host: IP number on which the process accepts links from other sidecars.
      store: Address of the registry's store, IP:PORT.
      ports: Ports of the sidecar.
    """

    name: str
    service: str
    zone: str
    host: str
    links_host: str
    store: str
    ports: Ports

    def settings(self, retry_slack: int = 60) -> dict:
        """Returns the content of the platform's settings file.

        Args:
          retry_slack: Retries allowed beyond the ratio of the retry budget.
        """
        ports = self.ports
        return {
            "self": {
                "node": self.name,
                "service": self.service,
                "zone": self.zone,
                "ip": self.host,
                "app_addr": f"{self.host}:{ports.app}",
            },
            "network": {
                "listen": {
                    "inbound": f"{self.links_host}:{ports.links}",
                    "outbound": f"{self.host}:{ports.calls}",
                    "ready": f"{self.host}:{ports.ready}",
                }
            },
            "platform": {"platform": {"address": self.store}},
            "terms": {
                "bounds": {
                    "grace": f"{GRACE_S:g}s",
                    "retry_budget_ratio": 0.2,
                    "budget_slack": retry_slack,
                }
            },
        }


@attrs.define(eq=False)
class SidecarProcess:
    """A sidecar process, not yet started, running or ended.

    Attributes:
      placement: Where it runs.
      folder: Folder of its settings file and of the folder "logs".
      process: The child process, None before the first start.
    """

    placement: Placement
    folder: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def host(self) -> str:
        """IP number of its host."""
        return self.placement.host

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self, settings: dict) -> None:
        """Replaces the settings file."""
        path = self._settings_path()
        changed = path.with_suffix(".new")
        changed.write_text(yaml.safe_dump(settings))
        changed.replace(path)

    async def start(self) -> None:
        """Starts the process with the current settings file; its log is appended to."""
        logs = self.folder / "logs"
        logs.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            SETTINGS_PATH_VARIABLE: str(self._settings_path()),
            METRICS_PORT_VARIABLE: str(self.placement.ports.metrics),
        }
        with (logs / f"{self.placement.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "ibisrack.bin.ibis_sidecar"),
                stdout=output,
                stderr=output,
                env=environment,
            )

    def signal(self, number: int) -> None:
        """Sends a signal if the process is running."""
        if self.running:
            # Popen.send_signal would reap a process that has just ended; its status would be lost.
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self, session: ClientSession) -> bool:
        """Sends one readiness check and returns whether it succeeds."""
        url = f"http://{self.host}:{self.placement.ports.ready}/-/readyz"
        timeout = ClientTimeout(total=READY_CHECK_TIMEOUT_S)
        try:
            async with session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (ClientError, OSError, TimeoutError):
            return False

    async def wait_until_ready(self, session: ClientSession) -> None:
        """Waits for readiness; raises TimeoutError after READY_TIMEOUT_S."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready(session):
                await asyncio.sleep(POLL_INTERVAL_S)

    def _settings_path(self) -> Path:
        return self.folder / f"{self.placement.name}.yaml"
