"""One account of the bytes that a node holds for callers, peers and the instance beside it.

A process that exceeds the memory of its machine is killed, and everything in it is lost.  Whatever
is held for others is therefore counted before it is read.  When the account is full, what can be
had again, or what has stalled, is given up first; a new body is refused only after that.  Part of
the room is kept for small holdings, so that large bodies can't shut out ordinary requests.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from weakref import WeakSet

import attrs

MEGABYTE = 1_000_000  # The settings state the memory of a machine in MB.
DEFAULT_MEMORY_MB = 128.0  # Of a machine whose memory is not stated.
# What a process needs that holds nothing for others: 45 to 48 MB in a small fleet.  It is more with
# many peers and a long configuration, and then measured.
RESTING_BYTES = 48 * MEGABYTE
QUIET_SHARE = 0.1  # With less than this part of the account in use, the need can be measured.
# The rest of the remaining memory is for what is not counted: the allocator's unused pages, heads,
# tasks, buffers of links, and bytes on their way between two counted places.
COUNTED_SHARE = 0.9
MIN_LIMIT_BYTES = 4 * MEGABYTE  # On a machine that is smaller than the process itself.
MAX_RESERVED_BYTES = 4 * MEGABYTE
RESERVED_SHARE = 0.125
# Part of the machine's memory for responses that are being read: endless ones can't be told from
# long ones, and are given up only when it is full.
READING_SHARE = 0.25
SMALL_BYTES = 128 * 1024  # Holdings up to this size may use the reserved room.
# Time without progress after which a holding may be given up for another.  A client on a link of
# 5 Mbit/s moves PROGRESS_BYTES in 26 ms.
STALLED_S = 1.0
# Fewer bytes are no progress: a client that sends one byte a second holds its body as one that
# sends none.
PROGRESS_BYTES = 16 * 1024


class Kind(StrEnum):
    """What a holding is for."""

    CONNECTION = "connection"  # Buffers and objects of a caller's connection.
    REQUEST = "request"  # Body of a caller's request, being read or until its response is ready.
    SUBMISSION = "submission"  # Body of a peer's request, until it has run.
    READING = "reading"  # Body of a response that is being read.
    ANSWER = "answer"  # Body of a response, until it is delivered.
    RESULT = "result"  # Delivered response, kept in case the peer's link broke.


@attrs.define(eq=False)
class Holding:
    """Bytes held for one purpose.  They are released at the latest when the holding is dropped.

    Attributes:
      account: Account that counts it.
      kind: What it is for.
      size_bytes: Its size, including what is reserved for bytes still to come.
      progress_at_s: Monotonic time of its last progress.
      give_up: Gives it up for another holding, and returns whether that was possible; None if it
        never is.
      has_given_up: Whether it was given up.
      grows: Whether its final size is not known.
    """

    account: "MemoryAccount"
    kind: Kind
    size_bytes: int
    progress_at_s: float
    give_up: Callable[[], bool] | None = None
    has_given_up: bool = False
    grows: bool = False
    _bytes_since_progress: int = 0

    def resize(self, size_bytes: int, now_s: float) -> bool:
        """Changes the size; returns False, without a change, if there is no room."""
        return self.account.resize(self, size_bytes, now_s)

    def count_moved(self, moved_bytes: int, now_s: float) -> None:
        """Records that bytes arrived or were sent; enough of them are progress."""
        self._bytes_since_progress += moved_bytes
        if self._bytes_since_progress >= PROGRESS_BYTES:
            self.mark_progress(now_s)

    def mark_progress(self, now_s: float) -> None:
        """Records progress."""
        self._bytes_since_progress = 0
        self.progress_at_s = now_s

    def change(self, kind: Kind, give_up: Callable[[], bool] | None, now_s: float) -> None:
        """Continues for another purpose."""
        if self.has_given_up:
            return
        self.account.change(self, kind, give_up)
        self.mark_progress(now_s)

    def release(self) -> None:
        """Releases the bytes; a second call does nothing."""
        self.account.release(self)

    def __del__(self) -> None:
        """Releases the bytes of a holding that nobody refers to."""
        self.account.release(self)


@attrs.define(eq=False)
class MemoryAccount:
    """Account of the bytes that a node holds for others.

    Attributes:
      limit_bytes: Limit of all holdings together.
      reading_limit_bytes: Limit of the responses that are being read.
      resting_bytes: What the process needs for itself, as far as it is known.
      held_bytes: Size of all holdings together.
      held_by_kind: The same by kind.
      refused: Number of holdings that were refused or could not grow, by kind.
      given_up: Number of holdings that were given up for others, by kind.
    """

    limit_bytes: int
    reading_limit_bytes: int = attrs.field(
        default=attrs.Factory(lambda self: self.limit_bytes, takes_self=True)
    )
    resting_bytes: int = RESTING_BYTES
    held_bytes: int = 0
    held_by_kind: Counter[Kind] = attrs.field(factory=Counter)
    refused: Counter[Kind] = attrs.field(factory=Counter)
    given_up: Counter[Kind] = attrs.field(factory=Counter)
    # Weak references, so that a holding ends when its owner drops it.
    _disposable: WeakSet[Holding] = attrs.field(factory=WeakSet)

    @property
    def reserved_bytes(self) -> int:
        """Room that only small holdings may use."""
        return min(MAX_RESERVED_BYTES, int(self.limit_bytes * RESERVED_SHARE))

    @property
    def max_holding_bytes(self) -> int:
        """Size of the largest holding that fits when there are no others."""
        return self.limit_bytes - self.reserved_bytes

    def observe_resident(self, resident_bytes: int, memory_mb: float) -> None:
        """Adapts the limit to what the process needs for itself.

        What is held may be reserved and not have arrived, so the need can seem too small.  It is
        therefore only raised while much is held.

        Args:
          resident_bytes: Resident memory of the process.
          memory_mb: Memory of the machine in MB.
        """
        needed_bytes = max(RESTING_BYTES, resident_bytes - self.held_bytes)
        is_quiet = self.held_bytes <= self.limit_bytes * QUIET_SHARE
        if is_quiet or needed_bytes > self.resting_bytes:
            self.resting_bytes = needed_bytes
            self.limit_bytes = _limit_bytes(memory_mb, needed_bytes)

    def open(
        self,
        kind: Kind,
        size_bytes: int,
        now_s: float,
        give_up: Callable[[], bool] | None = None,
        grows: bool = False,
    ) -> Holding | None:
        """Opens a holding; returns None if there is no room.

        Args:
          kind: What it is for.
          size_bytes: Its size, with all that it is known to need.
          now_s: Current monotonic time.
          give_up: See ``Holding``.
          grows: Whether its final size is not known.
        """
        holding = Holding(self, kind, 0, now_s, grows=grows)
        if not self.resize(holding, size_bytes, now_s):
            return None
        self.change(holding, kind, give_up)
        return holding

    def resize(self, holding: Holding, size_bytes: int, now_s: float) -> bool:
        """Changes the size of a holding; see ``Holding.resize``."""
        if holding.has_given_up:
            return False
        added_bytes = size_bytes - holding.size_bytes
        if added_bytes > 0 and not self._make_room(holding, size_bytes, now_s):
            self.refused[holding.kind] += 1
            return False
        holding.size_bytes = size_bytes
        self._count(holding.kind, added_bytes)
        return True

    def change(self, holding: Holding, kind: Kind, give_up: Callable[[], bool] | None) -> None:
        """Changes what a holding is for and whether it can be given up."""
        self._count(holding.kind, -holding.size_bytes)
        self._count(kind, holding.size_bytes)
        holding.kind, holding.give_up = kind, give_up
        if give_up is None:
            self._disposable.discard(holding)
        else:
            self._disposable.add(holding)

    def release(self, holding: Holding) -> None:
        """Releases the bytes of a holding."""
        self._count(holding.kind, -holding.size_bytes)
        holding.size_bytes, holding.give_up = 0, None
        self._disposable.discard(holding)

    def longest_stalled(self, kinds: frozenset[Kind], before_s: float) -> list[Holding]:
        """Returns what may be given up and made no progress since a time, the longest first."""
        found = [h for h in self._disposable if h.kind in kinds and h.progress_at_s <= before_s]
        return sorted(found, key=lambda holding: holding.progress_at_s)

    def dispose(self, holding: Holding, now_s: float) -> bool:
        """Gives up a holding and returns whether that was possible."""
        if holding.give_up is None:
            return False
        if not holding.give_up():
            holding.mark_progress(now_s)
            return False
        self.given_up[holding.kind] += 1
        self.release(holding)
        holding.has_given_up = True
        return True

    def _count(self, kind: Kind, added_bytes: int) -> None:
        self.held_bytes += added_bytes
        self.held_by_kind[kind] += added_bytes

    def _make_room(self, holding: Holding, size_bytes: int, now_s: float) -> bool:
        """Gives up other holdings until one can have a size; returns False if it still can't."""
        added_bytes = size_bytes - holding.size_bytes
        limit_bytes = self.limit_bytes if size_bytes <= SMALL_BYTES else self.max_holding_bytes
        if size_bytes > limit_bytes:
            return False
        if holding.kind is Kind.READING and not self._make_reading_room(holding, size_bytes, now_s):
            return False
        if self.held_bytes + added_bytes <= limit_bytes:
            return True
        for victim in self._victims(holding, size_bytes, now_s):
            self.dispose(victim, now_s)
            if self.held_bytes + added_bytes <= limit_bytes:
                return True
        return False

    def _make_reading_room(self, holding: Holding, size_bytes: int, now_s: float) -> bool:
        """Gives up the largest responses being read until one can have a size."""
        most_bytes = self.reading_limit_bytes - (size_bytes - holding.size_bytes)
        while self.held_by_kind[Kind.READING] > most_bytes:
            larger = [h for h in self._disposable if self._gives_way(h, holding, size_bytes)]
            if not larger:
                return False
            self.dispose(max(larger, key=lambda other: other.size_bytes), now_s)
        return True

    def _victims(self, asking: Holding, size_bytes: int, now_s: float) -> list[Holding]:
        """Returns what may be given up for a holding, in order.

        Kept results come first, the oldest of them before others.  Then comes what has stalled, by
        the product of its size and the time.  Among holdings of one kind whose end can't be told,
        a larger one makes room for a smaller one: so one of them ends, and an endless one soon is
        the largest.
        """
        results, stalled, larger = [], [], []
        for holding in self._disposable:
            stalled_s = now_s - holding.progress_at_s
            if holding is asking:
                continue
            if holding.kind is Kind.RESULT:
                results.append((-stalled_s, holding))
            elif stalled_s >= STALLED_S:
                stalled.append((-stalled_s * holding.size_bytes, holding))
            elif self._gives_way(holding, asking, size_bytes):
                larger.append((-holding.size_bytes, holding))
        order = [sorted(group, key=lambda pair: pair[0]) for group in (results, stalled, larger)]
        return [holding for group in order for _, holding in group]

    @staticmethod
    def _gives_way(holding: Holding, asking: Holding, size_bytes: int) -> bool:
        is_alike = holding.grows and asking.grows and holding.kind is asking.kind
        return is_alike and holding is not asking and holding.size_bytes > size_bytes


def create_account(memory_mb: float = DEFAULT_MEMORY_MB) -> MemoryAccount:
    """Returns the account of a process on a machine of the given size."""
    limit_bytes = _limit_bytes(memory_mb, RESTING_BYTES)
    reading_bytes = int(memory_mb * MEGABYTE * READING_SHARE)
    return MemoryAccount(limit_bytes, min(limit_bytes, reading_bytes))


def _limit_bytes(memory_mb: float, resting_bytes: int) -> int:
    free_bytes = memory_mb * MEGABYTE - resting_bytes
    return max(MIN_LIMIT_BYTES, int(free_bytes * COUNTED_SHARE))
