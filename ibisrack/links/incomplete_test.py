"""Tests of submissions whose bodies come in parts."""

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.incomplete import (
    MAX_INCOMPLETE,
    MAX_INCOMPLETE_BYTES,
    IncompleteSubmissions,
)
from ibisrack.links.messages import BodyPart, Submit
from ibisrack.testing.functions import function_tests

HEAD = attrs.evolve(SUBMIT, body=b"ab", more=True, remaining_ms=900, remaining_target_ms=500)


def numbered(number: int) -> Submit:
    return attrs.evolve(HEAD, number=number)


def refusal_of(call, *arguments) -> str:
    """Returns the reason for which a submission is refused."""
    try:
        call(*arguments)
    except NotRunError as error:
        return error.reason
    raise AssertionError("the submission was not refused")


def test_a_submission_is_complete_with_its_last_part():
    """Guards against a run with part of a body, and against a deadline that the parts extend."""
    held = IncompleteSubmissions()
    held.begin(HEAD, None, 5.0)
    assert held.add(BodyPart(99, b"zz", False), 5.1) is None
    assert held.add(BodyPart(HEAD.number, b"cd", True), 5.1) is None
    complete = held.add(BodyPart(HEAD.number, b"e", False), 5.25).submit
    assert (complete.body, complete.more) == (b"abcde", False)
    assert (complete.remaining_ms, complete.remaining_target_ms) == (650, 250)
    assert (len(held), held.held_bytes) == (0, 0)
    assert held.add(BodyPart(HEAD.number, b"f", False), 5.3) is None


def test_a_link_holds_a_bounded_number_of_incomplete_submissions():
    """Guards against a peer whose uploads that never end fill the memory of this node."""
    held = IncompleteSubmissions()
    for number in range(MAX_INCOMPLETE):
        held.begin(numbered(number), None, 5.0)
    assert refusal_of(held.begin, numbered(MAX_INCOMPLETE), None, 5.0) == Reason.TOO_BUSY
    assert held.drop(0)
    assert not held.drop(0)
    held.begin(numbered(MAX_INCOMPLETE), None, 5.0)
    # The same number again replaces the first one.
    held.begin(numbered(MAX_INCOMPLETE), None, 5.0)
    assert held.held_bytes == len(HEAD.body) * MAX_INCOMPLETE


def test_a_link_holds_a_bounded_size_of_incomplete_submissions():
    """Guards against a body without end, and against one refusal that ends other uploads."""
    held, part = IncompleteSubmissions(), bytes(2**20)
    held.begin(numbered(1), None, 5.0)
    held.begin(numbered(2), None, 5.0)
    for _ in range(MAX_INCOMPLETE_BYTES // len(part) - 1):
        held.add(BodyPart(1, part, True), 5.0)
    assert refusal_of(held.add, BodyPart(1, part, True), 5.0) == Reason.TOO_BUSY
    assert held.add(BodyPart(1, part, False), 5.0) is None
    assert held.add(BodyPart(2, b"c", False), 5.0).submit.body == b"abc"
    assert held.held_bytes == 0
    # A body of the largest size fits alone.
    held.begin(attrs.evolve(numbered(3), body=b""), None, 5.0)
    for _ in range(MAX_INCOMPLETE_BYTES // len(part)):
        held.add(BodyPart(3, part, True), 5.0)
    assert held.add(BodyPart(3, b"", False), 5.0) is not None


load_tests = function_tests(__name__)
