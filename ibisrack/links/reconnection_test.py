"""Tests of the pause before an outgoing link connects again."""

from ibisrack.links.reconnection import (
    CONNECT_RETRY_PAUSE_S,
    LINK_LOSS_PAUSE_S,
    MAX_UNUSABLE_PAUSE_S,
    reconnect_pause_s,
)
from ibisrack.testing.functions import function_tests


def test_only_messages_that_cannot_be_decoded_lead_to_a_long_pause():
    """Guards against a peer that stays away for seconds after an ordinary loss of its link."""
    assert reconnect_pause_s(True, 0) == LINK_LOSS_PAUSE_S
    assert reconnect_pause_s(False, 0) == CONNECT_RETRY_PAUSE_S
    assert reconnect_pause_s(True, 1) == CONNECT_RETRY_PAUSE_S
    assert reconnect_pause_s(True, 99) == MAX_UNUSABLE_PAUSE_S


load_tests = function_tests(__name__)
