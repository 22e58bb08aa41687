"""Times as the platform writes them: a number and its unit, ``ms`` or ``s``."""

import re

_DURATION = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)\Z")


def parse_duration_s(text: object) -> float:
    """Returns a time in seconds.

    Raises:
      ValueError: The text is not a time.
    """
    found = _DURATION.match(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"'{str(text)[:40]}' is not a time such as 1500ms or 2.5s")
    return float(found[1]) / (1000 if found[2] == "ms" else 1)
