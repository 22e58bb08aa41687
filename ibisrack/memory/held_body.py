"""A body that arrives in parts and is accounted for."""

from io import BytesIO

import attrs

from ibisrack.memory.account import Holding


@attrs.define(eq=False)
class HeldBody:
    """A body that arrives in parts.

    As a list of parts, a body that trickles in would take many times the memory that is counted for
    it, and a bytearray would be copied at the end.

    Attributes:
      holding: Its holding in the account of memory.
      extra_bytes: What is held beside the body while it arrives.
      growth_bytes: Room beyond what has arrived that a body of unknown size is given at a time.
      max_bytes: Limit on the size of a body of unknown size.
    """

    holding: Holding
    extra_bytes: int = 0
    growth_bytes: int = 0
    max_bytes: int | None = None
    _body: BytesIO = attrs.field(factory=BytesIO)

    @property
    def size_bytes(self) -> int:
        """Number of bytes that have arrived."""
        return self._body.tell()

    def append(self, part: bytes, now_s: float) -> bool:
        """Appends a part; returns False if there is no room for it."""
        size_bytes = self.size_bytes + len(part)
        if self.holding.grows and not self._has_room(size_bytes, now_s):
            return False
        self._body.write(part)
        self.holding.count_moved(len(part), now_s)
        return True

    def content(self) -> bytes:
        """Returns the bytes, without a copy."""
        return self._body.getvalue()

    def drop(self) -> None:
        """Drops the bytes and releases the holding."""
        self._body = BytesIO()
        self.holding.release()

    def _has_room(self, size_bytes: int, now_s: float) -> bool:
        if size_bytes + self.extra_bytes <= self.holding.size_bytes:
            return True
        larger_bytes = size_bytes + self.growth_bytes
        if self.max_bytes is not None:
            larger_bytes = max(size_bytes, min(larger_bytes, self.max_bytes))
        return self.holding.resize(larger_bytes + self.extra_bytes, now_s)
