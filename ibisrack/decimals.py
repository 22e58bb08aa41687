"""Parsing of numbers in text that other processes or operators wrote."""

MAX_NUMBER_CHARS = 300  # Any decimal number of this length is finite as a float.


def parse_count(text: str) -> int | None:
    """Parses a whole number of ASCII digits without a sign, of any size.

    Args:
      text: The digits, at most MAX_NUMBER_CHARS characters; leading zeros are allowed.

    Returns:
      The number, or None when the text is malformed or too long.
    """
    is_number = len(text) <= MAX_NUMBER_CHARS and text.isascii() and text.isdigit()
    return int(text) if is_number else None


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
