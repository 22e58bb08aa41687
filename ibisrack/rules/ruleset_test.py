"""Tests of parsing and validating rules files."""

from ibisrack.errors import RulesError
from ibisrack.rules.model import RouteRule
from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.testing.fixtures import PILBARA_RULES
from ibisrack.testing.functions import function_tests


def _faults(text: str) -> list[tuple[int, str]]:
    try:
        parse_rule_set(text.encode(), "rules.txt")
    except RulesError as error:
        return [(fault.line, fault.message) for fault in error.faults]
    return []


def test_valid_file_is_indexed():
    """Guards against lost services and ranks that are not ordered by priority."""
    rules = parse_rule_set(PILBARA_RULES)
    assert set(rules.services) == {"notice-desk", "route-docs"}
    orders = [rank.order for rank in rules.services["notice-desk"].ranks]
    assert orders == sorted(orders)
    assert all(isinstance(route, RouteRule) for route in rules.routes["notice-desk"])


def test_every_invalid_line_is_reported():
    """Guards against validation that stops at the first fault."""
    faults = _faults(
        "service a slots=2 connections=10 # Ana: new desk\n"
        "service a slots=2 connections=10 # Ana: twice\n"
        "rank a urgent order=x share_percent=10 # Ana: bad number\n"
        "rout GET a/ to=a # Ana: bad keyword\n"
        "route GET a/x to=missing rank=urgent deadline_ms=10 idempotent=yes # Ana: dangling\n"
    )
    assert [line for line, _ in faults] == [2, 3, 4, 5]


def test_rule_without_requester_or_reason_is_a_fault():
    """Guards against rules that cannot be traced to a person and a reason."""
    for comment in ("", "# no colon here", "# : no name", "# Ana:"):
        faults = _faults(f"service a slots=2 connections=10 {comment}\n")
        assert len(faults) == 1, comment


def test_dangling_references_are_faults():
    """Guards against a route to a service or rank that the rules do not declare."""
    text = (
        "service a slots=2 connections=10 # Ana: desk\n"
        "route GET a/x to=a rank=none deadline_ms=10 idempotent=yes # Ana: no rank\n"
    )
    assert "rank none is not declared" in _faults(text)[0][1]


def test_reference_faults_name_the_requester():
    """Guards against faults that do not say whom to ask about the rule."""
    text = "rank b urgent order=1 share_percent=10 # Ana Lopez: urgent first\n"
    assert "asked by Ana Lopez" in _faults(text)[0][1]


def test_shares_above_100_are_a_fault():
    """Guards against guaranteed shares that sum to more than all slot time."""
    text = (
        "service a slots=2 connections=10 # Ana: desk\n"
        "rank a x order=1 share_percent=60 # Ana: x\n"
        "rank a y order=2 share_percent=60 # Ana: y\n"
    )
    assert _faults(text)[0][0] == 1


def test_oversized_content_is_refused():
    """Guards against a file that is too large for the platform to store."""
    assert "more than" in _faults("#" * 1_000_001)[0][1]


def test_line_that_is_not_utf8_is_a_fault():
    """Guards against a decoding error that hides the line or escapes as another exception."""
    try:
        parse_rule_set(b"\xff\xfe\n# fine: line\n")
    except RulesError as error:
        assert [fault.line for fault in error.faults] == [1]
    else:
        raise AssertionError("accepted bytes that are not UTF-8")


load_tests = function_tests(__name__)
