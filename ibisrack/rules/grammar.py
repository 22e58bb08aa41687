"""Parses lines of the rules file into rules, gathering every fault.

Parsing is a pure function of the text.  Line numbers are relative to the parsed piece, so that a
parsed chunk can be reused when lines are inserted before it.
"""

import re
from functools import lru_cache
from typing import Any

import attrs

from ibisrack.errors import Fault
from ibisrack.rules.model import KEYWORDS, POSITIONAL, Rule

MAX_LINE_CHARS = 1000
MAX_INTEGER = 2**31 - 1

_COMMENT = re.compile(r"#\s*([^:#]*?)\s*:\s*(.*?)\s*$")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*$")
_MATCH = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*/[A-Za-z0-9_.~/%+-]*$")
_METHOD = re.compile(r"[A-Z]{1,16}$|\*$")

_PATTERNS = {
    "match": (_MATCH, "HOST/PATH"),
    "method": (_METHOD, "an HTTP method or *"),
}


@attrs.frozen
class ParsedLines:
    """Rules and faults of a piece of a rules file.

    Attributes:
      rules: The good rules, in the order of the lines.
      faults: One entry for each problem.
      line_count: Lines in the piece.
    """

    rules: tuple[Rule, ...]
    faults: tuple[Fault, ...]
    line_count: int


@attrs.frozen
class _Shape:
    """Fields of a rule class, as the grammar needs them."""

    words: tuple[attrs.Attribute, ...]
    options: dict[str, attrs.Attribute]
    required: frozenset[str]


@lru_cache
def _shape(cls: type[Rule]) -> _Shape:
    common = {field.name for field in attrs.fields(Rule)}
    fields = [field for field in attrs.fields(cls) if field.name not in common]
    words = tuple(field for field in fields if field.metadata.get(POSITIONAL))
    options = {field.name: field for field in fields if field not in words}
    required = frozenset(n for n, field in options.items() if field.default is attrs.NOTHING)
    return _Shape(words, options, required)


def _value(field: attrs.Attribute, text: str) -> Any:
    """Converts one word to the type of its field; raises ValueError with the reason."""
    if field.type is int:
        if not text.isascii() or not text.isdigit() or int(text) > MAX_INTEGER:
            raise ValueError(f"{field.name} must be a whole number, is '{text}'")
        return int(text)
    if field.type is bool:
        if text not in ("yes", "no"):
            raise ValueError(f"{field.name} must be yes or no, is '{text}'")
        return text == "yes"
    pattern, meaning = _PATTERNS.get(field.name, (_NAME, "a name"))
    if not pattern.match(text):
        raise ValueError(f"{field.name} must be {meaning}, is '{text}'")
    return text


def _split_comment(text: str) -> tuple[str, str, str]:
    """Splits a line into the rule, the requester and the reason."""
    rule, mark, comment = text.partition("#")
    found = _COMMENT.match(mark + comment)
    if not mark or not found or not found.group(1):
        raise ValueError("the rule names no requester; end the line with '# Name: reason'")
    if not found.group(2):
        raise ValueError("the rule gives no reason after the requester's name")
    return rule, found.group(1), found.group(2)


def _fields(cls: type[Rule], tokens: list[str]) -> tuple[dict[str, Any], list[str]]:
    """Converts the words after the keyword; returns the values and the problems."""
    shape = _shape(cls)
    values: dict[str, Any] = {}
    problems: list[str] = []
    words = [token for token in tokens if "=" not in token]
    pairs = [token.partition("=") for token in tokens if "=" in token]
    if len(words) != len(shape.words):
        names = " ".join(field.name.upper() for field in shape.words)
        problems.append(f"{cls.KEYWORD} takes {names} before its options")
    candidates = list(zip(shape.words, words, strict=False))
    for key, _, text in pairs:
        if key not in shape.options:
            problems.append(f"{cls.KEYWORD} has no option '{key}'")
        elif any(field.name == key for field, _ in candidates):
            problems.append(f"option '{key}' is given twice")
        else:
            candidates.append((shape.options[key], text))
    for field, text in candidates:
        try:
            values[field.name] = _value(field, text)
        except ValueError as error:
            problems.append(str(error))
    given = {field.name for field, _ in candidates}
    problems += [f"option '{name}' is missing" for name in sorted(shape.required - given)]
    return values, problems


def parse_line(text: str, line: int) -> Rule | None | list[str]:
    """Parses one line.

    Args:
      text: The line without its newline.
      line: Its number.

    Returns:
      The rule, None for a blank or comment line, or the list of problems.
    """
    stripped = text.strip()
    if not stripped or stripped.startswith("#"):
        return None
    if len(text) > MAX_LINE_CHARS:
        return [f"the line has more than {MAX_LINE_CHARS} characters"]
    problems: list[str] = []
    requester = reason = ""
    rule_text = text.partition("#")[0]
    try:
        rule_text, requester, reason = _split_comment(text)
    except ValueError as error:
        problems.append(str(error))
    keyword, *tokens = rule_text.split() or [""]
    cls = KEYWORDS.get(keyword)
    if cls is None:
        return [*problems, f"unknown keyword '{keyword}'; known: {', '.join(KEYWORDS)}"]
    values, more = _fields(cls, tokens)
    problems += more
    if problems:
        return problems
    return cls(line=line, requester=requester, reason=reason, **values)


def parse_lines(content: bytes, file: str = "") -> ParsedLines:
    """Parses a piece of a rules file that starts and ends at line boundaries.

    Args:
      content: UTF-8 text.
      file: File name for fault messages.

    Returns:
      Rules and faults with line numbers counted from 1 within the piece.
    """
    rules: list[Rule] = []
    faults: list[Fault] = []
    lines = content.split(b"\n")
    if lines and not lines[-1]:
        lines.pop()
    for number, raw in enumerate(lines, start=1):
        try:
            text = raw.decode("utf-8")
        except UnicodeDecodeError:
            faults.append(Fault(file, number, "the line is not UTF-8 text"))
            continue
        parsed = parse_line(text, number)
        if isinstance(parsed, list):
            faults += [Fault(file, number, problem) for problem in parsed]
        elif parsed is not None:
            rules.append(parsed)
    return ParsedLines(tuple(rules), tuple(faults), len(lines))
