"""Checks the invariants of versions on the nodes of a simulated fleet."""

import attrs

from ibisrack.errors import RulesError
from ibisrack.node.lifecycle import SERVING
from ibisrack.rules.ruleset import RuleSet, parse_rule_set
from ibisrack.testing.stepped_fleet import SteppedFleet
from ibisrack.versions.chunks import VersionId, digest_of


@attrs.define
class _NodeHistory:
    """Earlier observations of one node.

    Attributes:
      restarts: Restarts of the node at the last observation.
      revision: Revision in force since the last restart, 0 for none.
      peak_revision: Highest revision ever in force, across restarts.
      peak_holders: Links that held the peak revision or a later one when it came into force, each
        with its count of restarts.
      checked_restarts: Restarts of the node when the start of serving was last checked.
    """

    restarts: int = 0
    revision: int = 0
    peak_revision: int = 0
    peak_holders: frozenset[tuple[str, int]] = frozenset()
    checked_restarts: int = -1


@attrs.define
class VersionChecks:
    """Counts violations of the invariants.

    Attributes:
      regressions: Activations of a lower revision, and restarted nodes that serve a lower revision
        than before although a link that held the former one kept running and did not fail to
        answer.
      dangling_routes: Routes in force to a service or rank that the version does not define.
      partial_versions: Versions in force that do not equal a valid published version.
    """

    regressions: int = 0
    dangling_routes: int = 0
    partial_versions: int = 0
    _valid_versions: dict[VersionId, RuleSet] = attrs.field(factory=dict)
    _histories: dict[str, _NodeHistory] = attrs.field(factory=dict)

    def record_published(self, revision: int, content: bytes) -> None:
        """Records a version that was published on the platform, if it is valid."""
        try:
            self._valid_versions[VersionId(revision, digest_of(content))] = parse_rule_set(content)
        except RulesError:
            pass

    def observe(self, fleet: SteppedFleet, node_id: str) -> None:
        """Checks a node after a tick or a received frame."""
        stepped = fleet.nodes[node_id]
        history = self._histories.setdefault(node_id, _NodeHistory())
        if history.restarts != stepped.restarts:
            history.restarts, history.revision = stepped.restarts, 0
        active = stepped.node.versions.in_force
        if active and active.version_id.revision != history.revision:
            self._check_activation(fleet, node_id, history)
        if stepped.node.lifecycle.state == SERVING and history.checked_restarts != stepped.restarts:
            history.checked_restarts = stepped.restarts
            self._check_start_of_serving(fleet, node_id, history)

    def _check_activation(self, fleet: SteppedFleet, node_id: str, history: _NodeHistory) -> None:
        node = fleet.nodes[node_id].node
        active = node.versions.in_force
        revision = active.version_id.revision
        self.regressions += revision < history.revision
        self.dangling_routes += _dangling_routes(active.rules)
        self.partial_versions += active.rules != self._valid_versions.get(active.version_id)
        history.revision = revision
        if revision >= history.peak_revision:
            history.peak_revision = revision
            history.peak_holders = frozenset(_links_holding(fleet, node_id, revision))

    def _check_start_of_serving(
        self, fleet: SteppedFleet, node_id: str, history: _NodeHistory
    ) -> None:
        failed = fleet.nodes[node_id].node.links.failed
        reachable_holders = [
            peer
            for peer, restarts in history.peak_holders
            if fleet.nodes[peer].running
            and fleet.nodes[peer].restarts == restarts
            and peer not in failed
        ]
        if reachable_holders and history.revision < history.peak_revision:
            self.regressions += 1


def _links_holding(fleet: SteppedFleet, node_id: str, revision: int) -> list[tuple[str, int]]:
    """Returns the links of a node that hold a revision or a later one, with their restarts."""
    links = fleet.nodes[node_id].node.links.chosen
    peers = [(peer, fleet.nodes[peer]) for peer in links]
    highest_versions = [(peer, stepped, stepped.node.versions.highest()) for peer, stepped in peers]
    return [
        (peer, stepped.restarts)
        for peer, stepped, version in highest_versions
        if stepped.up and version and version.version_id.revision >= revision
    ]


def _dangling_routes(rules: RuleSet) -> int:
    ranks = {(name, rank.rank) for name, s in rules.services.items() for rank in s.ranks}
    routes = (route for routes in rules.routes.values() for route in routes)
    return sum((route.to, route.rank) not in ranks for route in routes)
