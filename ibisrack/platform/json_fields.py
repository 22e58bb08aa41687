"""Checks of the values in JSON that other programs wrote."""

import math
from typing import Any


def json_object(value: Any) -> dict[str, Any]:
    """Returns an object; raises TypeError for any other value."""
    if not isinstance(value, dict):
        raise TypeError("expected a JSON object")
    return value


def non_empty_string(value: Any) -> str:
    """Returns a string that is not empty; raises TypeError for any other value."""
    if not isinstance(value, str) or not value:
        raise TypeError("expected a non-empty string")
    return value


def integer(value: Any, max_value: int) -> int:
    """Returns a whole number from 0 to a maximum; raises TypeError for any other value."""
    if count(value) > max_value:
        raise TypeError(f"expected an integer from 0 to {max_value}")
    return value


def count(value: Any) -> int:
    """Returns a whole number from 0 on, of any size; raises TypeError for any other value.

    Whoever uses it bounds it to what a process can do.
    """
    if type(value) is not int or value < 0:
        raise TypeError("expected an integer of at least 0")
    return value


def rate(value: Any) -> float:
    """Returns a finite number of at least 0; raises TypeError for any other value."""
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise TypeError("expected a number of at least 0")
    return float(value)
