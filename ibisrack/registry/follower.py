"""Follows the registry: one task that lists it, waits for changes and recovers from failures."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

import attrs

from ibisrack.clocks import read_clocks
from ibisrack.errors import HistoryGoneError, PlatformError
from ibisrack.metrics.tally import Tally
from ibisrack.registry.messages import Changes, Entry, Listing, Registry
from ibisrack.registry.view import RegistryView

# Longest wait for changes.  Calls are priced, but a registry that drops its history may leave a
# waiting call deaf, and only the next call shows that.
WAIT_S = 3.0
PROBE_WAIT_S = 0.001  # Wait of the first call after a failure: it shows a return at once.
COALESCE_S = 0.25  # Pause after changes, so that a series of them takes fewer calls.
FIRST_RETRY_S = 0.15
LONGEST_RETRY_S = 1.0

_LOGGER = logging.getLogger("ibisrack.registry")


@attrs.define(eq=False)
class RegistryFollower:
    """Keeps a view of the registry up to date.

    Attributes:
      registry: Reads the registry.
      view: What is known.
      rng: Source of jitter.
      tally: Counts reads and failures.
      on_entries: Takes changed entries.
      on_state: Told whether the registry answers, at each change.
      answering: Whether it answers.
      needs_listing: Whether the next read is a whole listing.
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
                await self._step()
                self.failures = 0
            except HistoryGoneError:
                _LOGGER.info("registry history gone", extra={"revision": self.view.revision})
                self.needs_listing = True
            except PlatformError as error:
                self._lost(str(error))
                await asyncio.sleep(self._pause_s())

    def learn(self, listing: Listing) -> None:
        """Takes the content that a peer sent."""
        entries = self.view.replace(listing)
        if entries:
            self.on_entries(entries)

    async def _step(self) -> None:
        self.tally.platform_reads += 1
        if self.needs_listing:
            listing = await self.registry.list_all()
            self.needs_listing = False
            self._back()
            entries = self.view.replace(listing)
        else:
            wait_s = WAIT_S if self.answering else PROBE_WAIT_S
            changes: Changes = await self.registry.changes(self.view.revision, wait_s)
            self._back()
            entries = self.view.apply(changes)
        if entries:
            self.on_entries(entries)
            await asyncio.sleep(COALESCE_S)

    def _back(self) -> None:
        self.view.confirmed_at_s = read_clocks().monotonic_s
        if not self.answering:
            self.answering = True
            _LOGGER.info("registry answers", extra={"revision": self.view.revision})
            self.on_state(True)

    def _lost(self, error: str) -> None:
        self.failures += 1
        self.tally.platform_failures += 1
        if self.answering or self.failures == 1:
            self.answering = False
            extra = {"revision": self.view.revision, "error": error}
            _LOGGER.warning("registry does not answer", extra=extra)
            self.on_state(False)

    def _pause_s(self) -> float:
        longest_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(self.failures, 8))
        return longest_s * self.rng.uniform(0.5, 1.0)
