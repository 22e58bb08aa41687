"""Counts the bytes of TCP connections for each process with ``ss`` of iproute2.

The kernel's counters include everything that a process sent and received over a socket, in any
protocol.  A connection that opens and closes between two polls is not counted.
"""

import re
import shutil
import subprocess
from collections.abc import Iterable

import attrs

_PROCESS = re.compile(r"pid=(\d+),fd=(\d+)")
_BYTES = re.compile(r"\b(bytes_sent|bytes_received):(\d+)")


@attrs.define
class SocketCounter:
    """Counts the bytes of the connections of some processes.

    Attributes:
      pids: The processes to count.
      excluded_ports: Local ports whose connections are not counted, such as those that the
        benchmark itself reads from.
    """

    pids: frozenset[int]
    excluded_ports: frozenset[int] = frozenset()
    _last_counts: dict[tuple[str, ...], int] = attrs.field(factory=dict)
    _totals: dict[int, int] = attrs.field(factory=dict)

    def poll(self) -> None:
        """Adds the bytes sent and received since the last poll.

        A listing may omit a connection that is still open, so its last count is kept.
        """
        for pid, connection, count in _parse_connections(_ss_lines()):
            if (
                pid in self.pids
                and int(connection[1].rpartition(":")[2]) not in self.excluded_ports
            ):
                self._totals[pid] = (
                    self._totals.get(pid, 0) + count - self._last_counts.get(connection, 0)
                )
                self._last_counts[connection] = count

    def totals(self) -> dict[int, int]:
        """Returns the bytes sent and received by each process."""
        return {pid: self._totals.get(pid, 0) for pid in self.pids}


def _ss_lines() -> list[str]:
    command = shutil.which("ss")
    if command is None:
        raise RuntimeError("ss of iproute2 is needed to count bytes at the sockets")
    output = subprocess.run([command, "-tinpHO"], capture_output=True, text=True, check=True)
    return output.stdout.splitlines()


def _parse_connections(lines: Iterable[str]) -> Iterable[tuple[int, tuple[str, ...], int]]:
    """Yields the pid, the key (pid, local and remote address) and the bytes of each connection."""
    for line in lines:
        process = _PROCESS.search(line)
        if process is None:
            continue
        fields = line.split()
        count = sum(int(number) for _, number in _BYTES.findall(line))
        yield int(process.group(1)), (process.group(1), fields[3], fields[4]), count
