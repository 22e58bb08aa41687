"""Tests of parsing numbers."""

import math

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.decimals import MAX_NUMBER_CHARS, parse_count, parse_decimal
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz


@fuzz(300)
@given(st.integers(0, 2**70), st.integers(0, 2**70), st.integers(0, 30))
def test_numbers_up_to_the_maximum_are_parsed(value, max_value, zeros):
    """Guards against a number over its maximum, and against one that leading zeros change."""
    parsed = parse_decimal("0" * zeros + str(value), max_value)
    assert parsed == (value if value <= max_value else None)


@fuzz(1000)
@given(st.text("0123456789²٣+-_ .x", max_size=4))
def test_only_ascii_digits_are_a_number(text):
    """Guards against a ValueError for a text that looks like a number."""
    is_number = text != "" and all(char in "0123456789" for char in text)
    assert (parse_decimal(text, 9999) is not None) == is_number


def test_other_notations_and_very_long_numbers_are_malformed():
    """Guards against notations that ``int`` accepts, and against its limit on digits."""
    for text in ("", "²", "٣", "+1", "-1", " 1", "1_0", "1.0", "9" * 5000):
        assert parse_decimal(text, 65535) is None, text
        assert parse_count(text) is None, text
    assert parse_decimal("0" * 5000 + "7", 65535) == 7


@fuzz(300)
@given(st.integers(0, 10**270), st.integers(0, 25))
def test_counts_of_any_size_are_parsed(value, zeros):
    """Guards against a count that is refused for its size."""
    assert parse_count("0" * zeros + str(value)) == value


def test_longer_texts_are_malformed():
    """Guards against work on text without a bound, and against numbers that are no float."""
    longest = "9" * MAX_NUMBER_CHARS
    assert parse_count(longest) == int(longest)
    assert float(longest) < math.inf
    for text in (longest + "9", "0" * 5000):
        assert parse_count(text) is None


load_tests = function_tests(__name__)
