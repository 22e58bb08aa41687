"""Tests of the invariants of versions with each fault, on a simulated fleet."""

from ibisrack.testing.fault_injection import run_with_faults
from ibisrack.testing.faults import FAULTS
from ibisrack.testing.functions import function_tests
from ibisrack.testing.stepped_fleet import all_serving


def test_version_invariants_hold_with_each_fault():
    """Guards against a wrong version in force, and against nodes that never serve again.

    A version is wrong if its revision is lower than the one before, if a route names an undefined
    service or rank, or if it does not equal a valid published version.
    """
    for fault in FAULTS:
        run = run_with_faults(1, [fault])
        found = (run.checks.regressions, run.checks.dangling_routes, run.checks.partial_versions)
        assert found == (0, 0, 0), (fault, found)
        assert all_serving(run.fleet), fault


load_tests = function_tests(__name__)
