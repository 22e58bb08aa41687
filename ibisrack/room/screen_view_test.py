"""Tests of the screen view, the poller and the server of screens."""

import attrs
import msgspec
from aiohttp import ClientSession
from hypothesis import given
from hypothesis import strategies as st

from ibisrack.admin.client import AdminClient, AdminError, AdminFailure
from ibisrack.admin.messages import Member, RulesText, Status, decode
from ibisrack.errors import MessageError
from ibisrack.room.fleet import FleetView, FleetZone, VersionNodes, VersionView
from ibisrack.room.merge import merge_answers
from ibisrack.room.messages import RankCounts, RuleCounts, Straggler
from ibisrack.room.poller import Poller
from ibisrack.room.screen_view import PolledState, screen_view
from ibisrack.room.server import RoomServer
from ibisrack.room.terminal import call_lines, fleet_lines
from ibisrack.room.view import Cause
from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.testing.admin_server import fake_admin_server
from ibisrack.testing.fixtures import PILBARA_RULES
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz

RULES = parse_rule_set(PILBARA_RULES)
FAULT = "revision-6:9: service x is not declared (asked by J. Okafor)"


def _zone(*stragglers: Straggler, count: int | None = None, age_s: float | None = 1.0) -> FleetZone:
    total = len(stragglers) if count is None else count
    nodes = (VersionNodes(5, "d", 3),)
    return FleetZone("newman", "wa", "n1", 3, age_s, 1.0, nodes, {}, total, stragglers)


def _fleet(zone: FleetZone, ranks=(), rules=()) -> FleetView:
    accepted = VersionView(5, "d")
    return FleetView("n1", accepted, 3, zone.straggler_count, (zone,), ranks, rules)


def _polled(zone: FleetZone, **fields) -> PolledState:
    return PolledState(fleet=_fleet(zone), rules=RULES, rules_revision=5, **fields)


def test_silent_nodes_are_not_counted_as_being_on_the_accepted_version():
    """Guards against a screen that trusts the last report of a dead node."""
    view = screen_view(_polled(_zone(Straggler("n2", "cut off", 5, "silent"))), 15)
    assert (view.on_accepted, view.total, view.straggler_count) == (2, 3, 1)


def test_unlisted_stragglers_are_not_counted_as_being_on_the_accepted_version():
    """Guards against stragglers beyond the listed ones that count as up to date."""
    assert screen_view(_polled(_zone(count=2)), 15).on_accepted == 1


def test_unlisted_refusals_are_on_the_accepted_version():
    """Guards against a large fleet that is shown as behind when all nodes refuse a bad version."""
    listed = Straggler("n1", "refused", 5, FAULT)
    view = screen_view(_polled(_zone(listed, count=3)), 15)
    assert (view.on_accepted, view.straggler_count, view.refused.node_count) == (3, 0, 3)
    behind = screen_view(_polled(_zone(listed, Straggler("n2", "cut off", 5, "x"), count=3)), 15)
    assert behind.on_accepted == 1


def test_nodes_that_refuse_a_newer_version_are_on_the_accepted_one():
    """Guards against refusals that are shown as stragglers, or without fault and requester."""
    view = screen_view(_polled(_zone(Straggler("n2", "refused", 5, FAULT))), 15)
    assert view.on_accepted == 3 and not view.stragglers
    assert view.refused.faults == (FAULT,)
    assert "asked by J. Okafor" in "\n".join(fleet_lines(view))


def test_nodes_that_left_as_planned_are_not_stragglers():
    """Guards against a screen that shows planned restarts, 510 a day, as failures."""
    zone = _zone(Straggler("n2", "cut off", 5, "x"))
    view = screen_view(_polled(zone, leaving=frozenset(["n2"])), 15)
    assert (view.on_accepted, view.total, view.straggler_count, view.leaving) == (2, 2, 0, 1)
    assert (view.zones[0].on_accepted, view.zones[0].total) == (2, 2)


def test_probe_distinguishes_a_paused_process_from_one_that_does_not_run():
    """Guards against one cause for nodes that need different repairs."""
    zone = _zone(Straggler("n2", "cut off", 5, "x"), Straggler("n3", "cut off", 5, "x"))
    probes = {"n2": AdminFailure.NO_RESPONSE, "n3": AdminFailure.REFUSED}
    causes = {s.node_id: s.cause for s in screen_view(_polled(zone, probes=probes), 15).stragglers}
    assert causes == {"n2": Cause.ASLEEP, "n3": Cause.NOT_RUNNING}


def test_outdated_and_missing_zones_are_listed_as_problems():
    """Guards against missing or outdated data that is shown without a warning."""
    view = screen_view(_polled(_zone(), fleet_age_s=20.0), 15)
    assert view.zones[0].stale and "out of date" in view.problems[0]
    assert "no data on zone newman" in screen_view(_polled(_zone(age_s=None)), 15).problems[0]
    assert screen_view(PolledState(error="down"), 15).problems == (
        "none of the polled nodes answers: down",
    )


def test_call_counts_are_joined_with_ranks_and_routes_of_the_rules():
    """Guards against counts next to the wrong rule, and ranks without calls that are missing."""
    ranks = (RankCounts("notice-desk", "bulk", 10, 4, 6, 0),)
    fleet = _fleet(_zone(), ranks, (RuleCounts(8, 10, 4, 6, 0),))
    view = screen_view(PolledState(fleet, rules=RULES, rules_revision=5), 15)
    assert (view.ranks[0].rank, view.ranks[0].kept_percent) == ("bulk", 40.0)
    assert view.ranks[-1].kept_percent is None
    assert (view.rules[0].requester, view.rules[0].refused) == ("J. Okafor", 6)
    assert "40.0%" in "\n".join(call_lines(view))


def _answers(fleet: FleetView, members: tuple[Member, ...] = ()) -> dict[str, bytes]:
    values = {"/fleet": fleet, "/members": members}
    values["/rules"] = RulesText(5, "d", PILBARA_RULES.decode())
    return {path: msgspec.json.encode(value) for path, value in values.items()}


async def test_poller_fails_over_and_polls_once_for_all_screens():
    """Guards against a load on the nodes that grows with the number of screens."""
    async with fake_admin_server(_answers(_fleet(_zone()))) as admin, ClientSession() as session:
        poller = Poller(AdminClient(session, 0.5), ("127.0.0.1:1", admin.address))
        await poller.read_round()
        server = RoomServer("t", poller)
        assert b'"on_accepted":3' in server.encoded_view(0.0)
        bodies = {server.encoded_view(0.1) for _ in range(50)}
        await poller.read_round()
    assert len(bodies) == 1
    assert admin.requests == ["/fleet", "/rules", "/members", "/fleet"]


def test_freshest_data_of_each_zone_is_kept():
    """Guards against a screen that flips between the two sides of a partition."""
    north, south = _zone(age_s=2.0), attrs.evolve(_zone(age_s=400.0), zone="south")
    one = attrs.evolve(_fleet(north), zones=(north, south))
    other = attrs.evolve(one, zones=(_zone(age_s=300.0), attrs.evolve(south, age_s=1.0)))
    ages_s = {zone.zone: zone.age_s for zone in merge_answers(one, 2.0, other).zones}
    assert ages_s == {"newman": 4.0, "south": 1.0}
    assert merge_answers(None, 0.0, one) == attrs.evolve(one, members=6)


async def test_poller_tries_another_node_when_an_answer_is_out_of_date():
    """Guards against a poller that stays with a node on the wrong side of a partition."""
    stale = _answers(_fleet(_zone(age_s=400.0)))
    async with fake_admin_server(stale) as a, fake_admin_server(_answers(_fleet(_zone()))) as b:
        async with ClientSession() as session:
            poller = Poller(AdminClient(session, 0.5), (a.address, b.address))
            await poller.read_round()
            assert poller.view().zones[0].stale
            await poller.read_round()
    assert not poller.view().zones[0].stale


async def test_poller_keeps_the_last_view_when_no_node_answers():
    """Guards against a screen that goes blank, or hides the error, when reads fail."""
    async with fake_admin_server(_answers(_fleet(_zone()))) as admin, ClientSession() as session:
        poller = Poller(AdminClient(session, 0.5), (admin.address,))
        await poller.read_round()
        admin.answers = {"/fleet": b"[]"}
        await poller.read_round()
    view = poller.view()
    assert view.accepted_revision == 5
    assert "not valid" in view.problems[0]


async def test_client_reports_invalid_and_oversized_answers():
    """Guards against an unusable answer that is not reported as one."""
    async with fake_admin_server({"/status": b"{", "/big": b" " * 17_000_000}) as admin:
        async with ClientSession() as session:
            client = AdminClient(session, 2.0)
            failures = []
            for path in ("/status", "/big", "/none"):
                try:
                    await client.get(admin.address, path, Status)
                except AdminError as error:
                    failures.append(error.failure)
    assert failures == [AdminFailure.INVALID_RESPONSE] * 3


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)
_FIELDS = [field.name for field in FleetView.__attrs_attrs__]
_GOOD = msgspec.to_builtins(_fleet(_zone(Straggler("n2", "asleep", 5, "x"))))
_ALTERED = st.dictionaries(st.sampled_from(_FIELDS), _JSON, max_size=2).map(
    lambda changes: msgspec.json.encode({**_GOOD, **changes})
)


@fuzz(500)
@given(st.binary(max_size=50) | _JSON.map(msgspec.json.encode) | _ALTERED)
def test_any_fleet_answer_is_shown_or_refused(body):
    """Guards against an answer of a faulty node that crashes the process of the screen."""
    try:
        fleet = decode(body, FleetView)
    except MessageError:
        return
    view = screen_view(PolledState(fleet, rules=RULES, rules_revision=5), 15)
    assert view.on_accepted >= 0
    fleet_lines(view)


@fuzz(300)
@given(st.sampled_from([Status, RulesText, tuple[Member, ...]]), _JSON.map(msgspec.json.encode))
def test_other_answers_are_decoded_or_refused(cls, body):
    """Guards against an answer that raises anything but MessageError."""
    try:
        decode(body, cls)
    except MessageError as error:
        assert "answer" in str(error)


load_tests = function_tests(__name__)
