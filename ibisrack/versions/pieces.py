"""Builds rule sets from chunks and reuses the parsed chunks of the versions held.

A change of one line then parses one chunk.  Rules carry their line in the file, so the placed rules
of a chunk are reused as well while the chunk starts at the same line.
"""

from collections.abc import Collection, Iterable, Mapping

import attrs

from ibisrack.errors import Fault
from ibisrack.rules.grammar import ParsedLines, parse_lines
from ibisrack.rules.model import Rule
from ibisrack.rules.ruleset import RuleSet, build


@attrs.frozen
class _Placed:
    """The rules of a chunk with line numbers of the file."""

    first_line: int
    rules: tuple[Rule, ...]


@attrs.define
class PieceCache:
    """Parsed chunks by digest."""

    _parsed: dict[bytes, ParsedLines] = attrs.field(factory=dict)
    _placed: dict[bytes, _Placed] = attrs.field(factory=dict)

    def build(
        self, digests: Iterable[bytes], chunks: Mapping[bytes, bytes], file: str = ""
    ) -> RuleSet:
        """Builds the rule set of the chunks in their order.

        Args:
          digests: Digests of the chunks of the file.
          chunks: Contents by digest.
          file: File name for fault messages.

        Raises:
          RulesError: With every fault; line numbers are those of the file.
        """
        rules: list[Rule] = []
        faults: list[Fault] = []
        first_line = 0
        for digest in digests:
            piece = self._parse(digest, chunks)
            rules += self._place(digest, piece, first_line)
            faults += [Fault(file, f.line + first_line, f.message) for f in piece.faults]
            first_line += piece.line_count
        return build(rules, faults, file)

    def keep(self, digests: Collection[bytes]) -> None:
        """Drops every chunk that is not named."""
        self._parsed = {d: piece for d, piece in self._parsed.items() if d in digests}
        self._placed = {d: placed for d, placed in self._placed.items() if d in digests}

    def _parse(self, digest: bytes, chunks: Mapping[bytes, bytes]) -> ParsedLines:
        piece = self._parsed.get(digest)
        if piece is None:
            piece = self._parsed[digest] = parse_lines(chunks[digest])
        return piece

    def _place(self, digest: bytes, piece: ParsedLines, first_line: int) -> tuple[Rule, ...]:
        placed = self._placed.get(digest)
        if placed is None or placed.first_line != first_line:
            rules = tuple(attrs.evolve(r, line=r.line + first_line) for r in piece.rules)
            placed = self._placed[digest] = _Placed(first_line, rules)
        return placed.rules
