"""Small stepped runs: the invariants of versions under each failure."""

from ibisrack.testing.fault_injection import FAULTS, run_with_faults
from ibisrack.testing.functions import function_tests
from ibisrack.testing.stepped_fleet import all_serve


def test_versions_keep_their_invariants_under_each_failure():
    """Guards against regressions, dangling routes and partial versions in the whole protocol."""
    for adversity in FAULTS:
        run = run_with_faults(1, [adversity])
        found = (run.checks.regressions, run.checks.dangling_routes, run.checks.partial_versions)
        assert found == (0, 0, 0), (adversity, found)
        assert all_serve(run.fleet), adversity


load_tests = function_tests(__name__)
