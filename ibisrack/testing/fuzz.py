"""Settings of generated tests: fixed seeds, no database, no limit on the time of a case."""

from typing import Any

from hypothesis import HealthCheck, settings


def fuzz(cases: int) -> Any:
    """Returns the decorator for a generated test.

    Args:
      cases: Number of cases.
    """
    return settings(
        max_examples=cases,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
