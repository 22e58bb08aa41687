"""Builds rule sets from chunks and caches the parsed chunks of the versions that the node holds.

After a change of one line, only one chunk is parsed.  Rules contain their line number in the file,
so the rules of a cached chunk are renumbered only when the chunk starts at another line.
"""

from collections.abc import Collection, Iterable, Mapping

import attrs

from ibisrack.errors import Fault
from ibisrack.rules.grammar import ParsedLines, parse_lines
from ibisrack.rules.model import Rule
from ibisrack.rules.ruleset import RuleSet, build


@attrs.frozen
class _NumberedRules:
    """The rules of a chunk with their line numbers in the file.

    Attributes:
      line_offset: Number of lines before the chunk.
      rules: The rules.
    """

    line_offset: int
    rules: tuple[Rule, ...]


@attrs.define
class ParsedChunkCache:
    """A cache of parsed chunks by digest."""

    _parsed: dict[bytes, ParsedLines] = attrs.field(factory=dict)
    _numbered: dict[bytes, _NumberedRules] = attrs.field(factory=dict)

    def build(
        self, digests: Iterable[bytes], chunks: Mapping[bytes, bytes], file: str = ""
    ) -> RuleSet:
        """Builds a rule set from chunks in the given order.

        Args:
          digests: Digests of the chunks of the file, in order.
          chunks: Chunk contents by digest.
          file: File name for fault messages.

        Raises:
          RulesError: The rules contain faults; holds all of them, with line numbers in the file.
        """
        rules: list[Rule] = []
        faults: list[Fault] = []
        line_offset = 0
        for digest in digests:
            parsed = self._parse(digest, chunks)
            rules += self._number_rules(digest, parsed, line_offset)
            faults += [Fault(file, f.line + line_offset, f.message) for f in parsed.faults]
            line_offset += parsed.line_count
        return build(rules, faults, file)

    def retain(self, digests: Collection[bytes]) -> None:
        """Drops all cached chunks except those with the given digests."""
        self._parsed = {d: parsed for d, parsed in self._parsed.items() if d in digests}
        self._numbered = {d: numbered for d, numbered in self._numbered.items() if d in digests}

    def _parse(self, digest: bytes, chunks: Mapping[bytes, bytes]) -> ParsedLines:
        parsed = self._parsed.get(digest)
        if parsed is None:
            parsed = self._parsed[digest] = parse_lines(chunks[digest])
        return parsed

    def _number_rules(
        self, digest: bytes, parsed: ParsedLines, line_offset: int
    ) -> tuple[Rule, ...]:
        numbered = self._numbered.get(digest)
        if numbered is None or numbered.line_offset != line_offset:
            rules = tuple(attrs.evolve(r, line=r.line + line_offset) for r in parsed.rules)
            numbered = self._numbered[digest] = _NumberedRules(line_offset, rules)
        return numbered.rules
