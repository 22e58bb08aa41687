"""Tests of the room for answers on the host's link."""

import attrs

from ibisrack.hosting.answer_room import AnswerRoom
from ibisrack.hosting.runs import Run
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.pacer import LinkPacer
from ibisrack.testing.functions import function_tests

DOWNLOAD = attrs.evolve(SUBMIT, expected_answer_bytes=90_000)


def test_expected_answers_to_peers_count_until_they_are_ready():
    """Guards against a node that accepts more downloads than its link can send."""
    room = AnswerRoom(LinkPacer(16.0))
    with room.hold(Run(DOWNLOAD, from_peer=True)), room.hold(Run(DOWNLOAD, from_peer=True)):
        assert round(room.pacer.backlog_s(1.0), 3) == 0.1
    assert room.pacer.backlog_s(1.0) == 0.0
    with room.hold(Run(DOWNLOAD)):  # A caller on this host gets its answer without the link.
        assert room.pacer.backlog_s(1.0) == 0.0


load_tests = function_tests(__name__)
