"""Tests of the view of the registry and of its follower."""

import asyncio
from random import Random

from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import (
    BacklogError,
    HistoryGoneError,
    PlatformConnectionError,
    PlatformError,
    PlatformTimeoutError,
)
from ibisrack.metrics.tally import Tally
from ibisrack.registry.follower import BASE_RETRY_DELAY_S, RegistryFollower
from ibisrack.registry.messages import Changes, Entry, Listing, Revision
from ibisrack.registry.own_calls import MAX_FAILURES
from ibisrack.registry.view import RegistryView
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import TIMING


def at(number: int, era: int = 1) -> Revision:
    """Returns a revision, by default of the first era."""
    return Revision(era, number)


def entry(key: str, number: int, content: bytes | None = b"x", era: int = 1) -> Entry:
    return Entry(key, content, at(number, era))


def test_a_listing_removes_missing_entries():
    """Guards against entries that are kept forever because a compaction hid their removal."""
    view = RegistryView()
    view.replace(Listing(at(5), (entry("a", 3), entry("b", 4))))
    assert view.replace(Listing(at(9), (entry("a", 3),))) == (entry("b", 9, None),)


def test_an_older_listing_changes_nothing():
    """Guards against an outdated listing from a peer or replica that lags."""
    view = RegistryView()
    view.replace(Listing(at(9), (entry("a", 8),)))
    assert view.replace(Listing(at(5), ())) == ()
    assert "a" in view.entries


def test_a_repeated_or_older_event_changes_nothing():
    """Guards against an older event that overwrites a newer entry."""
    view = RegistryView()
    assert view.apply(Changes(at(4), (entry("a", 4),)))
    assert not view.apply(Changes(at(4), (entry("a", 4), entry("a", 3, None))))
    assert view.entries["a"].revision == at(4)


def test_an_answer_without_changes_does_not_move_the_view_past_them():
    """Guards against changes that are never learnt because the history was dropped meanwhile."""
    view = RegistryView()
    view.replace(Listing(at(5), (entry("a", 5),)))
    assert view.apply(Changes(at(9), ())) == ()
    assert view.revision == at(5)
    view.apply(Changes(at(9), (entry("b", 7),)))
    assert view.revision == at(7)


class ScriptedRegistry:
    """A registry that returns scripted answers and raises scripted exceptions."""

    def __init__(self, *answers: object) -> None:
        self.answers = list(answers)
        self.calls: list[object] = []

    async def list_all(self, on_begin) -> Listing:
        return await self._next("list", on_begin)

    async def changes(
        self, after: Revision, wait_s: float, max_bytes: int, response_s: float, on_begin
    ) -> Changes:
        return await self._next((after, wait_s), on_begin)

    async def _next(self, call: object, on_begin):
        self.calls.append(call)
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        on_begin()
        return answer


def follower_of(registry: ScriptedRegistry, on_state=lambda _: None) -> RegistryFollower:
    return RegistryFollower(
        registry,
        RegistryView(),
        TIMING,
        Random(1),
        Tally(),
        on_entries=lambda _: None,
        on_restore=lambda _: None,
        on_state=on_state,
        on_outage_end=lambda: None,
    )


async def follow(*answers: object) -> tuple[ScriptedRegistry, list[bool]]:
    registry, states = ScriptedRegistry(*answers), []
    follower = follower_of(registry, states.append)
    follower.set_sources(reads=True, answers_peers=False)
    task = asyncio.create_task(follower.follow())
    while registry.answers or len(registry.calls) <= len(answers):
        await asyncio.sleep(0.01)
    task.cancel()
    return registry, states


async def test_a_lost_history_leads_to_a_full_listing():
    """Guards against a follower that requests a lost history again and again."""
    registry, _ = await follow(Listing(at(5), ()), HistoryGoneError("gone"), Listing(at(9), ()))
    assert registry.calls == ["list", (at(5), TIMING.watch_s), "list", (at(9), TIMING.watch_s)]


async def test_a_backlog_of_versions_leads_to_a_full_listing():
    """Guards against a slow link that transfers every version of a storm, later and later."""
    registry, _ = await follow(Listing(at(5), ()), BacklogError("large"), Listing(at(9), ()))
    assert registry.calls == ["list", (at(5), TIMING.watch_s), "list", (at(9), TIMING.watch_s)]


async def test_no_calls_are_made_while_peers_deliver():
    """Guards against every node of a large fleet reading every version from the registry."""
    registry = ScriptedRegistry(Listing(at(5), ()), Changes(at(5), ()))
    follower = follower_of(registry)
    follower.set_sources(reads=False, answers_peers=True)
    task = asyncio.create_task(follower.follow())
    await asyncio.sleep(0.02)
    assert registry.calls == []
    assert not follower.is_reading(read_monotonic_s())
    follower.set_sources(reads=True, answers_peers=False)
    while not registry.calls:
        await asyncio.sleep(0.01)
    assert follower.is_reading(read_monotonic_s())
    task.cancel()


async def test_no_call_is_made_when_peers_begin_to_deliver_after_a_listing():
    """Guards against a second call of each node at the start of a fleet."""
    registry = ScriptedRegistry(Listing(at(5), (entry("a", 5),)), Changes(at(5), ()))
    follower = follower_of(registry)
    follower.set_sources(reads=True, answers_peers=False)
    task = asyncio.create_task(follower.follow())
    while not follower.view.entries:
        await asyncio.sleep(0.01)
    follower.set_sources(reads=False, answers_peers=True)
    await asyncio.sleep(2 * TIMING.batch_delay_s)
    assert registry.calls == ["list"]
    task.cancel()


def test_a_late_write_of_a_removed_key_is_ignored():
    """Guards against an instance that comes back because an old change arrives out of order."""
    view = RegistryView()
    view.apply(Changes(at(4), (entry("a", 4),)))
    view.apply(Changes(at(6), (entry("a", 6, None),)))
    assert view.apply(Changes(at(6), (entry("a", 5),))) == ()
    assert "a" not in view.entries


async def test_a_recovery_of_the_registry_is_detected_by_a_short_call():
    """Guards against detecting the end of an outage only after a full wait for changes."""
    failures = [PlatformError("503")] * MAX_FAILURES
    registry, states = await follow(Listing(at(5), ()), *failures, Changes(at(5), ()))
    assert all(call[1] < 0.1 for call in registry.calls[2 : 2 + MAX_FAILURES])
    assert states == [True, False, True]


async def test_a_call_that_is_cut_once_is_repeated_at_once():
    """Guards against an outage that is seen where the registry only cut a call that waited."""
    cut = PlatformConnectionError("cut")
    registry, states = ScriptedRegistry(Listing(at(5), ()), cut, Changes(at(5), ())), []
    follower = follower_of(registry, states.append)
    follower.rng = None  # A delay would be drawn from it.
    follower.set_sources(reads=True, answers_peers=False)
    task = asyncio.create_task(follower.follow())
    while registry.answers and not task.done():
        await asyncio.sleep(0.01)
    assert not task.done()
    assert registry.calls[2][1] < 0.1
    assert states == [True]
    task.cancel()


async def test_a_failed_call_makes_another_host_read():
    """Guards against peers that rely on a reader whose calls the registry doesn't answer."""
    registry = ScriptedRegistry(Listing(at(5), ()), PlatformTimeoutError("late"))
    follower, seen = follower_of(registry), []
    follower.on_availability = lambda: seen.append(follower.may_read(read_monotonic_s()))
    follower.set_sources(reads=True, answers_peers=False)
    task = asyncio.create_task(follower.follow())
    while len(registry.calls) < 3:
        await asyncio.sleep(0.01)
    assert seen == [True, False]
    assert follower.is_reading(read_monotonic_s())
    task.cancel()


async def test_a_history_that_stays_lost_is_asked_for_less_and_less_often():
    """Guards against a loop of listings and watches at full speed, which the platform charges."""
    lost = [Listing(at(5), ()), HistoryGoneError("gone")] * 3
    started_at_s = read_monotonic_s()
    await follow(*lost, Listing(at(9), ()))
    least_s = 0.5 * BASE_RETRY_DELAY_S * (2**2 + 2**3)
    assert read_monotonic_s() - started_at_s >= least_s


load_tests = function_tests(__name__)
