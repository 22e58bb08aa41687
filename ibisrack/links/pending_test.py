"""Tests of requests that were given up while a peer may hold them."""

import attrs

from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.messages import Cancel, Resume
from ibisrack.links.pending import MIN_ABANDONED_S, AbandonedRequests, PendingRequest
from ibisrack.testing.functions import function_tests


def pending(number: int, deadline_at_s: float) -> PendingRequest:
    """Returns a request at the process "a" of a peer."""
    submit = attrs.evolve(SUBMIT, number=number)
    return PendingRequest(submit, None, "a", lambda: False, deadline_at_s)


def test_abandoned_request_is_cancelled_at_the_process_that_received_it():
    """Guards against work for nobody, and against a cancellation at another process."""
    abandoned = AbandonedRequests()
    abandoned.add(pending(3, 9.0), 1.0)
    resume = Resume(3, SUBMIT.request_id, SUBMIT.attempt)
    assert list(abandoned.cancellations("a")) == [resume, Cancel(3)]
    assert not list(abandoned.cancellations("b"))


def test_abandoned_request_is_remembered_past_its_deadline():
    """Guards against a run that goes on because its deadline passed while the link was lost."""
    abandoned = AbandonedRequests()
    abandoned.add(pending(3, 1.0), 1.0)
    abandoned.add(pending(4, 9.0), 1.0)
    abandoned.drop_expired(1.0 + MIN_ABANDONED_S - 0.1)
    assert len(abandoned) == 2
    abandoned.drop_expired(1.0 + MIN_ABANDONED_S)
    assert len(abandoned) == 1
    abandoned.drop_expired(9.0)
    assert not len(abandoned)


load_tests = function_tests(__name__)
