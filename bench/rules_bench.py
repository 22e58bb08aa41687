"""Time to check rules files: 250 services, and the largest value that the platform holds."""

import time

from bench.measures import Measure
from ibisrack.rules.ruleset import MAX_CONTENT_BYTES, parse_rule_set
from ibisrack.testing.fixtures import many_services_rules

MEASURES = ("check_250_services_s", "check_1mb_s")
CHECK_BOUND_S = 2.0


def _check_s(content: bytes) -> float:
    start_s = time.perf_counter()
    parse_rule_set(content)
    return time.perf_counter() - start_s


def run() -> list[Measure]:
    """Measures both files."""
    fleet = many_services_rules(250)
    per_service = len(many_services_rules(500)) / 500
    largest = many_services_rules(int(MAX_CONTENT_BYTES / per_service) - 1)
    return [
        Measure("check_250_services_s", _check_s(fleet), "s", at_most=CHECK_BOUND_S),
        Measure("check_1mb_s", _check_s(largest), "s", at_most=CHECK_BOUND_S),
    ]
