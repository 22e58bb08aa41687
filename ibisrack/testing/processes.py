"""Runs sidecars as separate processes on loopback addresses and watches what they hold.

The store and the instances are stand-ins in the process of the test.
"""

import asyncio
import itertools
import os
import sys
import tempfile
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

import attrs
import psutil
import yaml
from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout, TCPConnector, web

from ibisrack.platform.settings_file import SETTINGS_PATH_VARIABLE
from ibisrack.standins.instance import StandInInstance, serve_instance
from ibisrack.standins.store import StandInStore, serve_store
from ibisrack.testing.sidecars import free_ports, instance, instance_entry

MEGABYTE = 1_000_000  # The settings state the memory of a machine in MB.
READY_TIMEOUT_S = 30.0
CHECK_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
SAMPLE_INTERVAL_S = 0.01
REQUEST_TIMEOUT_S = 60.0  # Of an ordinary request with all its attempts; ample on a busy machine.
DEADLINE_MS = 30_000
DEFAULT_RETRY_S = 0.2


@attrs.frozen
class Ports:
    """Ports of a sidecar and its instance, the same on every loopback address."""

    app: int
    calls: int
    links: int
    ready: int


@attrs.define(eq=False)
class HeldResources:
    """Largest amounts that a process was seen to hold.

    Attributes:
      pid: Id of the process.
      peak_bytes: Resident memory, and the bytes that it received and has not read, which count
        towards the memory of its machine.
      peak_descriptors: Open file descriptors.
    """

    pid: int
    peak_bytes: int = 0
    peak_descriptors: int = 0

    def sample(self) -> None:
        """Takes a sample; raises OSError or psutil.Error if the process has ended."""
        sockets = set()
        descriptors = os.listdir(f"/proc/{self.pid}/fd")
        for name in descriptors:
            with suppress(OSError):  # It was closed meanwhile.
                sockets.add(os.readlink(f"/proc/{self.pid}/fd/{name}"))
        resident_bytes = psutil.Process(self.pid).memory_info().rss
        self.peak_bytes = max(self.peak_bytes, resident_bytes + _unread_bytes(sockets))
        self.peak_descriptors = max(self.peak_descriptors, len(descriptors))

    def include_peak(self) -> None:
        """Includes the largest resident memory, which may have been between two samples."""
        for line in Path(f"/proc/{self.pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith("VmHWM:"):
                self.peak_bytes = max(self.peak_bytes, int(line.split()[1]) * 1024)


def _unread_bytes(sockets: set[str]) -> int:
    """Returns the number of bytes that the given TCP sockets received and nobody has read."""
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table.readlines()[1:]:
            fields = line.split()
            if f"socket:[{fields[9]}]" in sockets and fields[3] != "0A":  # Not a listener.
                total += int(fields[4].partition(":")[2], 16)
    return total


@attrs.define(eq=False)
class ProcessUnderTest:
    """A sidecar process with its stand-in instance.

    Attributes:
      host: IP number of its machine.
      ports: Its ports.
      memory_mb: Memory of its machine.
      max_descriptors: File descriptors of its machine.
      instance: The instance beside it.
      process: The process.
      held: What it was seen to hold.
    """

    host: str
    ports: Ports
    memory_mb: int
    max_descriptors: int
    instance: StandInInstance
    process: asyncio.subprocess.Process | None = None
    held: HeldResources | None = None
    _stopped: threading.Event = attrs.field(factory=threading.Event)
    _sampler: threading.Thread | None = None

    def settings(self, store_port: int) -> dict:
        """Returns the content of the settings file."""
        return {
            "self": {
                "node": f"node-{self.host}",
                "service": "desk",
                "zone": "a",
                "ip": self.host,
                "app_addr": f"{self.host}:{self.ports.app}",
                "limits": {
                    "memory_mb": self.memory_mb,
                    "max_fds": self.max_descriptors,
                    "link_mbps": 10_000,
                },
            },
            "network": {
                "listen": {
                    "inbound": f"{self.host}:{self.ports.links}",
                    "outbound": f"{self.host}:{self.ports.calls}",
                    "ready": f"{self.host}:{self.ports.ready}",
                }
            },
            "platform": {"platform": {"address": f"127.0.0.1:{store_port}"}},
            "terms": {"bounds": {"grace": "6s", "budget_slack": 100}},
        }

    async def start(self, store_port: int, folder: Path) -> None:
        """Starts the process and begins to watch it."""
        path = folder / f"{self.host}.yaml"
        path.write_text(yaml.safe_dump(self.settings(store_port)))
        environment = {**os.environ, SETTINGS_PATH_VARIABLE: str(path)}
        with (folder / f"{self.host}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "ibisrack.bin.ibis_sidecar"),
                stdout=output,
                stderr=output,
                env=environment,
            )
        self.held = HeldResources(self.process.pid)
        # A thread of its own, as a crowd of clients keeps the event loop busy.
        self._sampler = threading.Thread(target=self._sample, daemon=True)
        self._sampler.start()

    def _sample(self) -> None:
        with suppress(OSError, psutil.Error):
            while not self._stopped.wait(SAMPLE_INTERVAL_S):
                self.held.sample()

    async def stop(self) -> None:
        """Ends the process."""
        self._stopped.set()
        if self._sampler is not None:
            self._sampler.join()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def check(self) -> None:
        """Checks that the process has not ended and holds no more than its machine has.

        Raises:
          AssertionError: It has ended, or holds more.
        """
        assert self.process.returncode is None, f"ended with {self.process.returncode}"
        self.held.sample()
        self.held.include_peak()
        held_mb = self.held.peak_bytes / MEGABYTE
        assert held_mb <= self.memory_mb, f"held {held_mb:.1f} MB of {self.memory_mb}"
        descriptors = self.held.peak_descriptors
        assert descriptors <= self.max_descriptors, f"{descriptors} of {self.max_descriptors} open"


@attrs.define(eq=False)
class ProcessFleet:
    """Sidecar processes under test.

    Attributes:
      processes: The processes.
      store: The stand-in for the registry's store.
    """

    processes: list[ProcessUnderTest]
    store: StandInStore
    _request_numbers: itertools.count = attrs.field(factory=itertools.count)

    def check(self) -> None:
        """Checks all processes; see ``ProcessUnderTest.check``."""
        for process in self.processes:
            process.check()

    async def request(self, number: int, path: str, body: bytes = b"") -> int:
        """Sends a request as an ordinary caller, again whenever it is refused as not run.

        Returns:
          The status of the last response.

        Raises:
          TimeoutError: It was not answered in REQUEST_TIMEOUT_S.
        """
        process = self.processes[number]
        url = f"http://{process.host}:{process.ports.calls}{path}"
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while True:
                request_id = f"ordinary-{next(self._request_numbers)}"
                try:
                    status, retry_s = await _attempt(url, request_id, body)
                except (ClientError, OSError):
                    status, retry_s = 503, DEFAULT_RETRY_S
                if status not in (408, 429, 503):
                    return status
                await asyncio.sleep(retry_s)


async def _attempt(url: str, request_id: str, body: bytes) -> tuple[int, float]:
    """Sends a request on a new connection; returns its status and when to come back."""
    headers = {
        "Host": "desk.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(DEADLINE_MS),
        "Connection": "close",
    }
    async with ClientSession(connector=TCPConnector(force_close=True)) as session:
        async with session.post(url, headers=headers, data=body) as response:
            await response.read()
            return response.status, _retry_after_s(response)


def _retry_after_s(response: ClientResponse) -> float:
    return float(response.headers.get("Retry-After", DEFAULT_RETRY_S))


async def discard_body(instance: StandInInstance, request: web.BaseRequest) -> web.Response:
    """Runs a request with a body of any size; a handler for stand-in instances."""
    async for _ in request.content.iter_any():
        pass
    await asyncio.sleep(instance.work_s)
    return web.Response(body=b"done", headers=instance.headers(request))


@asynccontextmanager
async def run_processes(
    count: int,
    configuration: bytes,
    memory_mb: int,
    max_descriptors: int = 256,
    slots: int = 2,
    listed: Callable[[int], bool] = lambda number: True,
) -> AsyncIterator[ProcessFleet]:
    """Runs sidecar processes on 127.0.0.1, 127.0.0.2 and so on until all are ready.

    Args:
      count: Number of processes.
      configuration: Registry entry of the configuration.
      memory_mb: Memory of each machine.
      max_descriptors: File descriptors of each machine.
      slots: Slots of each instance.
      listed: Whether the instance of a process is in the registry.
    """
    ports = Ports(*free_ports(4))
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store, store_port = await stack.enter_async_context(serve_store("127.0.0.1"))
        store.put("op/config", configuration)
        processes = []
        for number in range(count):
            host = f"127.0.0.{number + 1}"
            stand_in = StandInInstance(f"i-{number}", custom_handler=discard_body)
            process = ProcessUnderTest(host, ports, memory_mb, max_descriptors, stand_in)
            processes.append(process)
            await stack.enter_async_context(serve_instance(stand_in, host, ports.app))
            if listed(number):
                entry = instance(stand_in.instance_id, host=host, port=ports.app, slots=slots)
                store.put(f"servers/{stand_in.instance_id}", instance_entry(entry))
            stack.push_async_callback(process.stop)
            await process.start(store_port, folder)
        for process in processes:
            await _wait_until_ready(process)
        yield ProcessFleet(processes, store)


async def _wait_until_ready(process: ProcessUnderTest) -> None:
    url = f"http://{process.host}:{process.ports.ready}/-/readyz"
    timeout = ClientTimeout(total=CHECK_TIMEOUT_S)
    async with asyncio.timeout(READY_TIMEOUT_S), ClientSession(timeout=timeout) as session:
        while True:
            with suppress(ClientError, OSError):
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(POLL_INTERVAL_S)
