"""Checks the invariants of versions on stepped nodes after each step."""

import attrs

from ibisrack.errors import RulesError
from ibisrack.node.lifecycle import SERVING
from ibisrack.rules.ruleset import RuleSet, parse_rule_set
from ibisrack.testing.stepped_fleet import SteppedFleet
from ibisrack.versions.chunks import VersionId, digest_of


@attrs.define
class _Past:
    """What was seen of one node.

    Attributes:
      life: Life in which it was seen last.
      revision: Revision in force in that life.
      peak: Highest revision in force in any life.
      witnesses: Links that held the peak when it came in force, with their lives.
      vouched_life: Last life in which the node served.
    """

    life: int = 0
    revision: int = 0
    peak: int = 0
    witnesses: frozenset[tuple[str, int]] = frozenset()
    vouched_life: int = -1


@attrs.define
class VersionChecks:
    """Counts violations.

    Attributes:
      regressions: Swaps to a lower revision, and restarts that serve below the former revision
        although a link that held it then still lives and did not fail to answer.
      dangling: Routes in force that point at a service or rank that the version lacks.
      partial: Versions in force that are not exactly a good published version.
    """

    regressions: int = 0
    dangling_routes: int = 0
    partial_versions: int = 0
    _good: dict[VersionId, RuleSet] = attrs.field(factory=dict)
    _past: dict[str, _Past] = attrs.field(factory=dict)

    def published(self, revision: int, content: bytes) -> None:
        """Notes a version that the platform was given."""
        try:
            self._good[VersionId(revision, digest_of(content))] = parse_rule_set(content)
        except RulesError:
            pass

    def observe(self, fleet: SteppedFleet, node_id: str) -> None:
        """Checks a node after a step."""
        stepped = fleet.nodes[node_id]
        past = self._past.setdefault(node_id, _Past())
        if past.life != stepped.life:
            past.life, past.revision = stepped.life, 0
        candidate = stepped.node.versions.in_force
        if candidate and candidate.version_id.revision != past.revision:
            self._swapped(fleet, node_id, past)
        if stepped.node.lifecycle.state == SERVING and past.vouched_life != stepped.life:
            past.vouched_life = stepped.life
            self._served(fleet, node_id, past)

    def _swapped(self, fleet: SteppedFleet, node_id: str, past: _Past) -> None:
        node = fleet.nodes[node_id].node
        candidate = node.versions.in_force
        revision = candidate.version_id.revision
        self.regressions += revision < past.revision
        self.dangling_routes += _dangling_routes(candidate.rules)
        self.partial_versions += candidate.rules != self._good.get(candidate.version_id)
        past.revision = revision
        if revision >= past.peak:
            past.peak = revision
            past.witnesses = frozenset(_holders(fleet, node_id, revision))

    def _served(self, fleet: SteppedFleet, node_id: str, past: _Past) -> None:
        failed = fleet.nodes[node_id].node.links.failed
        living = [
            peer
            for peer, life in past.witnesses
            if fleet.nodes[peer].running and fleet.nodes[peer].life == life and peer not in failed
        ]
        if living and past.revision < past.peak:
            self.regressions += 1


def _holders(fleet: SteppedFleet, node_id: str, revision: int) -> list[tuple[str, int]]:
    """Returns the links of a node that hold a revision, with their lives."""
    links = fleet.nodes[node_id].node.links.chosen
    peers = [(peer, fleet.nodes[peer]) for peer in links]
    held = [(peer, stepped, stepped.node.versions.highest()) for peer, stepped in peers]
    return [
        (peer, stepped.life)
        for peer, stepped, version in held
        if stepped.up and version and version.version_id.revision >= revision
    ]


def _dangling_routes(rules: RuleSet) -> int:
    ranks = {(name, rank.rank) for name, s in rules.services.items() for rank in s.ranks}
    routes = (route for routes in rules.routes.values() for route in routes)
    return sum((route.to, route.rank) not in ranks for route in routes)
