"""Determines when a caller that was refused for want of room may come back."""

from random import Random

from ibisrack.calls.targets import IN_TIME_MEAN_FACTOR
from ibisrack.dispatch.capacity import CapacityEstimate

MIN_RETRY_AFTER_S = 0.05
# Random part of a wait, on both sides of the expected one.  Requests that now wait at the instances
# start, one after the other, within the expected wait; callers that come back together would meet
# a part of that capacity only.
SPREAD = 0.5
# Part of a new caller's wait after which one that has come back once may do so again: it has waited
# as told, and most of its time is over.
RETURNED_SHARE = 0.5


def spread_wait_s(
    estimate: CapacityEstimate,
    idle_wait_s: float,
    deadline_left_s: float,
    has_returned: bool,
    rng: Random,
) -> float:
    """Returns the wait of a caller that was refused for want of room.

    Args:
      estimate: Capacity of the service for the request.
      idle_wait_s: Wait without an estimate, and the longest one if no requests wait there.
      deadline_left_s: Time until the caller's deadline.
      has_returned: Whether the caller had been refused before.
      rng: Source of the spread.
    """
    # Where none wait, each slot becomes free once within a service time.
    known_s = max(estimate.wait_s, estimate.service_s)
    wait_s = estimate.certainty * known_s + (1 - estimate.certainty) * idle_wait_s
    if not estimate.wait_s:
        wait_s = min(wait_s, idle_wait_s / (1 + SPREAD))
    if has_returned:
        wait_s *= RETURNED_SHARE
    wait_s *= rng.uniform(1 - SPREAD, 1 + SPREAD)
    latest_s = deadline_left_s - estimate.service_s * IN_TIME_MEAN_FACTOR
    return max(MIN_RETRY_AFTER_S, min(wait_s, latest_s))
