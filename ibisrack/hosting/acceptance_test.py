"""Tests of which entry names the instance beside a node."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.acceptance import Acceptance
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import InstanceState
from ibisrack.registry.messages import Revision
from ibisrack.suspects.exchange import SuspectExchange
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance

ADDRESS = ("10.0.0.1", 80)
NAMED = frozenset({"desk", "docs"})
UNNAMED = ("desk-2019", "Desk", "docs ")

OTHERS = st.lists(
    st.builds(
        instance,
        st.sampled_from(("a-old", "i-2", "z-old")),
        service=st.sampled_from(UNNAMED),
        state=st.sampled_from(InstanceState),
        started_at_ms=st.integers(0, 9),
        slots=st.integers(1, 9),
        revision=st.builds(Revision, st.just(1), st.integers(1, 9)),
    ),
    max_size=4,
)


def create_acceptance(*listed) -> Acceptance:
    directory = InstanceDirectory()
    for each in listed:
        directory.put(each)
    return Acceptance(ADDRESS, directory, SuspectExchange(), named_services=NAMED)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(others=OTHERS, position=st.integers(0, 4), state=st.sampled_from(InstanceState))
def test_entries_under_services_that_nobody_names_change_nothing(others, position, state):
    """Guards against a node that refuses all requests because of another writer's entry."""
    own = instance("i-1", state=state, started_at_ms=5, revision=Revision(1, 5))
    acceptance = create_acceptance(*others[:position], own, *others[position:])
    assert acceptance.instance == own
    is_accepted = acceptance.accepts_requests(read_monotonic_s())
    assert is_accepted == (state is InstanceState.READY)


def test_a_reused_address_belongs_to_the_ready_instance():
    """Guards against a node that takes the previous instance at its address for its own."""
    draining = instance("i-old", state=InstanceState.DRAINING, revision=Revision(1, 9))
    acceptance = create_acceptance(draining, instance("i-new", service="docs"))
    assert acceptance.instance.instance_id == "i-new"


def test_a_reused_address_belongs_to_the_instance_that_was_written_last():
    """Guards against a node that keeps to a crashed instance since the clock was set back."""
    acceptance = create_acceptance(
        instance("i-new", started_at_ms=500, revision=Revision(1, 9)),
        instance("i-old", started_at_ms=900, revision=Revision(1, 4)),
    )
    assert acceptance.instance.instance_id == "i-new"


def test_an_address_belongs_to_the_instance_that_answers_there():
    """Guards against refusals because of an instance in whose place another one answers."""
    for service in sorted(NAMED):
        stray = instance("i-2", service=service, started_at_ms=9, revision=Revision(1, 9))
        acceptance = create_acceptance(instance("i-1", revision=Revision(1, 4)), stray)
        acceptance.ended_starts.record(stray, read_monotonic_s())
        assert acceptance.instance.instance_id == "i-1"
        assert acceptance.accepts_requests(read_monotonic_s())


def test_the_only_instance_at_an_address_counts_before_its_service_is_named():
    """Guards against a node without slots when a peer has the configuration earlier."""
    new = instance("i-1", service="lookups")
    assert create_acceptance(new).instance == new
    assert create_acceptance().instance is None
    moved = attrs.evolve(new, host="10.0.0.2")
    assert create_acceptance(moved).instance is None


load_tests = function_tests(__name__)
