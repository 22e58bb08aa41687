"""Follows the registry: one task lists it, waits for changes and recovers from failures.

While peers deliver the content, the task makes no calls.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from random import Random

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import BacklogError, HistoryGoneError, PlatformError
from ibisrack.metrics.tally import Tally
from ibisrack.registry.deltas import unpack_changes
from ibisrack.registry.messages import (
    NO_REVISION,
    Changes,
    Delta,
    Entry,
    Listing,
    Registry,
)
from ibisrack.registry.view import RegistryView

# Maximum wait of a call for changes.  Long waits save calls, which are billed.  However, peers rely
# on this node, and only the end of the wait shows that a registry no longer responds, or that it
# dropped its history and left the call without changes.
LONG_POLL_S = 1.0
# A registry that has not answered for this long is not relied on: a long poll and the transfer of a
# large entry over a congested link fit in.
MAX_ANSWER_AGE_S = 3.0
RECOVERY_POLL_S = 0.001  # Wait of calls after a failure, so that a recovery is detected at once.
CHANGE_BATCH_DELAY_S = 0.25  # Delay after changes, so that a burst of them takes fewer calls.
BASE_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 1.0
# An answer with changes that is larger than this multiple of the whole content holds several
# versions of large entries; a listing has only the newest and takes less time on a slow link.
MAX_CHANGES_FACTOR = 1.25
MIN_CHANGES_LIMIT_BYTES = 64 * 1024
BASE64_FACTOR = 4 / 3  # The registry sends contents as base64.

_LOGGER = logging.getLogger("ibisrack.registry")


@attrs.define(eq=False)
class RegistryFollower:
    """Keeps a view of the registry up to date.

    Attributes:
      registry: Client of the registry.
      view: View that is kept up to date.
      rng: Source of jitter.
      tally: Counters of reads and failures.
      on_entries: Called with changed entries.
      on_restore: Called instead with all entries after the registry was restored from a copy.
      on_state: Called with whether the registry answers, when this changes.
      answering: Whether the registry currently answers this node or the peers that it follows.
      read_required: Whether this node reads the registry; cleared while peers deliver the content.
      needs_listing: Whether the next read is a full listing.
      failures: Number of consecutive failed reads.
      lost_histories: Number of times that the history was gone since changes were last read.
      answered_at_s: Monotonic time of the last answer to this node since it has to read.
    """

    registry: Registry
    view: RegistryView
    rng: Random
    tally: Tally
    on_entries: Callable[[tuple[Entry, ...]], None]
    on_restore: Callable[[tuple[Entry, ...]], None]
    on_state: Callable[[bool], None]
    answering: bool = False
    read_required: asyncio.Event = attrs.field(factory=asyncio.Event)
    needs_listing: bool = True
    failures: int = 0
    lost_histories: int = 0
    answered_at_s: float = -math.inf

    async def follow(self) -> None:
        """Follows the registry until it is cancelled."""
        while True:
            await self.read_required.wait()
            try:
                await self._read()
                self.failures = 0
            except HistoryGoneError:
                _LOGGER.info("registry history gone", extra={"revision": str(self.view.revision)})
                self.needs_listing = True
                self.lost_histories += 1
                if self.lost_histories > 1:  # The listing in between did not help.
                    await asyncio.sleep(self._retry_delay_s(self.lost_histories))
            except BacklogError as error:
                extra = {"revision": str(self.view.revision), "error": str(error)}
                _LOGGER.info("registry changes skipped", extra=extra)
                self.needs_listing = True
            except PlatformError as error:
                self._record_failure(str(error))
                await asyncio.sleep(self._retry_delay_s(self.failures))

    def is_reading(self, now_s: float) -> bool:
        """Returns whether this node reads the registry itself and the registry answers."""
        return self.answering and now_s - self.answered_at_s < MAX_ANSWER_AGE_S

    @property
    def may_read(self) -> bool:
        """Whether the registry answers this node, as far as it knows."""
        return self.answering or not self.read_required.is_set()

    def apply_peer_delta(self, delta: Delta) -> None:
        """Applies the changes of the registry that a peer sent.

        Raises:
          MessageError: The delta does not fit the content that this node has, or is malformed.
        """
        self._replace_view(unpack_changes(self.view, delta))

    def set_delivered_by_peers(self, delivered: bool) -> None:
        """Records whether peers that read the registry deliver its content to this node."""
        if delivered:
            self.read_required.clear()
            self.answered_at_s = -math.inf
            self._record_answer()
        else:
            self.read_required.set()

    def _replace_view(self, listing: Listing) -> bool:
        """Replaces the view by the whole content; returns whether anything changed."""
        before = self.view.revision
        entries = self.view.replace(listing)
        is_restored = before != NO_REVISION and before.era != self.view.revision.era
        if entries and is_restored:
            self.on_restore(entries)
        elif entries:
            self.on_entries(entries)
        return bool(entries)

    async def _read(self) -> None:
        self.tally.platform_reads += 1
        if self.needs_listing:
            listing = await self.registry.list_all()
            self.needs_listing = False
            self._record_own_answer()
            changed = self._replace_view(listing)
        else:
            # The first answer tells peers at once that this node reads.
            is_first = self.answered_at_s == -math.inf
            wait_s = LONG_POLL_S if self.answering and not is_first else RECOVERY_POLL_S
            changes: Changes = await self.registry.changes(
                self.view.revision, wait_s, self._max_changes_bytes()
            )
            self.lost_histories = 0
            self._record_own_answer()
            entries = self.view.apply(changes)
            changed = bool(entries)
            if changed:
                self.on_entries(entries)
        if changed:
            await asyncio.sleep(CHANGE_BATCH_DELAY_S)

    def _max_changes_bytes(self) -> int:
        content_bytes = self.view.content_bytes * BASE64_FACTOR
        return max(MIN_CHANGES_LIMIT_BYTES, round(content_bytes * MAX_CHANGES_FACTOR))

    def _record_own_answer(self) -> None:
        if self.read_required.is_set():
            self.answered_at_s = read_monotonic_s()
        self._record_answer()

    def _record_answer(self) -> None:
        self.view.confirmed_at_s = read_monotonic_s()
        if not self.answering:
            self.answering = True
            _LOGGER.info("registry answers", extra={"revision": str(self.view.revision)})
            self.on_state(True)

    def _record_failure(self, error: str) -> None:
        self.tally.platform_failures += 1
        if not self.read_required.is_set():
            return  # Peers deliver the content, and tell when they can't.
        self.failures += 1
        if self.answering or self.failures == 1:
            self.answering = False
            extra = {"revision": str(self.view.revision), "error": error}
            _LOGGER.warning("registry does not answer", extra=extra)
            self.on_state(False)

    def _retry_delay_s(self, attempts: int) -> float:
        longest_s = min(MAX_RETRY_DELAY_S, BASE_RETRY_DELAY_S * 2 ** min(attempts, 8))
        return longest_s * self.rng.uniform(0.5, 1.0)
