"""Small stepped runs: the invariants of versions under each failure."""

from ibisrack.testing.adversity import ADVERSITIES, adverse_run
from ibisrack.testing.functions import function_tests
from ibisrack.testing.stepped import all_serve


def test_versions_keep_their_invariants_under_each_failure():
    """Guards against regressions, dangling routes and partial versions in the whole protocol."""
    for adversity in ADVERSITIES:
        run = adverse_run(1, [adversity])
        found = (run.checks.regressions, run.checks.dangling, run.checks.partial)
        assert found == (0, 0, 0), (adversity, found)
        assert all_serve(run.fleet), adversity


load_tests = function_tests(__name__)
