"""Tests of the decisions about silent peers."""

from ibisrack.links.silence import (
    ABORT_AFTER_SILENCE_S,
    MAX_DELIVERY_SILENCE_S,
    PING_AFTER_SILENCE_S,
    PeerSilence,
    SilenceAction,
)
from ibisrack.testing.functions import function_tests


def test_a_silent_peer_is_pinged_once_and_then_given_up():
    """Guards against requests that wait until their deadline for a peer that is cut off."""
    silence = PeerSilence(heard_at_s=10.0)
    assert silence.next_action(True, 10.0 + PING_AFTER_SILENCE_S / 2) is SilenceAction.NONE
    pinged_at_s = 10.0 + PING_AFTER_SILENCE_S
    assert silence.next_action(True, pinged_at_s) is SilenceAction.PING
    assert silence.next_action(True, pinged_at_s + 0.1) is SilenceAction.NONE
    assert silence.next_action(True, 10.0 + ABORT_AFTER_SILENCE_S) is SilenceAction.ABORT


def test_a_peer_that_answers_is_kept():
    """Guards against links that are given up although their peers answer."""
    silence = PeerSilence(heard_at_s=10.0)
    assert silence.next_action(True, 11.0) is SilenceAction.PING
    silence.heard_at_s = 11.1
    assert silence.next_action(True, 11.2) is SilenceAction.NONE
    assert not silence.is_unresponsive(30.0)


def test_a_link_without_requests_is_kept_but_its_peer_not_relied_on():
    """Guards against a follower that waits for changes from a frozen peer."""
    silence = PeerSilence(heard_at_s=10.0)
    assert silence.next_action(False, 11.0) is SilenceAction.PING
    later_s = 11.0 + MAX_DELIVERY_SILENCE_S
    assert silence.next_action(False, later_s) is SilenceAction.NONE
    assert silence.is_unresponsive(later_s)


load_tests = function_tests(__name__)
