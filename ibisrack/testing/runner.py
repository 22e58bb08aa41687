"""Runs every test module and closes with a line ``N passed, N failed``.

Tests named in KNOWN-RED.txt are run and printed, and do not change the exit status.
"""

import logging
import sys
import unittest
from pathlib import Path

KNOWN_RED_FILE = Path("KNOWN-RED.txt")


def known_red(text: str) -> frozenset[str]:
    """Returns the test names listed in KNOWN-RED.txt, one ``test: NAME`` line each."""
    lines = (line.strip() for line in text.splitlines())
    return frozenset(line[5:].strip() for line in lines if line.startswith("test:"))


def _name(test: unittest.TestCase) -> str:
    return test.shortDescription() or str(test)


def main(argv: list[str]) -> int:
    """Runs the tests, or only those whose name contains one of the arguments.

    Returns:
      0 when every test passed that is not a known failure, otherwise 1.
    """
    logging.disable(logging.CRITICAL)
    red = known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else frozenset()
    loader = unittest.TestLoader()
    suite = loader.discover(".", pattern="*_test.py", top_level_dir=".")
    if argv:
        suite = unittest.TestSuite(t for t in _flatten(suite) if any(a in _name(t) for a in argv))
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(suite)
    failures = [_name(test) for test, _ in result.failures + result.errors]
    unexpected = [name for name in failures if name not in red]
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
