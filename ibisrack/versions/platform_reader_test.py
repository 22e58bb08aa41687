"""Tests of the host list, the read budget and the reader under platform failures."""

from collections import Counter
from random import Random

import attrs
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.clocks import Instant
from ibisrack.errors import PlatformError, PlatformTimeoutError
from ibisrack.membership.departures import Departures
from ibisrack.membership.hosts import ABSENT_DEAD_S
from ibisrack.membership.records import Liveness
from ibisrack.node.state import NodeState
from ibisrack.platform.config_client import HOSTS_NAME, RULES_NAME
from ibisrack.platform.messages import HostList, ListedHost
from ibisrack.settings.node import PlatformSettings
from ibisrack.settings.standins import StandinPlatformSettings
from ibisrack.standins.platform import Faults, StandinPlatform, Value
from ibisrack.testing.fixtures import PILBARA_RULES, bare_node, member
from ibisrack.testing.functions import function_tests
from ibisrack.testing.stepping import STEP_S, contact_seeds, fresh_fleet
from ibisrack.versions.platform_reader import PlatformReader, accept, review_hosts
from ibisrack.versions.read_budget import BACKOFF_LIMIT_S, READ_BURST, READS_PER_S, ReadBudget

NOW = Instant(1000.0, 1)


def _node(*node_ids: str) -> NodeState:
    node = bare_node("own")
    for node_id in node_ids:
        node.learn(member(node_id), NOW)
    return node


def _kill(node: NodeState, node_id: str, at_s: float) -> None:
    dead = attrs.evolve(node.members.get(node_id), liveness=Liveness.DEAD)
    node.learn(dead, Instant(at_s, 1))


def _hosts(*node_ids: str, revision: int = 5, leaving: str = "") -> HostList:
    hosts = tuple(ListedHost(n, 1, n == leaving) for n in node_ids)
    return HostList(hosts, revision)


def test_stale_host_list_marks_nobody():
    """Guards against a list that moves back and lets hosts go that have come since."""
    node = _node("a")
    accept(_hosts("own", "a", revision=5), node, NOW)
    accept(_hosts("own", "a", revision=4, leaving="a"), node, NOW)
    assert not node.members.get("a").leaving
    assert node.log.entries()[-1].kind == "LowerRevisionIgnored"


def test_absent_host_is_let_go_only_when_dead_for_a_while():
    """Guards against a lagging list that does not know a new host yet."""
    node = _node("a", "b", "c")
    _kill(node, "a", at_s=1000.0)
    accept(_hosts("own", "c"), node, Instant(1000.0 + ABSENT_DEAD_S - 1, 1))
    assert not node.members.get("a").leaving
    review_hosts(node, Instant(1000.0 + ABSENT_DEAD_S, 1))
    assert node.members.get("a").leaving
    assert not node.members.get("b").leaving


def test_empty_or_incomplete_list_lets_nobody_go():
    """Guards against a platform that lost its list while a zone was cut off."""
    node = _node("a", "b", "c")
    _kill(node, "a", at_s=0.0)
    accept(_hosts(), node, NOW)
    accept(_hosts("own", revision=6), node, NOW)
    assert not node.members.get("a").leaving


def test_later_generation_in_the_list_ends_the_former_lifetime():
    node = _node("a")
    accept(HostList((ListedHost("a", 2), ListedHost("own")), 1), node, NOW)
    assert node.members.get("a").leaving
    node.learn(member("a", generation=2), NOW)
    assert not node.members.get("a").leaving


def test_mark_of_an_earlier_generation_is_ignored():
    node = _node("a")
    node.learn(member("a", generation=3), NOW)
    accept(_hosts("own", "a", leaving="a"), node, NOW)
    assert not node.members.get("a").leaving


@settings(max_examples=50, derandomize=True, database=None, deadline=None)
@given(st.integers(0, 2**16), st.lists(st.booleans(), min_size=10, max_size=200))
def test_reads_of_one_node_stay_within_the_budget(seed, answers):
    budget, now_s = ReadBudget(Random(seed)), 0.0
    for answered in answers:
        now_s += budget.wait_s(now_s)
        budget.spend(now_s)
        if answered:
            budget.succeeded()
        else:
            pause_s = budget.failed()
            assert pause_s <= BACKOFF_LIMIT_S
            now_s += pause_s
    assert len(answers) <= READ_BURST + READS_PER_S * now_s + 1e-6


def test_first_reads_of_a_fleet_without_any_peer_stay_below_the_bound():
    """Guards against 1,300 nodes that find no peer and read in the same second."""
    starts = Counter(int(ReadBudget(Random(n)).first_read_s(False)) for n in range(1300))
    assert max(starts.values()) <= 200


def test_few_nodes_elect_themselves_when_all_restart_together():
    """Guards against nodes that read alone because they know only a few peers yet."""
    fleet = fresh_fleet(120, 12, seed=12)
    first_read_s = {n: ReadBudget(Random(n)).first_read_s(True) for n in fleet.nodes}
    readers = set()
    for step in range(round(3.5 / STEP_S)):
        passed_s = (step + 1) * STEP_S
        due = [n for n in fleet.running() if first_read_s[n.members.own_id] <= passed_s]
        readers |= {n.members.own_id for n in due if n.is_elected()}
        if step == 0:
            contact_seeds(fleet, 12)
        fleet.step()
    assert 24 <= len(readers) <= 28


async def _with_platform(test, **faults) -> StandinPlatform:
    """Runs a test against the platform stand-in with a reader of short waits."""
    standin = StandinPlatform(StandinPlatformSettings("127.0.0.1", 1))
    standin.values[RULES_NAME] = Value(3, PILBARA_RULES)
    standin.faults = Faults(**faults)
    async with TestServer(standin.application()) as server, ClientSession() as session:
        url = f"http://127.0.0.1:{server.port}"
        node = bare_node("own")
        platform = PlatformSettings(url, watch_s=0.1, timeout_s=0.1)
        node.settings = attrs.evolve(node.settings, platform=platform)
        reader = PlatformReader(node, session, ReadBudget(Random(1)), lambda: None)
        await test(reader, standin)
    return standin


async def test_reader_takes_a_version_and_does_not_read_it_again():
    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        revision = await reader.read_once(RULES_NAME, 0)
        assert revision == 3
        assert reader.node.versions.staged.version_id.revision == 3
        assert await reader.read_once(RULES_NAME, revision) == 3

    standin = await _with_platform(check)
    assert standin.counts["calls"] == 2


async def test_elected_reader_reads_a_version_that_its_links_do_not_bring():
    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        assert await reader.follow_once(RULES_NAME, 0) == 3
        assert reader.node.versions.staged.version_id.revision == 3

    assert (await _with_platform(check)).counts["calls"] == 2


async def test_elected_reader_does_not_read_what_it_holds_or_what_is_lower():
    """Guards against whole values that are transferred again at every change."""

    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        await reader.read_once(RULES_NAME, 0)
        assert await reader.follow_once(RULES_NAME, 0) == 3
        standin.values[RULES_NAME].revision = 2
        assert await reader.follow_once(RULES_NAME, 3) == 2
        assert reader.node.log.entries()[-1].kind == "LowerRevisionIgnored"

    assert (await _with_platform(check)).counts["calls"] == 3


async def test_refusal_and_outage_raise_and_change_nothing():
    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        for faults in (Faults(unavailable=True), Faults()):
            standin.faults = faults
            standin.settings = attrs.evolve(standin.settings, reads_per_s=1)
            try:
                await reader.read_once(RULES_NAME, 0)
            except PlatformError:
                continue
            raise AssertionError("the read succeeded")
        assert reader.node.versions.highest() is None

    await _with_platform(check)


async def test_slow_platform_shortens_the_next_watch():
    """Guards against a watch that a slow platform always answers too late."""

    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        try:
            await reader.read_once(RULES_NAME, 3)
        except PlatformTimeoutError:
            reader.budget.failed(timed_out=True)
        assert reader.budget.watch_s(10.0) == 5.0
        reader.budget.succeeded()
        assert reader.budget.watch_s(10.0) == 6.25

    await _with_platform(check, delay_ms=400)


async def test_malformed_host_list_is_recorded_and_not_read_again():
    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        standin.values[HOSTS_NAME] = Value(9, b"{not a list")
        assert await reader.read_once(HOSTS_NAME, 0) == 9
        assert reader.node.log.entries()[-1].kind == "PlatformUnavailable"
        assert reader.node.hosts.latest is None

    await _with_platform(check)


def test_departures_measure_the_time_since_death():
    departures = Departures()
    departures.note(member("a", liveness=Liveness.DEAD), 10.0)
    departures.note(member("a", liveness=Liveness.DEAD, leaving=True), 20.0)
    assert departures.dead_for_s("a", 70.0) == 60.0
    assert departures.forgettable(70.0) == ("a",)
    departures.note(member("a", generation=2), 80.0)
    assert departures.dead_for_s("a", 90.0) == 0.0
    assert departures.forgettable(90.0) == ()


load_tests = function_tests(__name__)
