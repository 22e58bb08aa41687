"""Tests that the names of the platform's wire stay in the folder that translates them."""

from pathlib import Path

from ibisrack.testing.functions import function_tests

PACKAGE = Path(__file__).parents[1]
# Those who speak for the platform in tests use its names.
FREE = ("platform", "standins", "testing")
NAMES = (
    *('"Deadline-Ms"', '"Request-Id"', "Expected-Instance", "Caller-Service", "Not-Executed"),
    *("Response-Signature", "Instance-Id", "kv-range", "kv-watch", "op/config", "servers/"),
    *("cold_remaining", "traffic_split", "target_latency", "resource_type", "non_idempotent"),
    *("app_addr", "has_more", "current_rev", "readyz", "budget_slack", "IBISRACK_NODE_FILE"),
)


def test_no_name_of_the_wire_is_used_outside_the_folder_that_translates():
    """Guards against decisions that depend on how the platform spells its messages."""
    found = [
        f"{path.relative_to(PACKAGE)}: {name}"
        for path in PACKAGE.rglob("*.py")
        if path.relative_to(PACKAGE).parts[0] not in FREE and not path.name.endswith("_test.py")
        for name in NAMES
        if name in path.read_text(encoding="utf-8")
    ]
    assert not found, found


load_tests = function_tests(__name__)
