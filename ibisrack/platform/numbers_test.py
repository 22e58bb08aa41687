"""Tests of numbers in entries and settings, in any length that a program prints them."""

import math
from decimal import Decimal

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.links.bounds import check_bounds
from ibisrack.links.codec import encode
from ibisrack.links.messages import Submit
from ibisrack.platform.durations import parse_duration_s
from ibisrack.platform.entries import decode_configuration, decode_instance
from ibisrack.registry.messages import Entry
from ibisrack.routing.model import MAX_TIME_S
from ibisrack.testing.entries import with_value
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz
from ibisrack.testing.sidecars import configuration_entry, instance, instance_entry, route_resource

# Seven thirds as Python prints them, a tenth as it is stored, leading zeros, a time without end.
LONG_TIMES_S = {
    "2.3333333333333335s": 7 / 3,
    "2333.3333333333335ms": 7 / 3,
    f"{Decimal(0.1)}s": 0.1,
    "0000000000000000002.5s": 2.5,
    "00000000000001500ms": 1.5,
    "9223372036854775807ms": 9223372036854775.807,
    "9" * 200 + "s": 1e200,
}


@fuzz(300)
@given(st.floats(1e-9, 1e18), st.integers(0, 20), st.sampled_from((("ms", 1000), ("s", 1))))
def test_durations_of_any_length_are_read(value, zeros, unit):
    """Guards against a valid time that is refused for the number of its digits."""
    name, units_per_s = unit
    parsed_s = parse_duration_s("0" * zeros + f"{Decimal(value):f}" + name)
    assert math.isclose(parsed_s, value / units_per_s)


def test_text_that_is_no_number_is_no_duration():
    """Guards against other notations, infinite times, and text without a bound on its length."""
    for number in ("", ".", "1.", ".5", "1.2.3", "1e3", "+1", "-1", " 1", "1 ", "1_0", "0x1"):
        assert_no_duration(f"{number}s")
    for number in ("nan", "inf", "Infinity", "٣", "²", "1,5", "9" * 400, "0" * 5000 + "1"):
        assert_no_duration(f"{number}ms")
    for text in ("2.5", "2.5S", "2.5m", "2.5s ", "2.5s\n", "2.5ss", "s", "ms", "", 2.5, None, True):
        assert_no_duration(text)


def test_durations_are_converted_by_unit():
    """Guards against durations read in the wrong unit or without one."""
    assert parse_duration_s("1500ms") == 1.5
    assert parse_duration_s("2.5s") == 2.5
    for malformed in ("1500", "2m", "-1s", 3, None, "1e3s", "s"):
        try:
            parse_duration_s(malformed)
        except ValueError:
            continue
        raise AssertionError(malformed)


def assert_no_duration(text: object) -> None:
    try:
        parse_duration_s(text)
    except ValueError:
        return
    raise AssertionError(text)


def test_each_time_of_a_configuration_may_have_many_digits():
    """Guards against a version that is refused as a whole for the digits of one time."""
    valid = configuration_entry(12, route_resource())
    for text, expected_s in LONG_TIMES_S.items():
        bounded_s = min(expected_s, MAX_TIME_S)
        for path, field_of in (
            ((0, "spec", "timeout"), lambda c: c.routes[0].timeout_s),
            ((0, "spec", "target_latency"), lambda c: c.routes[0].target_s),
            ((2, "spec", "header_timeout"), lambda c: c.limits.header_timeout_s),
            ((2, "spec", "idle_timeout"), lambda c: c.limits.idle_timeout_s),
        ):
            content = with_value(valid, ("resources", *path), text)
            decoded = decode_configuration(Entry("op/config", content, 1))
            assert math.isclose(field_of(decoded), bounded_s), (text, path)


def test_cold_time_of_an_instance_may_have_many_digits():
    """Guards against a report that is ignored, and that the instance drains with it."""
    valid = instance_entry(instance(state="draining"))
    for text, expected_s in LONG_TIMES_S.items():
        content = with_value(valid, ("status", "cold_remaining"), text)
        decoded = decode_instance(Entry("servers/i-1", content, 1))
        assert math.isclose(decoded.cold_left_s, expected_s)
        assert not decoded.ready


def test_longest_times_fit_messages_and_answers():
    """Guards against a time without end that breaks the links on which its requests are sent."""
    longest = "9" * 200 + "s"
    content = configuration_entry(12, route_resource(timeout=longest, target_latency=longest))
    route = decode_configuration(Entry("op/config", content, 1)).routes[0]
    times_ms = (int(route.timeout_s * 1000), int(route.target_s * 1000))
    submit = Submit(
        *(1, "q", 1, False, "i-1", "desk", route.rank, True, *times_ms, times_ms[1]),
        *("docs", "GET", "h", "/", (), b""),
    )
    check_bounds(submit)
    encode(submit)


load_tests = function_tests(__name__)
