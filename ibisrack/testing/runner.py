"""Runs all test modules and prints ``N passed, N failed`` as the last line.

Tests listed in KNOWN-RED.txt are known failures: they run and their failures are printed, but do
not change the exit status.
"""

import logging
import sys
import unittest
from pathlib import Path

KNOWN_RED_FILE = Path("KNOWN-RED.txt")


def parse_known_failures(text: str) -> frozenset[str]:
    """Returns the test names listed in KNOWN-RED.txt, one ``test: NAME`` line each."""
    lines = (line.strip() for line in text.splitlines())
    return frozenset(line[5:].strip() for line in lines if line.startswith("test:"))


def _test_name(test: unittest.TestCase) -> str:
    return test.shortDescription() or str(test)


def main(argv: list[str]) -> int:
    """Runs all tests, or only those whose name contains one of the arguments.

    Returns:
      0 when at least one test ran and only known failures failed, otherwise 1.
    """
    logging.disable(logging.CRITICAL)
    known_failures = (
        parse_known_failures(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else frozenset()
    )
    loader = unittest.TestLoader()
    suite = loader.discover(".", pattern="*_test.py", top_level_dir=".")
    if argv:
        suite = unittest.TestSuite(
            test for test in _flatten(suite) if any(arg in _test_name(test) for arg in argv)
        )
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(suite)
    failures = [_test_name(test) for test, _ in result.failures + result.errors]
    unexpected = [name for name in failures if name not in known_failures]
    for name in failures:
        print(f"{'FAILED' if name in unexpected else 'KNOWN RED'} {name}")
    print(f"{result.testsRun - len(failures)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not result.testsRun else 0


def _flatten(suite: unittest.TestSuite):
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _flatten(test)
        else:
            yield test


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
