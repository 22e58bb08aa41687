"""Parses durations in the platform's format: a number followed by ``ms`` or ``s``."""

from ibisrack.decimals import parse_number

_UNITS_PER_S = (("ms", 1000), ("s", 1))  # The longer unit first: both end with an s.


def parse_duration_s(text: object) -> float:
    """Returns a duration in seconds.

    Any number is a duration; whoever uses it bounds it to what a process can do.

    Raises:
      ValueError: The text is not a duration.
    """
    if isinstance(text, str):
        unit, units_per_s = next((u for u in _UNITS_PER_S if text.endswith(u[0])), ("", 1))
        number = parse_number(text.removesuffix(unit)) if unit else None
        if number is not None:
            return number / units_per_s
    raise ValueError(f"'{str(text)[:40]}' is not a duration such as 1500ms or 2.5s")
