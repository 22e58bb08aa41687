"""Parses durations in the platform's format: a number followed by ``ms`` or ``s``."""

import re

from ibisrack.decimals import MAX_NUMBER_CHARS

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


def parse_duration_s(text: object) -> float:
    """Returns a duration in seconds.

    Any number is a duration, with as many digits as a program prints; whoever uses it bounds it to
    what a process can do.

    Raises:
      ValueError: The text is not a duration.
    """
    is_short = isinstance(text, str) and len(text) <= MAX_NUMBER_CHARS
    match = _DURATION.fullmatch(text) if is_short else None
    if match is None:
        raise ValueError(f"'{str(text)[:40]}' is not a duration such as 1500ms or 2.5s")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)
