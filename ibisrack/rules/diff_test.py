"""Tests of diff and explain."""

from ibisrack.rules.diff import Action, diff
from ibisrack.rules.explain import explain
from ibisrack.rules.ruleset import check
from ibisrack.testing.fixtures import PILBARA_RULES
from ibisrack.testing.functions import function_tests

OLD = check(PILBARA_RULES)
NARROW = (
    b"route GET notice-desk/approvals/urgent to=notice-desk rank=lodgement deadline_ms=300"
    b" idempotent=yes # R. Singh: urgent gates\n"
)


def test_equal_traffic_has_no_changes():
    """Guards against a diff that reports moved lines and reworded reasons."""
    moved = b"# A new head.\n\n" + PILBARA_RULES.replace(b"gate checks", b"checks at the gate")
    assert diff(OLD, check(moved)) == ()


def test_changed_option_names_the_traffic_and_the_requester():
    (change,) = diff(OLD, check(PILBARA_RULES.replace(b"deadline_ms=800 ", b"deadline_ms=900 ", 1)))
    assert (change.action, change.traffic) == (Action.CHANGED, "GET route-docs/curfews")
    assert change.effect == "deadline_ms 800 -> 900"
    assert change.requester == "R. Singh"


def test_narrower_route_tells_where_its_traffic_went_before():
    """Guards against an added route that is shown as if its traffic had met no rule."""
    (change,) = diff(OLD, check(PILBARA_RULES + NARROW))
    assert change.action is Action.ADDED
    assert "was to notice-desk as approval" in change.effect
    (back,) = diff(check(PILBARA_RULES + NARROW), OLD)
    assert back.action is Action.REMOVED
    assert "now to notice-desk as approval" in back.effect


def test_removed_service_lists_its_ranks_and_routes():
    changes = diff(OLD, check(PILBARA_RULES.split(b"\nservice route-docs")[0] + b"\n"))
    assert [c.keyword for c in changes] == ["service"] + ["rank"] * 3 + ["route"] * 4
    assert "refused, no route (404)" in changes[-1].effect


def test_explain_names_route_rank_and_service():
    found = explain(check(PILBARA_RULES + NARROW), "GET", "notice-desk", "/approvals/urgent/7")
    assert found.route.requester == "R. Singh"
    assert (found.rank.rank, found.service.service) == ("lodgement", "notice-desk")
    assert [route.match for route in found.passed_over] == ["notice-desk/approvals"]


def test_explain_without_a_rule():
    assert explain(OLD, "PUT", "notice-desk", "/notices").route is None
    assert explain(OLD, "GET", "nobody", "/").known_hosts == ("notice-desk", "route-docs")


load_tests = function_tests(__name__)
