"""Spaces large answers to peers on the network link of the host.

An answer that is written at once waits in the host's queue for its link, and so does everything
that is written after it.  On a slow link, a few large answers delay requests and refusals by more
than their target.  Large answers are therefore sent one after the other, in parts, each when the
link has nearly sent what was written before it.  Short messages are written at any time.
"""

import asyncio

import attrs

from ibisrack.clocks import read_monotonic_s

BITS_PER_BYTE = 8
BYTES_PER_S_PER_MBPS = 1_000_000 / BITS_PER_BYTE
# The rest is for what is not counted: short messages, and the overhead of packets.
PACED_LINK_SHARE = 0.9
# How long before its time on the link a part is written.  A short message waits about as long; if
# the event loop is late by more, the link is idle meanwhile.
LEAD_S = 0.02
PART_S = 0.005  # Time that a part takes on the link, if its size is within the limits.
MIN_PART_BYTES = 16 * 1024
MAX_PART_BYTES = 64 * 1024


@attrs.define(eq=False)
class LinkPacer:
    """The answers that this host sends to peers.

    Attributes:
      link_mbps: Bandwidth of the host's network link in Mbit/s.
    """

    link_mbps: float = 1000.0
    _free_at_s: float = 0.0  # Monotonic time at which the link has sent all answers so far.

    @property
    def part_bytes(self) -> int:
        """Size of a part; smaller answers are not paced."""
        size = int(self.rate_bytes_per_s * PART_S)
        return min(MAX_PART_BYTES, max(MIN_PART_BYTES, size))

    @property
    def rate_bytes_per_s(self) -> float:
        """Bytes of answers that the link sends in a second."""
        return self.link_mbps * BYTES_PER_S_PER_MBPS * PACED_LINK_SHARE

    def reserve(self, size_bytes: int) -> "LinkTime":
        """Reserves the link for an answer after all earlier ones."""
        starts_at_s = max(read_monotonic_s(), self._free_at_s)
        self._free_at_s = starts_at_s + size_bytes / self.rate_bytes_per_s
        return LinkTime(self, size_bytes, starts_at_s)

    def release(self, size_bytes: int) -> None:
        """Gives back the time of bytes that are not sent after all."""
        self._free_at_s -= size_bytes / self.rate_bytes_per_s


@attrs.frozen(eq=False)
class LinkTime:
    """The time for which an answer has the link.

    Attributes:
      pacer: Pacer that reserved it.
      size_bytes: Size of the answer.
      starts_at_s: Monotonic time at which it begins.
    """

    pacer: LinkPacer
    size_bytes: int
    starts_at_s: float

    async def wait_for_part(self, offset_bytes: int) -> None:
        """Waits until the part at an offset may be written."""
        due_at_s = self.starts_at_s + offset_bytes / self.pacer.rate_bytes_per_s - LEAD_S
        delay_s = due_at_s - read_monotonic_s()
        if delay_s > 0:
            await asyncio.sleep(delay_s)

    def release_from(self, offset_bytes: int) -> None:
        """Gives back the time of the parts from an offset on, which are not sent after all."""
        self.pacer.release(self.size_bytes - offset_bytes)
