"""Settings of property-based tests: fixed seeds, no example database, no time limit per case."""

from typing import Any

from hypothesis import HealthCheck, settings


def fuzz(cases: int) -> Any:
    """Returns the decorator with the settings of a property-based test.

    Args:
      cases: Maximum number of generated cases.
    """
    return settings(
        max_examples=cases,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
