"""Follows the registry: one task lists it, waits for changes and recovers from failures.

While peers deliver the content, the task makes no calls.
"""

import asyncio
import logging
from collections.abc import Callable
from random import Random

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import (
    BacklogError,
    HistoryGoneError,
    PlatformConnectionError,
    PlatformError,
)
from ibisrack.metrics.tally import Tally
from ibisrack.registry.contact import RegistryContact
from ibisrack.registry.deltas import unpack_changes
from ibisrack.registry.messages import (
    NO_REVISION,
    Changes,
    Delta,
    Entry,
    Listing,
    Registry,
)
from ibisrack.registry.own_calls import OwnCalls
from ibisrack.registry.timing import RegistryTiming
from ibisrack.registry.view import RegistryView

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
      timing: Times of the calls.
      rng: Source of jitter.
      tally: Counters of reads and failures.
      on_entries: Called with changed entries.
      on_restore: Called instead with all entries after the registry was restored from a copy.
      on_state: Called with whether the registry answers, when this changes.
      on_outage_end: Called when the registry answers again after an outage in which entries may
        have lapsed, before what it sends is applied.
      on_availability: Called when peers should learn whether this node reads the registry.
      answers_peers: Whether the registry currently answers peers.
      read_required: Whether this node reads the registry; cleared while peers deliver the content.
      needs_listing: Whether the next read is a full listing.
      lost_histories: Number of times that the history was gone since changes were last read.
      calls: How the registry answers the calls of this node.
    """

    registry: Registry
    view: RegistryView
    timing: RegistryTiming
    rng: Random
    tally: Tally
    on_entries: Callable[[tuple[Entry, ...]], None]
    on_restore: Callable[[tuple[Entry, ...]], None]
    on_state: Callable[[bool], None]
    on_outage_end: Callable[[], None]
    on_availability: Callable[[], None] = attrs.field(default=lambda: None)
    answers_peers: bool = False
    read_required: asyncio.Event = attrs.field(factory=asyncio.Event)
    needs_listing: bool = True
    lost_histories: int = 0
    calls: OwnCalls = attrs.field(
        default=attrs.Factory(lambda self: OwnCalls(self.timing), takes_self=True)
    )
    _contact: RegistryContact = attrs.field(
        default=attrs.Factory(lambda self: RegistryContact(self.timing), takes_self=True)
    )
    _is_up: bool = False  # The state that was last reported.
    _batch_delay_s: float = 0.0  # Delay before the next call.

    async def follow(self) -> None:
        """Follows the registry until it is cancelled."""
        while True:
            # Peers may begin to deliver during the delay.
            await asyncio.sleep(self._batch_delay_s)
            await self.read_required.wait()
            try:
                await self._read()
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
                # A registry that cuts a call or is late once is asked again at once; one that
                # refuses is not.
                if self.calls.failures > 1 or not isinstance(error, PlatformConnectionError):
                    await asyncio.sleep(self._retry_delay_s(self.calls.failures))

    def is_reading(self, now_s: float) -> bool:
        """Returns whether this node reads the registry itself and the registry answers."""
        return self.calls.is_answered(now_s)

    def may_read(self, now_s: float) -> bool:
        """Returns whether the registry answers this node in time, as far as it knows."""
        return self.calls.is_timely(now_s) or not self.read_required.is_set()

    def apply_peer_delta(self, delta: Delta) -> None:
        """Applies the changes of the registry that a peer sent.

        Raises:
          MessageError: The delta does not fit the content that this node has, or is malformed.
        """
        self._check_outage(read_monotonic_s())
        self._replace_view(unpack_changes(self.view, delta))

    def configure(self, timing: RegistryTiming) -> None:
        """Applies other times, from the next call on."""
        self.timing = self.calls.timing = self._contact.timing = timing

    def set_sources(self, reads: bool, answers_peers: bool) -> None:
        """Records where this node gets the registry's content from.

        Args:
          reads: Whether it reads the registry itself.
          answers_peers: Whether the registry answers peers, as far as these have reported.
        """
        self.answers_peers = answers_peers
        if reads:
            self.read_required.set()
        else:
            self.read_required.clear()
            self.calls.reset()
        if answers_peers:
            now_s = read_monotonic_s()
            self._check_outage(now_s)
            self._contact.record_at_peer(now_s)
            self.view.confirmed_at_s = now_s
        self._report_state()

    def _check_outage(self, now_s: float) -> None:
        """Reports the end of an outage if there was one since the last answer."""
        # A node that knows no entries has none that may have lapsed.
        if self.view.revision == NO_REVISION or not self._contact.may_have_lapsed(now_s):
            return
        silent_ms = self._contact.silent_ms(now_s)
        extra = {"revision": str(self.view.revision), "silent_ms": silent_ms}
        _LOGGER.info("registry outage ended", extra=extra)
        self.on_outage_end()

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
        delay_s, self._batch_delay_s = self._batch_delay_s, 0.0
        try:
            if self.needs_listing:
                self.calls.begin_transfer(read_monotonic_s())
                changed = self._apply_listing(await self.registry.list_all(self._record_begin))
            else:
                changed = self._apply_changes(await self._read_changes(delay_s))
        finally:
            self.calls.end_transfer()
        if changed:
            self._batch_delay_s = self.timing.batch_delay_s

    def _apply_listing(self, listing: Listing) -> bool:
        """Applies a listing of the registry; returns whether anything changed."""
        self.needs_listing = False
        self._record_own_answer()
        return self._replace_view(listing)

    def _apply_changes(self, changes: Changes) -> bool:
        """Applies changes that the registry sent; returns whether anything changed."""
        self.lost_histories = 0
        self._record_own_answer()
        entries = self.view.apply(changes)
        if entries:
            self.on_entries(entries)
        return bool(entries)

    async def _read_changes(self, delay_s: float) -> Changes:
        """Waits for changes; measures how late an answer without any is.

        Args:
          delay_s: Time for which the call was delayed, by which it ends sooner.
        """
        wait_s, response_s = self.calls.wait_s(delay_s), self.calls.response_s()
        asked_at_s = read_monotonic_s()
        changes = await self.registry.changes(
            self.view.revision, wait_s, self._max_changes_bytes(), response_s, self._record_begin
        )
        if not changes.entries:
            self.calls.answer_delay_s = read_monotonic_s() - asked_at_s - wait_s
        return changes

    def _record_begin(self) -> None:
        """Records that an answer begins to arrive."""
        now_s = read_monotonic_s()
        self.calls.begin_transfer(now_s)
        self._check_outage(now_s)
        self._contact.record(now_s)

    def _max_changes_bytes(self) -> int:
        content_bytes = self.view.content_bytes * BASE64_FACTOR
        return max(MIN_CHANGES_LIMIT_BYTES, round(content_bytes * MAX_CHANGES_FACTOR))

    def _record_own_answer(self) -> None:
        now_s = read_monotonic_s()
        is_news = self.calls.record_answer(now_s, self.read_required.is_set())
        # It has been answering since the answer began, however long its transfer took.
        self._contact.record(now_s)
        self.view.confirmed_at_s = now_s
        self._report_state()
        if is_news:
            self.on_availability()

    def _report_state(self) -> None:
        is_up = self.calls.answering or self.answers_peers
        if is_up == self._is_up:
            return
        self._is_up = is_up
        extra = {"revision": str(self.view.revision)}
        if is_up:
            _LOGGER.info("registry answers", extra=extra)
        else:
            _LOGGER.warning("registry does not answer", extra=extra)
        self.on_state(is_up)

    def _record_failure(self, error: str) -> None:
        self.tally.platform_failures += 1
        if not self.read_required.is_set():
            return  # Peers deliver the content, and tell when they can't.
        if not self.calls.record_failure():
            return
        failures = self.calls.failures
        extra = {"revision": str(self.view.revision), "error": error, "failures": failures}
        _LOGGER.info("call to the registry failed", extra=extra)
        self.on_availability()
        self._report_state()

    def _retry_delay_s(self, attempts: int) -> float:
        longest_s = min(MAX_RETRY_DELAY_S, BASE_RETRY_DELAY_S * 2 ** min(attempts, 8))
        return longest_s * self.rng.uniform(0.5, 1.0)
