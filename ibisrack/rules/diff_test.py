"""Tests of the comparison of rule sets and of the explanation of requests."""

from ibisrack.rules.diff import Action, diff
from ibisrack.rules.explain import explain
from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.testing.fixtures import PILBARA_RULES
from ibisrack.testing.functions import function_tests

OLD = parse_rule_set(PILBARA_RULES)
NARROW = (
    b"route GET notice-desk/approvals/urgent to=notice-desk rank=lodgement deadline_ms=300"
    b" idempotent=yes # R. Singh: urgent gates\n"
)


def test_moved_and_reworded_rules_are_no_changes():
    """Guards against a diff that reports moved lines and reworded reasons as changes."""
    moved = b"# A new head.\n\n" + PILBARA_RULES.replace(b"gate checks", b"checks at the gate")
    assert diff(OLD, parse_rule_set(moved)) == ()


def test_changed_option_names_the_traffic_and_the_requester():
    """Guards against a change shown without its traffic, its values or its requester."""
    (change,) = diff(
        OLD, parse_rule_set(PILBARA_RULES.replace(b"deadline_ms=800 ", b"deadline_ms=900 ", 1))
    )
    assert (change.action, change.traffic) == (Action.CHANGED, "GET route-docs/curfews")
    assert change.effect == "deadline_ms 800 -> 900"
    assert change.requester == "R. Singh"


def test_effect_of_a_narrower_route_names_the_wider_route():
    """Guards against an effect that ignores the wider route matching the same traffic."""
    (change,) = diff(OLD, parse_rule_set(PILBARA_RULES + NARROW))
    assert change.action is Action.ADDED
    assert "was to notice-desk as approval" in change.effect
    (removed,) = diff(parse_rule_set(PILBARA_RULES + NARROW), OLD)
    assert removed.action is Action.REMOVED
    assert "now to notice-desk as approval" in removed.effect


def test_removed_service_lists_its_ranks_and_routes():
    """Guards against a removed service whose routes are not shown as refused."""
    changes = diff(OLD, parse_rule_set(PILBARA_RULES.split(b"\nservice route-docs")[0] + b"\n"))
    assert [c.keyword for c in changes] == ["service"] + ["rank"] * 3 + ["route"] * 4
    assert "refused, no route (404)" in changes[-1].effect


def test_explanation_names_route_rank_and_service():
    """Guards against an explanation by a wider route, or without the routes not chosen."""
    found = explain(
        parse_rule_set(PILBARA_RULES + NARROW), "GET", "notice-desk", "/approvals/urgent/7"
    )
    assert found.route.requester == "R. Singh"
    assert (found.rank.rank, found.service.service) == ("lodgement", "notice-desk")
    assert [route.match for route in found.passed_over] == ["notice-desk/approvals"]


def test_explanation_without_a_matching_route():
    """Guards against an explanation that fails, or lists no hosts, when no route matches."""
    assert explain(OLD, "PUT", "notice-desk", "/notices").route is None
    assert explain(OLD, "GET", "nobody", "/").known_hosts == ("notice-desk", "route-docs")


load_tests = function_tests(__name__)
