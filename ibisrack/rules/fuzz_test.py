"""Generated tests of the rules checker."""

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.errors import RulesError
from ibisrack.rules.diff import diff
from ibisrack.rules.explain import explain
from ibisrack.rules.ruleset import RuleSet, check
from ibisrack.testing.fixtures import CHAPA_MAYA_RULES, PILBARA_RULES
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz

GOOD = check(PILBARA_RULES)
_TOKENS = st.sampled_from(
    b"service rank route GET POST * a b a/x b/ to=a rank=u order=1 order=x share_percent=50 "
    b"share_percent=101 slots=0 deadline_ms=0 idempotent=yes idempotent=maybe tries=9 "
    b"to=\xff # Ana: # Ana: why \n \r \x00 = == =1 max_slots=99".split(b" ")
)
_LINES = st.lists(_TOKENS, max_size=40).map(b" ".join)


def _verdict(content: bytes) -> RuleSet | None:
    """Returns the rule set, or None for a refusal whose faults all have a place and a message."""
    try:
        return check(content, "rules.txt")
    except RulesError as error:
        assert error.faults
        line_count = content.count(b"\n") + 1
        assert all(f.message and 0 <= f.line <= line_count for f in error.faults)
        return None


@fuzz(1000)
@given(st.binary(max_size=300))
def test_any_bytes_are_checked_or_refused(content):
    _verdict(content)


@fuzz(1000)
@given(_LINES)
def test_words_of_the_grammar_in_any_order(content):
    _verdict(content)


@fuzz(1000)
@given(st.integers(0, len(CHAPA_MAYA_RULES)), st.integers(0, 40), st.binary(max_size=12))
def test_altered_files_are_good_or_refused_whole(start, length, inserted):
    """Guards against a truncated or overwritten file that is applied in part."""
    content = CHAPA_MAYA_RULES[:start] + inserted + CHAPA_MAYA_RULES[start + length :]
    rules = _verdict(content)
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
    assert explain(GOOD, method, host, path).route is None


load_tests = function_tests(__name__)
