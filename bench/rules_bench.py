"""Time to parse and check rules files: 250 services, and the largest value of the platform."""

import time

from bench.measures import Measure
from ibisrack.rules.ruleset import MAX_CONTENT_BYTES, parse_rule_set
from ibisrack.testing.fixtures import many_services_rules

MEASURES = ("check_250_services_s", "check_1mb_s")
MAX_CHECK_S = 2.0


def _check_s(content: bytes) -> float:
    start_s = time.perf_counter()
    parse_rule_set(content)
    return time.perf_counter() - start_s


def run() -> list[Measure]:
    """Measures both files."""
    fleet_rules = many_services_rules(250)
    bytes_per_service = len(many_services_rules(500)) / 500
    largest_rules = many_services_rules(int(MAX_CONTENT_BYTES / bytes_per_service) - 1)
    return [
        Measure("check_250_services_s", _check_s(fleet_rules), "s", at_most=MAX_CHECK_S),
        Measure("check_1mb_s", _check_s(largest_rules), "s", at_most=MAX_CHECK_S),
    ]
