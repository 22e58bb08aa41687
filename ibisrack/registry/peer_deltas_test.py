"""Tests of the decision which peers are not relied on for changes of the registry."""

from ibisrack.registry.peer_deltas import MAX_UNFIT_S, REFUSAL_S, PeerDeltas
from ibisrack.registry.registry_test import at
from ibisrack.testing.functions import function_tests

HOST = "10.0.0.1"


def test_a_peer_with_unusable_changes_is_not_relied_on_for_a_while():
    """Guards against unusable changes that are requested again at once, or a peer lost for good."""
    deltas = PeerDeltas()
    deltas.record_refused(HOST, 5.0)
    assert deltas.is_refused(HOST, 5.0 + REFUSAL_S - 0.1)
    assert not deltas.is_refused("10.0.0.2", 5.0)
    assert not deltas.is_refused(HOST, 5.0 + REFUSAL_S)


def test_the_whole_content_is_requested_once():
    """Guards against a loop of requests for content that does not fit either."""
    deltas = PeerDeltas()
    assert deltas.record_unfit(HOST, at(7), 1.0)
    assert not deltas.record_unfit(HOST, at(7), 1.1)
    assert deltas.refuse_unfit(at(6), 1.1) == []
    assert deltas.refuse_unfit(at(6), 1.0 + MAX_UNFIT_S) == [HOST]
    assert deltas.is_refused(HOST, 1.0 + MAX_UNFIT_S)
    assert not deltas.record_unfit(HOST, at(7), 1.1 + MAX_UNFIT_S)


def test_a_node_that_caught_up_refuses_no_peer():
    """Guards against refusing a peer whose whole content has arrived since."""
    deltas = PeerDeltas()
    deltas.record_unfit(HOST, at(7), 1.0)
    assert deltas.refuse_unfit(at(7), 1.0 + MAX_UNFIT_S) == []
    assert deltas.record_unfit(HOST, at(8), 1.0 + MAX_UNFIT_S)


load_tests = function_tests(__name__)
