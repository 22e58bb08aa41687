"""Parses lines of a rules file into rules and collects all faults.

Parsing is a pure function of the text.  Line numbers are relative to the parsed chunk, so that the
result can be reused when lines are inserted before the chunk.
"""

import re
from functools import lru_cache
from typing import Any

import attrs

from ibisrack.decimals import parse_decimal
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
    """Rules and faults parsed from a chunk of a rules file.

    Attributes:
      rules: The valid rules, in line order.
      faults: One entry for each problem; a line may have several.
      line_count: Number of lines in the chunk.
    """

    rules: tuple[Rule, ...]
    faults: tuple[Fault, ...]
    line_count: int


@attrs.frozen
class _RuleSyntax:
    """Syntax of one keyword, derived from the fields of its rule class.

    Attributes:
      words: Fields given as positional words, in their order.
      options: Fields given as key=value options, by name.
      required: Names of the options without a default.
    """

    words: tuple[attrs.Attribute, ...]
    options: dict[str, attrs.Attribute]
    required: frozenset[str]


@lru_cache
def _syntax_of(cls: type[Rule]) -> _RuleSyntax:
    base_names = {field.name for field in attrs.fields(Rule)}
    fields = [field for field in attrs.fields(cls) if field.name not in base_names]
    words = tuple(field for field in fields if field.metadata.get(POSITIONAL))
    options = {field.name: field for field in fields if field not in words}
    required = frozenset(name for name, field in options.items() if field.default is attrs.NOTHING)
    return _RuleSyntax(words, options, required)


def _convert(field: attrs.Attribute, text: str) -> Any:
    """Converts the text of a value to the type of its field.

    Raises:
      ValueError: The text is not valid for the field; the message names the field.
    """
    if field.type is int:
        value = parse_decimal(text, MAX_INTEGER)
        if value is None:
            raise ValueError(
                f"{field.name} must be a whole number up to {MAX_INTEGER}, is '{text}'"
            )
        return value
    if field.type is bool:
        if text not in ("yes", "no"):
            raise ValueError(f"{field.name} must be yes or no, is '{text}'")
        return text == "yes"
    pattern, expected = _PATTERNS.get(field.name, (_NAME, "a name"))
    if not pattern.match(text):
        raise ValueError(f"{field.name} must be {expected}, is '{text}'")
    return text


def _split_comment(text: str) -> tuple[str, str, str]:
    """Splits a line into the rule, the requester and the reason.

    Raises:
      ValueError: The line has no comment, or the comment lacks the requester or the reason.
    """
    rule, separator, comment = text.partition("#")
    found = _COMMENT.match(separator + comment)
    if not separator or not found or not found.group(1):
        raise ValueError("the rule names no requester; end the line with '# Name: reason'")
    if not found.group(2):
        raise ValueError("the rule gives no reason after the requester's name")
    return rule, found.group(1), found.group(2)


def _parse_arguments(cls: type[Rule], tokens: list[str]) -> tuple[dict[str, Any], list[str]]:
    """Parses the positional words and options after the keyword.

    Returns:
      The field values by name, and the messages of all problems.
    """
    syntax = _syntax_of(cls)
    values: dict[str, Any] = {}
    problems: list[str] = []
    words = [token for token in tokens if "=" not in token]
    pairs = [token.partition("=") for token in tokens if "=" in token]
    if len(words) != len(syntax.words):
        names = " ".join(field.name.upper() for field in syntax.words)
        problems.append(f"{cls.KEYWORD} takes {names} before its options")
    assignments = list(zip(syntax.words, words, strict=False))
    for key, _, text in pairs:
        if key not in syntax.options:
            problems.append(f"{cls.KEYWORD} has no option '{key}'")
        elif any(field.name == key for field, _ in assignments):
            problems.append(f"option '{key}' is given twice")
        else:
            assignments.append((syntax.options[key], text))
    for field, text in assignments:
        try:
            values[field.name] = _convert(field, text)
        except ValueError as error:
            problems.append(str(error))
    given = {field.name for field, _ in assignments}
    problems += [f"option '{name}' is missing" for name in sorted(syntax.required - given)]
    return values, problems


def parse_line(text: str, line: int) -> Rule | None | list[str]:
    """Parses one line.

    Args:
      text: The line without its newline.
      line: The line number.

    Returns:
      The rule, None for a blank or comment line, or the messages of all problems.
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
    values, argument_problems = _parse_arguments(cls, tokens)
    problems += argument_problems
    if problems:
        return problems
    return cls(line=line, requester=requester, reason=reason, **values)


def parse_lines(content: bytes, file: str = "") -> ParsedLines:
    """Parses a chunk of a rules file that starts and ends at line boundaries.

    Args:
      content: The bytes of the chunk; lines that are not UTF-8 text are faults.
      file: File name for fault messages.

    Returns:
      Rules and faults with line numbers from 1, relative to the chunk.
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
