"""Tests of the callers that come back sooner than they were told."""

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.dispatch.dispatcher_test import attempts, dispatcher
from ibisrack.dispatch.early_returns import EarlyReturns
from ibisrack.dispatch.first_attempts import FirstAttemptEstimator, is_return
from ibisrack.dispatch.recorder import RequestRecorder
from ibisrack.dispatch.request import Request
from ibisrack.errors import NotRunError
from ibisrack.links.messages import Load
from ibisrack.metrics.tally import Tally
from ibisrack.registry.messages import NO_REVISION
from ibisrack.registry.view import RegistryView
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import route

TIMEOUT_S, WAIT_S = 1.4, 0.3
DEADLINE_S = 10.0 + TIMEOUT_S


def request(at_s: float = 10.0, deadline_at_s: float = DEADLINE_S, target: str = "/p") -> Request:
    """Returns a request; one that comes back has the deadline of the first attempt."""
    return Request("q", "GET", "desk.example", target, (), b"", "shop", at_s, deadline_at_s)


def rest_s(returned: Request, first_attempt_at_s: float, wait_s: float = WAIT_S) -> float:
    """Returns the rest of the wait of a request, after one that arrived at 10.0 was refused."""
    returns = EarlyReturns()
    returns.record(request(), 10.0, wait_s, 10.01)
    return returns.rest_s(returned, first_attempt_at_s)


def test_a_caller_that_repeats_at_once_waits_for_the_rest():
    """Guards against repeated requests that crowd out those of callers that wait."""
    assert 0.2 < rest_s(request(10.05), 10.005) < 0.25
    assert rest_s(request(10.29), 10.005) == 0.0


def test_a_caller_that_waits_for_a_third_of_its_time_is_not_early():
    """Guards against refusing a caller that was told to wait longer than callers do."""
    assert rest_s(request(10.48), 10.005, 1.0) == 0.0
    assert rest_s(request(10.3), 10.005, 1.0) > 0.0


def test_other_requests_are_not_taken_for_repeated_ones():
    """Guards against refusing other callers of the same path."""
    assert rest_s(request(10.05, 10.05 + TIMEOUT_S), 10.05) == 0.0  # A first attempt.
    assert rest_s(request(10.05), 10.04) == 0.0  # Comes back after another one.
    assert rest_s(request(10.05, target="/other"), 10.005) == 0.0
    assert rest_s(request(10.005), 10.0) == 0.0  # Sent with the refused one.


def test_rounding_makes_no_first_attempt_a_return():
    """Guards against new callers that get the short wait of those that have come back."""
    estimator = FirstAttemptEstimator()
    for number in range(100):
        at_s = 2047.3 + number * 0.0137
        first, returned = request(at_s, at_s + TIMEOUT_S), request(at_s, at_s + TIMEOUT_S - 0.01)
        assert not is_return(estimator.first_attempt_at_s(route(), first), first)
        assert is_return(estimator.first_attempt_at_s(route(), returned), returned)


async def test_a_caller_that_is_early_is_served_while_a_slot_is_free():
    """Guards against a refusal while there is capacity, and an attempt while there is none."""
    sender, destination = dispatcher(result=NotRunError(Reason.TOO_BUSY))
    sender.recorder = RequestRecorder(Tally(), RegistryView())
    now_s = read_monotonic_s()
    first = request(now_s - 0.05, now_s + TIMEOUT_S)
    returned, made = attrs.evolve(first, received_at_s=now_s), attempts(sender)
    made.first_attempt_at_s = now_s - 0.05
    full = Load(2, 8, 2, 400.0, True, NO_REVISION, True, True)
    for load, tried in ((full, 0), (attrs.evolve(full, busy=1, queued=0), 6)):
        destination.load = load
        sender.early_returns.record(first, made.first_attempt_at_s, 0.4, now_s - 0.04)
        reply = await sender._reply(returned, made)
        assert reply.reason == Reason.TOO_BUSY
        assert len(destination.submits) == tried
    assert sender.recorder.early_returns == 1


load_tests = function_tests(__name__)
