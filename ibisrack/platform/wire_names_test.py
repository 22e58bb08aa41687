"""Tests that only ibisrack.platform uses the names of the platform's protocols."""

from pathlib import Path

from ibisrack.testing.functions import function_tests

PACKAGE = Path(__file__).parents[1]
# The stand-ins and test fixtures implement the platform's side of the protocols.
EXEMPT_FOLDERS = ("platform", "standins", "testing")
NAMES = (
    *('"Deadline-Ms"', '"Request-Id"', "Expected-Instance", "Caller-Service", "Not-Executed"),
    *("Response-Signature", "Instance-Id", "kv-range", "kv-watch", "op/config", "servers/"),
    *("cold_remaining", "traffic_split", "target_latency", "resource_type", "non_idempotent"),
    *("app_addr", "has_more", "current_rev", "readyz", "budget_slack", "IBISRACK_NODE_FILE"),
    *("Server-Limit", "Server-Leaving", "Store-Era"),
    *("Cold-Ms", "cold_per_s", "cold_over", "cold_slack", "op/evacuate"),
)


def test_protocol_names_are_used_only_in_the_platform_folder():
    """Guards against decisions that depend on the encoding of the platform's messages."""
    found = [
        f"{path.relative_to(PACKAGE)}: {name}"
        for path in PACKAGE.rglob("*.py")
        if path.relative_to(PACKAGE).parts[0] not in EXEMPT_FOLDERS
        and not path.name.endswith("_test.py")
        for name in NAMES
        if name in path.read_text(encoding="utf-8")
    ]
    assert not found, found


load_tests = function_tests(__name__)
