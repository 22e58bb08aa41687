"""Parsing of numbers in text that other processes or operators wrote."""

import re

MAX_NUMBER_CHARS = 300  # Any such number is finite as a float.

_MAX_COUNT = 10**MAX_NUMBER_CHARS - 1
_NUMBER = re.compile(r"[0-9]+(?:\.[0-9]+)?")


def parse_number(text: str) -> float | None:
    """Parses a number of ASCII digits without a sign, with or without a fraction.

    Programs print as many digits as their numbers have, and leading zeros; all are accepted.

    Args:
      text: The digits, at most MAX_NUMBER_CHARS characters.

    Returns:
      The number that is nearest, or None when the text is malformed or too long.
    """
    if len(text) > MAX_NUMBER_CHARS or not _NUMBER.fullmatch(text):
        return None
    return float(text)


def parse_count(text: str) -> int | None:
    """Parses a whole number of ASCII digits without a sign, of any size.

    Args:
      text: The digits, at most MAX_NUMBER_CHARS characters.

    Returns:
      The number, or None when the text is malformed or too long.
    """
    return parse_decimal(text, _MAX_COUNT) if len(text) <= MAX_NUMBER_CHARS else None


def parse_decimal(text: str, max_value: int) -> int | None:
    """Parses a number of ASCII digits without a sign.

    ``str.isdigit`` alone also accepts characters that ``int`` rejects, such as "²", and ``int``
    raises a ValueError for several thousand digits.

    Args:
      text: The digits; leading zeros are allowed.
      max_value: Highest valid number.

    Returns:
      The number, or None when the text is malformed or the number too high.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    significant = text.lstrip("0")
    if len(significant) > len(str(max_value)):
        return None
    value = int(significant or "0")
    return value if value <= max_value else None
