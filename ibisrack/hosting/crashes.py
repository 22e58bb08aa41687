"""Tells a crash of the instance beside this node from a connection that the instance dropped.

An instance may break off single connections while it lives.  It has crashed if it also refuses a
new connection although it is listed and has not said that it is about to end.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.runs import Run
from ibisrack.instances.model import Instance, InstanceStart
from ibisrack.suspects.table import DOWN_S

PROBE_TIMEOUT_S = 0.3
# Time in which a connection that was still accepted while the process ended is closed.
ACCEPTED_PROBE_S = 0.02
MAX_PROBES = 2


@attrs.frozen
class Crash:
    """A crash of the instance.

    Attributes:
      instance: The instance that crashed.
      runs: Runs that were open on it.
    """

    instance: Instance
    runs: tuple[Run, ...]


@attrs.define(eq=False)
class CrashDetector:
    """Checks after a lost connection whether the instance has crashed.

    Attributes:
      address: IP number and port of the instance.
      on_crash: Called with each crash, before the runs that it ended are answered.
      crashes: Number of crashes of instances at the address.
    """

    address: tuple[str, int]
    on_crash: Callable[[Crash], None] = attrs.field(default=lambda crash: None)
    crashes: int = 0
    _open_runs: set[Run] = attrs.field(factory=set)
    _check: asyncio.Task | None = None
    # Id and start of the instance that crashed last, and the monotonic time of this crash.
    _last_crash: InstanceStart | None = None
    _last_crash_at_s: float = 0.0

    @contextmanager
    def track(self, run: Run) -> Iterator[None]:
        """Counts a run as open on the instance."""
        self._open_runs.add(run)
        try:
            yield
        finally:
            self._open_runs.discard(run)

    async def has_crashed(self, instance: Instance | None) -> bool:
        """Returns whether the connection of a tracked run was lost because the instance crashed.

        Args:
          instance: The instance, None if it is not listed.
        """
        if instance is None or not instance.ready:
            return False  # A planned end.
        if self._check is None:
            # All runs that the crash ended are still tracked when the first of them is checked.
            runs = tuple(self._open_runs)
            for run in runs:
                _ = run.fingerprint  # A run that is cancelled during the check loses its body.
            check = self._confirm(instance, runs)
            self._check = asyncio.get_running_loop().create_task(check)
        return await asyncio.shield(self._check)

    async def _confirm(self, instance: Instance, runs: tuple[Run, ...]) -> bool:
        try:
            if not await _refuses_connections(*self.address):
                return False
            if self._is_new_crash(instance):
                self.crashes += 1
                self.on_crash(Crash(instance, runs))
            return True
        finally:
            self._check = None

    def _is_new_crash(self, instance: Instance) -> bool:
        """Returns whether the instance had not crashed yet since its start, or not recently.

        It may have started again under its id while its old entry stands.
        """
        started, now_s = instance.start, read_monotonic_s()
        if started == self._last_crash and now_s <= self._last_crash_at_s + DOWN_S:
            return False
        self._last_crash, self._last_crash_at_s = started, now_s
        return True


async def _refuses_connections(host: str, port: int) -> bool:
    """Returns whether nothing listens at an address."""
    for _ in range(MAX_PROBES):
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            return True
        except OSError:  # Includes TimeoutError.
            return False
        try:
            if not await _is_closed(reader):
                return False
        finally:
            writer.transport.abort()
    return False


async def _is_closed(reader: asyncio.StreamReader) -> bool:
    """Returns whether the other side closes a new connection within ACCEPTED_PROBE_S."""
    with suppress(TimeoutError):
        async with asyncio.timeout(ACCEPTED_PROBE_S):
            try:
                return not await reader.read(1)
            except ConnectionError:
                return True
    return False
