"""Property tests of parsing, comparing and explaining rules."""

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.errors import RulesError
from ibisrack.rules.diff import diff
from ibisrack.rules.explain import explain
from ibisrack.rules.ruleset import RuleSet, parse_rule_set
from ibisrack.testing.fixtures import CHAPA_MAYA_RULES, PILBARA_RULES
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz

GOOD = parse_rule_set(PILBARA_RULES)
_TOKENS = st.sampled_from(
    b"service rank route GET POST * a b a/x b/ to=a rank=u order=1 order=x share_percent=50 "
    b"share_percent=101 slots=0 deadline_ms=0 idempotent=yes idempotent=maybe tries=9 "
    b"to=\xff # Ana: # Ana: why \n \r \x00 = == =1 max_slots=99".split(b" ")
)
_LINES = st.lists(_TOKENS, max_size=40).map(b" ".join)


def _parse_or_refuse(content: bytes) -> RuleSet | None:
    """Returns the rule set, or None if refused; every fault must have a message and a line."""
    try:
        return parse_rule_set(content, "rules.txt")
    except RulesError as error:
        assert error.faults
        line_count = content.count(b"\n") + 1
        assert all(f.message and 0 <= f.line <= line_count for f in error.faults)
        return None


@fuzz(1000)
@given(st.binary(max_size=300))
def test_any_bytes_are_accepted_or_refused(content):
    """Guards against other exceptions than RulesError for arbitrary bytes."""
    _parse_or_refuse(content)


@fuzz(1000)
@given(_LINES)
def test_grammar_words_in_any_order_are_accepted_or_refused(content):
    """Guards against other exceptions than RulesError for misplaced words and bad values."""
    _parse_or_refuse(content)


@fuzz(1000)
@given(st.integers(0, len(CHAPA_MAYA_RULES)), st.integers(0, 40), st.binary(max_size=12))
def test_altered_files_are_valid_or_refused_whole(start, length, inserted):
    """Guards against a truncated or overwritten file that is accepted in part."""
    content = CHAPA_MAYA_RULES[:start] + inserted + CHAPA_MAYA_RULES[start + length :]
    rules = _parse_or_refuse(content)
    if rules is None:
        return
    for service in rules.services.values():
        assert sum(rank.share_percent for rank in service.ranks) <= 100
    for routes in rules.routes.values():
        assert all(route.to in rules.services for route in routes)
    diff(GOOD, rules)
    diff(rules, GOOD)


@fuzz(300)
@given(st.text(max_size=10), st.text(max_size=20), st.text(max_size=20))
def test_any_request_can_be_explained(method, host, path):
    """Guards against an explanation that fails on unusual methods, hosts and paths."""
    assert explain(GOOD, method, host, path).route is None


load_tests = function_tests(__name__)
