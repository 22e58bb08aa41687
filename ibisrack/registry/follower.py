"""Follows the registry: one task lists it, waits for changes and recovers from failures."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

import attrs

from ibisrack.clocks import read_clocks
from ibisrack.errors import BacklogError, HistoryGoneError, PlatformError
from ibisrack.metrics.tally import Tally
from ibisrack.registry.messages import Changes, Entry, Listing, Registry
from ibisrack.registry.view import RegistryView

# Maximum wait of a call for changes.  Long waits save calls, which are billed.  However, a registry
# that drops its history may leave a waiting call without changes, which only the next call reveals.
LONG_POLL_S = 3.0
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
      on_state: Called with whether the registry answers, when this changes.
      answering: Whether the registry currently answers.
      needs_listing: Whether the next read is a full listing.
      failures: Number of consecutive failed reads.
    """

    registry: Registry
    view: RegistryView
    rng: Random
    tally: Tally
    on_entries: Callable[[tuple[Entry, ...]], None]
    on_state: Callable[[bool], None]
    answering: bool = False
    needs_listing: bool = True
    failures: int = 0

    async def follow(self) -> None:
        """Follows the registry until it is cancelled."""
        while True:
            try:
                await self._read()
                self.failures = 0
            except HistoryGoneError:
                _LOGGER.info("registry history gone", extra={"revision": self.view.revision})
                self.needs_listing = True
            except BacklogError as error:
                extra = {"revision": self.view.revision, "error": str(error)}
                _LOGGER.info("registry changes skipped", extra=extra)
                self.needs_listing = True
            except PlatformError as error:
                self._record_failure(str(error))
                await asyncio.sleep(self._retry_delay_s())

    def apply_peer_listing(self, listing: Listing) -> None:
        """Applies the content of the registry that a peer sent."""
        entries = self.view.replace(listing)
        if entries:
            self.on_entries(entries)

    async def _read(self) -> None:
        self.tally.platform_reads += 1
        if self.needs_listing:
            listing = await self.registry.list_all()
            self.needs_listing = False
            self._record_answer()
            entries = self.view.replace(listing)
        else:
            wait_s = LONG_POLL_S if self.answering else RECOVERY_POLL_S
            changes: Changes = await self.registry.changes(
                self.view.revision, wait_s, self._max_changes_bytes()
            )
            self._record_answer()
            entries = self.view.apply(changes)
        if entries:
            self.on_entries(entries)
            await asyncio.sleep(CHANGE_BATCH_DELAY_S)

    def _max_changes_bytes(self) -> int:
        content_bytes = self.view.content_bytes * BASE64_FACTOR
        return max(MIN_CHANGES_LIMIT_BYTES, round(content_bytes * MAX_CHANGES_FACTOR))

    def _record_answer(self) -> None:
        self.view.confirmed_at_s = read_clocks().monotonic_s
        if not self.answering:
            self.answering = True
            _LOGGER.info("registry answers", extra={"revision": self.view.revision})
            self.on_state(True)

    def _record_failure(self, error: str) -> None:
        self.failures += 1
        self.tally.platform_failures += 1
        if self.answering or self.failures == 1:
            self.answering = False
            extra = {"revision": self.view.revision, "error": error}
            _LOGGER.warning("registry does not answer", extra=extra)
            self.on_state(False)

    def _retry_delay_s(self) -> float:
        longest_s = min(MAX_RETRY_DELAY_S, BASE_RETRY_DELAY_S * 2 ** min(self.failures, 8))
        return longest_s * self.rng.uniform(0.5, 1.0)
