"""Assembles the view of a screen from a node's answer to GET /fleet; pure functions.

Only what a node told counts as known: a node whose report is missing, or that its peers can't
reach, is not counted as being on the accepted version even if its last report said so.
"""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from ibisrack.admin.client import AdminFailure
from ibisrack.room.fleet import FleetView, ZoneView
from ibisrack.room.messages import Straggler
from ibisrack.room.stragglers import REFUSED
from ibisrack.room.view import (
    MAX_ROWS,
    Cause,
    RefusalView,
    ScreenView,
    StragglerView,
)
from ibisrack.room.view import ZoneView as ZoneScreen
from ibisrack.room.work import rank_views, rule_views
from ibisrack.rules.ruleset import RuleSet

_CAUSES = {cause.value: cause for cause in Cause}
_PROBED_CAUSES = {
    AdminFailure.REFUSED: Cause.NOT_RUNNING,
    AdminFailure.NO_RESPONSE: Cause.ASLEEP,
    AdminFailure.NO_CONNECTION: Cause.CUT_OFF,
}
_SILENT = frozenset((Cause.ASLEEP, Cause.CUT_OFF))


@attrs.frozen
class Known:
    """What a screen's process holds.

    Attributes:
      fleet: The last answer to GET /fleet, None before the first one.
      fleet_age_s: Time since that answer.
      error: Why the last read failed, empty when it did not.
      rules: Rules in force at a node, None while they are not known.
      rules_revision: Their revision.
      probes: How silent nodes failed to answer this process, None for an answer, by node id.
      leaving: Nodes that are marked as leaving.
    """

    fleet: FleetView | None = None
    fleet_age_s: float = 0.0
    error: str = ""
    rules: RuleSet | None = None
    rules_revision: int = 0
    probes: Mapping[str, AdminFailure | None] = attrs.field(factory=dict)
    leaving: frozenset[str] = frozenset()

    def departed(self, zone: ZoneView) -> int:
        """Counts the listed stragglers of a zone that left as planned."""
        return sum(node.node_id in self.leaving for node in zone.stragglers)


def assemble(known: Known, stale_s: float) -> ScreenView:
    """Returns the view.

    Args:
      known: What the process holds.
      stale_s: Age from which a zone is shown as out of date.
    """
    fleet = known.fleet or FleetView("", None, 0, 0, (), (), ())
    revision = fleet.accepted.revision if fleet.accepted else 0
    zones = tuple(zone_screen(zone, revision, known, stale_s) for zone in fleet.zones)
    nodes = [(zone.zone, node) for zone in fleet.zones for node in zone.stragglers]
    listed = [(zone, node) for zone, node in nodes if node.node_id not in known.leaving]
    departed = len(nodes) - len(listed)
    holding = [node for _, node in listed if _only_refuses(node, revision)]
    refusing = len(holding) + sum(_unlisted_refusals(zone, revision) for zone in fleet.zones)
    behind = [straggler_view(zone, node, known.probes) for zone, node in listed]
    behind = [view for view, (_, node) in zip(behind, listed, strict=True) if node not in holding]
    ranks, rules = rank_views(known.rules, fleet.ranks), rule_views(known.rules, fleet.rules)
    ages_s = [zone.age_s for zone in zones if zone.age_s is not None]
    return ScreenView(
        accepted_revision=revision,
        accepted_digest=fleet.accepted.digest if fleet.accepted else "",
        total=fleet.members - departed,
        on_accepted=sum(zone.on_accepted for zone in zones),
        refused=_refusal(holding, refusing),
        zones=zones,
        stragglers=tuple(sorted(behind, key=_straggler_order)),
        straggler_count=fleet.straggler_count - refusing - departed,
        leaving=departed,
        ranks=ranks[:MAX_ROWS],
        rank_count=len(ranks),
        rules=rules[:MAX_ROWS],
        rule_count=len(rules),
        age_s=max(ages_s, default=None),
        source=fleet.node_id,
        problems=tuple(_problems(known, revision, zones)),
    )


def _only_refuses(node: Straggler, accepted: int) -> bool:
    """Tells whether a node is on the accepted version and refused a higher one."""
    return node.cause == REFUSED and node.revision == accepted and accepted > 0


def _unlisted_refusals(zone: ZoneView, accepted: int) -> int:
    """Counts the refusals that a zone leaves out of its list.

    Zones list refusals by nodes on the highest version last, so when one is listed, all that are
    left out are of the same kind.
    """
    if not zone.stragglers or not _only_refuses(zone.stragglers[-1], accepted):
        return 0
    return zone.straggler_count - len(zone.stragglers)


def _refusal(holding: list[Straggler], count: int) -> RefusalView | None:
    faults = tuple(dict.fromkeys(node.detail for node in holding))
    return RefusalView(count, faults) if holding else None


def zone_screen(zone: ZoneView, accepted: int, known: Known, stale_s: float) -> ZoneScreen:
    """Counts the nodes of a zone that are known to be on the accepted version.

    The count of versions holds last reports, also those of nodes that have gone silent since; these
    are taken off.  So are stragglers beyond the listed ones, unless they are known to be refusals.
    Nodes that left as planned are not part of the total.
    """
    age_s = None if zone.age_s is None else round(zone.age_s + known.fleet_age_s, 1)
    reported = sum(count.nodes for count in zone.by_version if count.revision == accepted > 0)
    on_it = [node for node in zone.stragglers if node.revision == accepted]
    silent = sum(not _only_refuses(node, accepted) for node in on_it)
    unlisted = zone.straggler_count - len(zone.stragglers) - _unlisted_refusals(zone, accepted)
    return ZoneScreen(
        zone=zone.zone,
        region=zone.region,
        total=zone.members - known.departed(zone),
        on_accepted=max(0, min(reported, zone.members) - silent - unlisted),
        age_s=age_s,
        stale=age_s is None or age_s > stale_s,
    )


def straggler_view(
    zone: str, node: Straggler, probes: Mapping[str, AdminFailure | None]
) -> StragglerView:
    """Describes a straggler; what this process saw itself refines the cause of a silent one."""
    cause = _CAUSES.get(node.cause, Cause.OTHER)
    detail = node.detail
    if cause in _SILENT and node.node_id in probes:
        failure = probes[node.node_id]
        cause = _PROBED_CAUSES.get(failure, cause)
        detail = f"{detail}; to this screen it {failure or 'answers'}"
    return StragglerView(node.node_id, zone, cause, detail, node.revision)


def _straggler_order(node: StragglerView) -> tuple[int, str, str]:
    return (tuple(Cause).index(node.cause), node.zone, node.node_id)


def _problems(known: Known, revision: int, zones: Iterable[ZoneScreen]) -> Iterator[str]:
    if known.error:
        yield f"no node that was asked answers: {known.error}"
    if known.fleet is None:
        return
    for zone in zones:
        if zone.age_s is None:
            yield f"nothing is known of zone {zone.zone}: no report has arrived"
        elif zone.stale:
            yield f"zone {zone.zone} is out of date: last report {zone.age_s:.0f} s ago"
    if known.rules is None:
        yield "the rules in force are not known yet"
    elif known.rules_revision != revision:
        yield f"rules are those of revision {known.rules_revision}"
