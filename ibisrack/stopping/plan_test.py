"""Tests of the decisions of a planned stop."""

from ibisrack.stopping.plan import PlannedStop
from ibisrack.testing.functions import function_tests


def test_a_planned_stop_refuses_only_requests_that_it_would_cut_off():
    """Guards against a request that is cut off by the stop, and against needless refusals."""
    stop = PlannedStop(accepts_until_s=2.5, ends_at_s=5.6)
    assert not stop.would_cut_off(2.0, 10.0)
    assert stop.would_cut_off(2.6, 10.0)
    assert not stop.would_cut_off(2.6, 4.0)


def test_a_repeated_stop_accepts_only_requests_that_end_in_time():
    """Guards against a cut request whose caller counts the grace time from the second signal."""
    stop = PlannedStop(accepts_until_s=2.5, ends_at_s=5.6)
    stop.requested_again = True
    assert stop.would_cut_off(2.0, 6.0)
    assert not stop.would_cut_off(2.0, 5.0)
    assert stop.accepts_submission(2.0, 5.0)


def test_a_planned_stop_accepts_submissions_that_end_in_time():
    """Guards against an instance left idle by the stop, and against runs that the end cuts off."""
    stop = PlannedStop(accepts_until_s=2.5, ends_at_s=5.6)
    assert stop.accepts_submission(2.0, 5.0)
    assert not stop.accepts_submission(2.0, 6.0)
    assert not stop.accepts_submission(2.6, 3.0)


def test_requests_are_withdrawn_before_their_runs_would_be_cut_off():
    """Guards against a start so late that the end cuts off the run, and against early refusals."""
    stop = PlannedStop(accepts_until_s=2.5, ends_at_s=5.6)
    assert not stop.is_too_late_to_start(5.0, 9.0, service_s=0.1)
    assert stop.is_too_late_to_start(5.2, 9.0, service_s=0.1)
    assert stop.is_too_late_to_start(4.5, 9.0, service_s=0.6)
    assert not stop.is_too_late_to_start(4.0, 9.0, service_s=30.0)
    assert not stop.is_too_late_to_start(5.2, 5.5, service_s=0.6)


def test_requests_of_a_route_with_long_runs_are_withdrawn_earlier():
    """Guards against a run that the end cuts off because most requests are much shorter."""
    stop = PlannedStop(accepts_until_s=2.5, ends_at_s=5.6)
    assert not stop.is_too_late_to_start(2.5, 9.0, service_s=0.1, longest_s=3.0)
    assert stop.is_too_late_to_start(2.7, 9.0, service_s=0.1, longest_s=3.0)
    assert not stop.is_too_late_to_start(2.4, 9.0, service_s=0.1, longest_s=9.0)
    assert not stop.is_too_late_to_start(5.0, 9.0, service_s=0.6, longest_s=0.2)
    assert stop.is_too_late_to_start(5.2, 9.0, service_s=0.6, longest_s=0.2)


load_tests = function_tests(__name__)
