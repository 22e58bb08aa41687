"""Mean time of a repeated action."""

import time
from collections.abc import Callable


def mean_s(
    action: Callable[[], object], repetitions: int, clock: Callable[[], float] = time.perf_counter
) -> float:
    """Returns the mean time of an action.

    Args:
      action: What is measured.
      repetitions: Number of times that the action runs.
      clock: Clock in seconds; ``time.process_time`` counts processor time alone.
    """
    start_s = clock()
    for _ in range(repetitions):
        action()
    return (clock() - start_s) / repetitions


def mean_cpu_s(action: Callable[[], object], repetitions: int) -> float:
    """Returns the mean processor time of an action."""
    return mean_s(action, repetitions, time.process_time)
