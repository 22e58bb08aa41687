"""Parses durations in the platform's format: a number followed by ``ms`` or ``s``."""

import re

_DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)(ms|s)\Z")


def parse_duration_s(text: object) -> float:
    """Returns a duration in seconds.

    Raises:
      ValueError: The text is not a duration.
    """
    match = _DURATION.match(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"'{str(text)[:40]}' is not a duration such as 1500ms or 2.5s")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)
