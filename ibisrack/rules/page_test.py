"""Tests the examples and error messages of docs/rules.md."""

import re
from pathlib import Path

from ibisrack.errors import RulesError
from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.testing.functions import function_tests

PAGE = Path("docs/rules.md").read_text()
EXAMPLE = re.findall(r"```\n(.*?)```", PAGE, flags=re.S)[1].encode()
ROWS = re.findall(r"^\| `(.*?)` \| `(.*)` \|$", PAGE, flags=re.M)


def _messages(content: bytes) -> set[str]:
    try:
        parse_rule_set(content)
    except RulesError as error:
        return {fault.message for fault in error.faults}
    return set()


def test_example_is_valid():
    """Guards against a page whose example the parser refuses."""
    assert parse_rule_set(EXAMPLE).rule_count == 6


def test_page_lists_the_actual_error_messages():
    """Guards against a page that shows other messages than the parser."""
    assert len(ROWS) == 25
    for line, message in ROWS:
        assert message in _messages(EXAMPLE + line.encode() + b"\n"), (line, message)


def test_page_lists_the_errors_of_encoding_and_size():
    """Guards against a page that shows other messages for encoding, line length and file size."""
    long_line = b"service a # Ana: " + b"x" * 1000
    for content, message in (
        (b"\xff\n", "the line is not UTF-8 text"),
        (long_line, "the line has more than 1000 characters"),
        (b"#" * 1_000_001, "the file has 1000001 bytes, more than 1000000"),
    ):
        assert _messages(content) == {message}
        assert message.replace("1000001", "N") in " ".join(PAGE.split())


load_tests = function_tests(__name__)
