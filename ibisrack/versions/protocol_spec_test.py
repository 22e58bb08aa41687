"""Model-checks the specification with all guards and with each guard disabled."""

import attrs
from minicheck import check_safety

from ibisrack.testing.functions import function_tests
from ibisrack.versions.protocol_model import protocol
from ibisrack.versions.protocol_spec import Guards, Scope

TWO_NODES = Scope(nodes=2, revisions=3, bad=2, crashes=2)
THREE_NODES = Scope(nodes=3, revisions=3, bad=2, crashes=1, pauses=False, running=True)

# The invariant that is violated when the guard is disabled.
VIOLATED_BY_GUARD = {
    "monotonic": "never lower",
    "whole": "never partial",
    "checked": "never bad",
    "confirmed": "never back",
    "queries_peers": "never back",
}


def _violated_invariants(scope: Scope) -> set[str]:
    result = check_safety(protocol(scope))
    properties = result["properties"].items()
    violated = {name for name, verdict in properties if verdict["holds"] is False}
    assert violated or result["exhaustive"], result["incomplete_reason"]
    return violated


def test_two_nodes_keep_every_invariant():
    """Guards against protocol faults that need crashes, pauses and an invalid version."""
    assert _violated_invariants(TWO_NODES) == set()


def test_three_nodes_keep_every_invariant():
    """Guards against protocol faults that need two peers of a running node."""
    assert _violated_invariants(THREE_NODES) == set()


def test_each_guard_is_needed():
    """Guards against invariants that hold only because the model cannot express the failure."""
    assert set(VIOLATED_BY_GUARD) == {field.name for field in attrs.fields(Guards)}
    for guard, invariant in VIOLATED_BY_GUARD.items():
        guards = attrs.evolve(Guards(), **{guard: False})
        scope = attrs.evolve(TWO_NODES, crashes=1, pauses=False, guards=guards)
        assert invariant in _violated_invariants(scope), guard


load_tests = function_tests(__name__)
