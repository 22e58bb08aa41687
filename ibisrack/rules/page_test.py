"""Runs the examples of docs/rules.md."""

import re
from pathlib import Path

from ibisrack.errors import RulesError
from ibisrack.rules.ruleset import check
from ibisrack.testing.functions import function_tests

PAGE = Path("docs/rules.md").read_text()
EXAMPLE = re.findall(r"```\n(.*?)```", PAGE, flags=re.S)[1].encode()
ROWS = re.findall(r"^\| `(.*?)` \| `(.*)` \|$", PAGE, flags=re.M)


def _messages(content: bytes) -> set[str]:
    try:
        check(content)
    except RulesError as error:
        return {fault.message for fault in error.faults}
    return set()


def test_example_is_good():
    assert check(EXAMPLE).rule_count == 6


def test_every_error_of_the_page_is_given():
    """Guards against a page that shows other messages than the checker."""
    assert len(ROWS) == 25
    for line, message in ROWS:
        assert message in _messages(EXAMPLE + line.encode() + b"\n"), (line, message)


def test_errors_about_bytes():
    long_line = b"service a # Ana: " + b"x" * 1000
    for content, start in (
        (b"\xff\n", "the line is not UTF-8 text"),
        (long_line, "the line has more than 1000 characters"),
        (b"#" * 1_000_001, "the file has 1000001 bytes, more than 1000000"),
    ):
        assert _messages(content) == {start}
        assert start.replace("1000001", "N") in " ".join(PAGE.split())


load_tests = function_tests(__name__)
