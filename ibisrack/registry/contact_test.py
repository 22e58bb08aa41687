"""Tests of how an outage of the registry is told from calls that fail."""

from ibisrack.registry.contact import RegistryContact
from ibisrack.registry.timing import RegistryTiming
from ibisrack.testing.functions import function_tests

HEARTBEAT_S = 1.5
LAPSE_HEARTBEATS = 3


def contact_at(answered_at_s: float, bound_s: float = 2.0) -> RegistryContact:
    """Returns the state after an answer."""
    contact = RegistryContact(RegistryTiming(bound_s, HEARTBEAT_S))
    contact.record(answered_at_s)
    return contact


def test_a_call_that_is_cut_is_no_outage():
    """Guards against removals that don't count because a call that waited was cut."""
    for bound_s in (2.0, 2.5, 3.0):
        contact = contact_at(10.0, bound_s)
        assert not contact.may_have_lapsed(10.0 + contact.timing.watch_s + 0.1)


def test_an_outage_in_which_an_entry_can_lapse_is_noticed():
    """Guards against a lapse that is taken for a removal."""
    # The last heartbeat came just after the one that the outage prevents was due before.
    shortest_s = (LAPSE_HEARTBEATS - 1) * HEARTBEAT_S
    assert contact_at(10.0).may_have_lapsed(10.0 + shortest_s)


def test_an_answer_to_a_peer_counts_with_its_possible_age():
    """Guards against a node that follows others and takes an outage for a shorter one."""
    contact = contact_at(10.0)
    contact.record_at_peer(20.0)
    shortest_s = (LAPSE_HEARTBEATS - 1) * HEARTBEAT_S
    assert contact.may_have_lapsed(20.0 - contact.timing.answer_age_s + shortest_s)


def test_followers_that_change_readers_see_no_outage():
    """Guards against removals that don't count because the reader of the zone has changed."""
    for bound_s in (2.0, 2.5, 3.0):
        contact = contact_at(10.0, bound_s)
        contact.record_at_peer(20.0)
        assert not contact.may_have_lapsed(20.0 + contact.timing.takeover_s + 0.3)


def test_an_earlier_answer_to_a_peer_does_not_hide_a_later_one():
    """Guards against an outage seen where this node itself was answered just now."""
    contact = contact_at(10.0)
    contact.record_at_peer(10.1)
    assert contact.answered_at_s == 10.0


load_tests = function_tests(__name__)
