"""Checks the specification to exhaustion, with all guards and without each of them."""

import attrs
from minicheck import check_safety

from ibisrack.testing.functions import function_tests
from ibisrack.versions.protocol_spec import Guards, Scope, protocol

TWO_NODES = Scope(nodes=2, revisions=3, bad=2, crashes=2)
THREE_NODES = Scope(nodes=3, revisions=3, bad=2, crashes=1, pauses=False, running=True)

# The invariant that each guard keeps.
BROKEN = {
    "monotonic": "never lower",
    "whole": "never partial",
    "checked": "never bad",
    "confirmed": "never back",
    "asks_peers": "never back",
}


def _broken(scope: Scope) -> set[str]:
    result = check_safety(protocol(scope))
    properties = result["properties"].items()
    broken = {name for name, verdict in properties if verdict["holds"] is False}
    assert broken or result["exhaustive"], result["incomplete_reason"]
    return broken


def test_two_nodes_keep_every_invariant():
    assert _broken(TWO_NODES) == set()


def test_three_nodes_keep_every_invariant():
    assert _broken(THREE_NODES) == set()


def test_each_guard_is_needed():
    """Guards against a specification that holds because it can't express the failure."""
    assert set(BROKEN) == {field.name for field in attrs.fields(Guards)}
    for guard, invariant in BROKEN.items():
        without = attrs.evolve(Guards(), **{guard: False})
        small = attrs.evolve(TWO_NODES, crashes=1, pauses=False, guards=without)
        assert invariant in _broken(small), guard


load_tests = function_tests(__name__)
