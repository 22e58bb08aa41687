"""Tests of the wait of refused callers, with the times of ``capacity_test.py``."""

from random import Random

from ibisrack.dispatch.capacity import CapacityEstimate
from ibisrack.dispatch.capacity_test import DEADLINE_S, TARGET_S
from ibisrack.dispatch.retry_after import MIN_RETRY_AFTER_S, spread_wait_s
from ibisrack.testing.functions import function_tests

IDLE_WAIT_S = TARGET_S / 4
SERVICE_S, WAIT_S = 0.2, 0.8


def waits(
    wait_s: float = WAIT_S,
    certainty: float = 1.0,
    deadline_left_s: float = DEADLINE_S,
    has_returned: bool = False,
) -> list[float]:
    """Returns the sorted waits of 200 callers that are refused at the same time."""
    rng, estimate = Random(1), CapacityEstimate(wait_s, SERVICE_S, certainty, 0.1)
    return sorted(
        spread_wait_s(estimate, IDLE_WAIT_S, deadline_left_s, has_returned, rng) for _ in range(200)
    )


def test_callers_come_back_spread_around_the_time_at_which_there_is_capacity():
    """Guards against refused callers that come back together and are refused again."""
    spread = waits()
    assert 0.5 * WAIT_S <= spread[0] < 0.55 * WAIT_S
    assert 1.45 * WAIT_S < spread[-1] <= 1.5 * WAIT_S
    quarters = [spread[49], spread[99], spread[149]]
    assert all(
        abs(q - WAIT_S * part) < 0.08 for q, part in zip(quarters, (0.75, 1.0, 1.25), strict=True)
    )


def test_a_caller_can_still_be_served_after_its_wait():
    """Guards against a wait until just before the deadline, and against one of no time."""
    assert max(waits(deadline_left_s=0.6)) <= 0.6 - SERVICE_S
    assert max(waits(deadline_left_s=0.1)) == MIN_RETRY_AFTER_S


def test_a_caller_of_an_idle_service_waits_no_longer_than_without_an_estimate():
    """Guards against long waits after the end of an overload."""
    assert max(waits(wait_s=0.0)) <= IDLE_WAIT_S
    assert max(waits(wait_s=0.0, certainty=0.0)) <= IDLE_WAIT_S


def test_old_reports_lead_back_to_the_wait_without_an_estimate():
    """Guards against waits that follow an overload of which the node has long heard nothing."""
    assert max(waits(certainty=0.0)) <= 1.5 * IDLE_WAIT_S
    assert sum(waits(certainty=0.5)) < sum(waits())


def test_callers_that_waited_come_back_sooner_than_new_ones():
    """Guards against callers that waited as told and lose their place to new ones."""
    assert sum(waits(has_returned=True)) < 0.55 * sum(waits())


load_tests = function_tests(__name__)
