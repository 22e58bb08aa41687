"""Tests of the room for answers on the host's link."""

from contextlib import ExitStack

import attrs

from ibisrack.calls.messages import LoadReport
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError
from ibisrack.hosting.answer_room import AnswerRoom, expected_response_s, leaves_in_time
from ibisrack.hosting.runs import Run
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.pacer import MIN_PART_BYTES, LinkPacer
from ibisrack.testing.functions import function_tests

DOWNLOAD = attrs.evolve(SUBMIT, expected_answer_bytes=90_000, remaining_ms=1_000)


def test_expected_answers_to_peers_count_until_they_are_ready():
    """Guards against a node that accepts more downloads than its link can send."""
    room = AnswerRoom(LinkPacer(16.0))
    download, other = Run(DOWNLOAD, from_peer=True), Run(DOWNLOAD, from_peer=True)
    with room.hold(download, 0.1, 1.0), room.hold(other, 0.1, 1.0):
        assert round(room.pacer.backlog_s(1.0), 3) == 0.1
    assert room.pacer.backlog_s(1.0) == 0.0
    with room.hold(Run(DOWNLOAD), 0.1, 1.0):  # A caller on this host is answered without the link.
        assert room.pacer.backlog_s(1.0) == 0.0


def test_an_answer_that_cannot_leave_in_time_is_refused_before_it_runs():
    """Guards against runs whose answers come after the deadline and delay the next ones."""
    room, accepted = AnswerRoom(LinkPacer(16.0)), 0
    with ExitStack() as running:
        for _ in range(40):
            try:
                running.enter_context(room.hold(Run(DOWNLOAD, from_peer=True), 0.122, 1.0))
            except NotRunError as error:
                assert error.reason == Reason.LINK_FULL
                continue
            accepted += 1
        # The link sends 20 answers of 50 ms in the second until the deadline.
        assert (accepted, room.refused) == (20, 20)
        running.enter_context(room.hold(Run(DOWNLOAD), 0.122, 1.0))
        for size_bytes in (0, MIN_PART_BYTES):  # Not known, or short: it passes the others.
            short = attrs.evolve(DOWNLOAD, expected_answer_bytes=size_bytes)
            running.enter_context(room.hold(Run(short, from_peer=True), 0.122, 1.0))


def test_on_an_idle_link_any_answer_is_tried():
    """Guards against a route whose answers are never sent again after some that were too large."""
    assert leaves_in_time(1.0, 0.2, 0.0, 30.0)
    assert not leaves_in_time(1.0, 0.2, 0.3, 30.0)
    room = AnswerRoom(LinkPacer(16.0))
    huge = attrs.evolve(DOWNLOAD, expected_answer_bytes=2**31 - 1)
    with room.hold(Run(huge, from_peer=True), 0.1, 1.0):
        pass


def test_the_link_sends_its_backlog_while_the_request_waits_and_runs():
    """Guards against refusals of what arrives in time."""
    assert leaves_in_time(1.0, 0.7, 0.8, 0.1)
    assert not leaves_in_time(1.0, 0.95, 0.1, 0.1)
    # What only the slots delay is left to their scheduler.
    assert leaves_in_time(1.0, 1.5, 0.1, 0.1)
    assert not leaves_in_time(1.0, 1.5, 0.95, 0.1)
    assert expected_response_s(LoadReport(4, 0, 5), 0.1) == 0.1
    assert round(expected_response_s(LoadReport(5, 4, 5), 0.1), 3) == 0.2
    assert expected_response_s(LoadReport(5, 4, 5), 0.0) == 0.0


load_tests = function_tests(__name__)
