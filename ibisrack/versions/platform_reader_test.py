"""Tests of host lists, the read budget and platform reads, also when the platform fails."""

from collections import Counter
from random import Random

import attrs
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.clocks import Instant
from ibisrack.errors import PlatformError, PlatformTimeoutError
from ibisrack.membership.dead_members import DeadMembers
from ibisrack.membership.hosts import ABSENT_DEAD_TIMEOUT_S
from ibisrack.membership.records import Liveness
from ibisrack.node.state import NodeState
from ibisrack.platform.config_client import HOSTS_NAME, RULES_NAME
from ibisrack.platform.messages import HostList, ListedHost
from ibisrack.settings.node import PlatformSettings
from ibisrack.settings.standins import StandinPlatformSettings
from ibisrack.standins.platform import Faults, StandinPlatform, Value
from ibisrack.testing.fixtures import PILBARA_RULES, bare_node, member
from ibisrack.testing.functions import function_tests
from ibisrack.testing.membership_fleet import TIME_STEP_S, contact_seeds, create_starting_fleet
from ibisrack.versions.platform_reader import PlatformReader, accept, mark_leaving_members
from ibisrack.versions.read_budget import MAX_BACKOFF_S, READ_BURST, READS_PER_S, ReadBudget

NOW = Instant(1000.0, 1)


def _node(*node_ids: str) -> NodeState:
    node = bare_node("own")
    for node_id in node_ids:
        node.apply_record(member(node_id), NOW)
    return node


def _kill(node: NodeState, node_id: str, at_s: float) -> None:
    dead = attrs.evolve(node.members.get(node_id), liveness=Liveness.DEAD)
    node.apply_record(dead, Instant(at_s, 1))


def _hosts(*node_ids: str, revision: int = 5, leaving: str = "") -> HostList:
    hosts = tuple(ListedHost(n, 1, n == leaving) for n in node_ids)
    return HostList(hosts, revision)


def test_stale_host_list_marks_no_member():
    """Guards against an older host list that marks hosts added since as leaving."""
    node = _node("a")
    accept(_hosts("own", "a", revision=5), node, NOW)
    accept(_hosts("own", "a", revision=4, leaving="a"), node, NOW)
    assert not node.members.get("a").leaving
    assert node.log.entries()[-1].kind == "LowerRevisionIgnored"


def test_absent_host_is_marked_leaving_only_when_dead_for_a_while():
    """Guards against a lagging host list that does not contain a new host yet."""
    node = _node("a", "b", "c")
    _kill(node, "a", at_s=1000.0)
    accept(_hosts("own", "c"), node, Instant(1000.0 + ABSENT_DEAD_TIMEOUT_S - 1, 1))
    assert not node.members.get("a").leaving
    mark_leaving_members(node, Instant(1000.0 + ABSENT_DEAD_TIMEOUT_S, 1))
    assert node.members.get("a").leaving
    assert not node.members.get("b").leaving


def test_empty_or_incomplete_list_marks_no_member():
    """Guards against a platform that lost entries of its list while a zone was unreachable."""
    node = _node("a", "b", "c")
    _kill(node, "a", at_s=0.0)
    accept(_hosts(), node, NOW)
    accept(_hosts("own", revision=6), node, NOW)
    assert not node.members.get("a").leaving


def test_later_generation_in_the_list_marks_the_earlier_one_leaving():
    """Guards against keeping the record of a host that was replaced under the same node id."""
    node = _node("a")
    accept(HostList((ListedHost("a", 2), ListedHost("own")), 1), node, NOW)
    assert node.members.get("a").leaving
    node.apply_record(member("a", generation=2), NOW)
    assert not node.members.get("a").leaving


def test_leaving_mark_of_an_earlier_generation_is_ignored():
    """Guards against marking a replaced host as leaving because of its predecessor."""
    node = _node("a")
    node.apply_record(member("a", generation=3), NOW)
    accept(_hosts("own", "a", leaving="a"), node, NOW)
    assert not node.members.get("a").leaving


@settings(max_examples=50, derandomize=True, database=None, deadline=None)
@given(st.integers(0, 2**16), st.lists(st.booleans(), min_size=10, max_size=200))
def test_reads_of_one_node_stay_within_the_budget(seed, answers):
    """Guards against a node that reads the platform faster than its budget allows."""
    budget, now_s = ReadBudget(Random(seed)), 0.0
    for answered in answers:
        now_s += budget.wait_s(now_s)
        budget.spend(now_s)
        if answered:
            budget.record_success()
        else:
            backoff_s = budget.record_failure()
            assert backoff_s <= MAX_BACKOFF_S
            now_s += backoff_s
    assert len(answers) <= READ_BURST + READS_PER_S * now_s + 1e-6


def test_first_reads_of_a_fleet_without_peers_stay_below_the_bound():
    """Guards against 1,300 nodes without peers that all read within the same second."""
    starts = Counter(int(ReadBudget(Random(n)).first_read_delay_s(False)) for n in range(1300))
    assert max(starts.values()) <= 200


def test_few_nodes_elect_themselves_when_all_restart_at_once():
    """Guards against nodes that elect themselves because they know only a few peers yet."""
    fleet = create_starting_fleet(120, 12, seed=12)
    first_read_delay_s = {n: ReadBudget(Random(n)).first_read_delay_s(True) for n in fleet.nodes}
    readers = set()
    for step in range(round(3.5 / TIME_STEP_S)):
        passed_s = (step + 1) * TIME_STEP_S
        due = [n for n in fleet.running() if first_read_delay_s[n.members.own_id] <= passed_s]
        readers |= {n.members.own_id for n in due if n.is_elected_reader()}
        if step == 0:
            contact_seeds(fleet, 12)
        fleet.step()
    assert 24 <= len(readers) <= 28


async def _with_platform(test, **faults) -> StandinPlatform:
    """Runs a test with a reader of short timeouts against the platform stand-in."""
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


async def test_reader_stages_a_version_and_does_not_read_it_again():
    """Guards against a watch that transfers the same value repeatedly."""

    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        revision = await reader.read_once(RULES_NAME, 0)
        assert revision == 3
        assert reader.node.versions.staged.version_id.revision == 3
        assert await reader.read_once(RULES_NAME, revision) == 3

    standin = await _with_platform(check)
    assert standin.counts["calls"] == 2


async def test_elected_reader_reads_a_version_that_peers_do_not_deliver():
    """Guards against a revision that is missed because no peer delivers it."""

    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        assert await reader.sync_once(RULES_NAME, 0) == 3
        assert reader.node.versions.staged.version_id.revision == 3

    assert (await _with_platform(check)).counts["calls"] == 2


async def test_elected_reader_does_not_read_held_or_lower_revisions():
    """Guards against transferring a whole value again at every change."""

    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        await reader.read_once(RULES_NAME, 0)
        assert await reader.sync_once(RULES_NAME, 0) == 3
        standin.values[RULES_NAME].revision = 2
        assert await reader.sync_once(RULES_NAME, 3) == 2
        assert reader.node.log.entries()[-1].kind == "LowerRevisionIgnored"

    assert (await _with_platform(check)).counts["calls"] == 3


async def test_outage_and_exceeded_read_rate_raise_and_change_nothing():
    """Guards against a failed read that is taken for a value."""

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
    """Guards against a watch that a slow platform always answers after the timeout."""

    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        try:
            await reader.read_once(RULES_NAME, 3)
        except PlatformTimeoutError:
            reader.budget.record_failure(timed_out=True)
        assert reader.budget.watch_wait_s(10.0) == 5.0
        reader.budget.record_success()
        assert reader.budget.watch_wait_s(10.0) == 6.25

    await _with_platform(check, delay_ms=400)


async def test_malformed_host_list_is_recorded_and_not_read_again():
    """Guards against reading a malformed host list in a loop."""

    async def check(reader: PlatformReader, standin: StandinPlatform) -> None:
        standin.values[HOSTS_NAME] = Value(9, b"{not a list")
        assert await reader.read_once(HOSTS_NAME, 0) == 9
        assert reader.node.log.entries()[-1].kind == "PlatformUnavailable"
        assert reader.node.hosts.latest is None

    await _with_platform(check)


def test_dead_members_measure_the_time_since_death():
    """Guards against forgetting members too early, or after they came back."""
    dead_members = DeadMembers()
    dead_members.update(member("a", liveness=Liveness.DEAD), 10.0)
    dead_members.update(member("a", liveness=Liveness.DEAD, leaving=True), 20.0)
    assert dead_members.dead_for_s("a", 70.0) == 60.0
    assert dead_members.forgettable(70.0) == ("a",)
    dead_members.update(member("a", generation=2), 80.0)
    assert dead_members.dead_for_s("a", 90.0) == 0.0
    assert dead_members.forgettable(90.0) == ()


load_tests = function_tests(__name__)
