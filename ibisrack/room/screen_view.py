"""Builds the view that a screen shows from a node's answer to GET /fleet; pure functions.

A node counts as being on the accepted version only while its report is current: one whose report
is missing, or that its peers can't reach, is not counted even if its last report said so.
"""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from ibisrack.admin.client import AdminFailure
from ibisrack.room.call_views import rank_views, rule_views
from ibisrack.room.fleet import FleetView, FleetZone
from ibisrack.room.messages import Straggler
from ibisrack.room.stragglers import REFUSED
from ibisrack.room.view import (
    MAX_ROWS,
    Cause,
    RefusalView,
    ScreenView,
    StragglerView,
)
from ibisrack.room.view import ZoneView as ScreenZone
from ibisrack.rules.ruleset import RuleSet

_CAUSE_BY_NAME = {cause.value: cause for cause in Cause}
_CAUSE_BY_PROBE = {
    AdminFailure.REFUSED: Cause.NOT_RUNNING,
    AdminFailure.NO_RESPONSE: Cause.ASLEEP,
    AdminFailure.NO_CONNECTION: Cause.CUT_OFF,
}
_SILENT_CAUSES = frozenset((Cause.ASLEEP, Cause.CUT_OFF))


@attrs.frozen
class PolledState:
    """The data that the process behind a screen has read from nodes.

    Attributes:
      fleet: The last answer to GET /fleet, None before the first one.
      fleet_age_s: Seconds since that answer.
      error: Error of the last read, empty when it succeeded.
      rules: Rules in force at a node, None before they were read.
      rules_revision: Revision of these rules.
      probes: Results of probing silent nodes, by node id: how a node failed to answer, None when it
        answered.
      leaving: Ids of the nodes that are marked as leaving.
    """

    fleet: FleetView | None = None
    fleet_age_s: float = 0.0
    error: str = ""
    rules: RuleSet | None = None
    rules_revision: int = 0
    probes: Mapping[str, AdminFailure | None] = attrs.field(factory=dict)
    leaving: frozenset[str] = frozenset()

    def leaving_count(self, zone: FleetZone) -> int:
        """Counts the listed stragglers of a zone that left as planned."""
        return sum(node.node_id in self.leaving for node in zone.stragglers)


def screen_view(polled: PolledState, stale_s: float) -> ScreenView:
    """Returns the view.

    Args:
      polled: The data read from nodes.
      stale_s: Age in seconds above which a zone is shown as out of date.
    """
    fleet = polled.fleet or FleetView("", None, 0, 0, (), (), ())
    revision = fleet.accepted.revision if fleet.accepted else 0
    zones = tuple(screen_zone(zone, revision, polled, stale_s) for zone in fleet.zones)
    nodes = [(zone.zone, node) for zone in fleet.zones for node in zone.stragglers]
    staying = [(zone, node) for zone, node in nodes if node.node_id not in polled.leaving]
    leaving_count = len(nodes) - len(staying)
    refusing = [node for _, node in staying if _refused_newer(node, revision)]
    refusing_count = len(refusing) + sum(_unlisted_refusals(z, revision) for z in fleet.zones)
    views = [straggler_view(zone, node, polled.probes) for zone, node in staying]
    views = [view for view, (_, node) in zip(views, staying, strict=True) if node not in refusing]
    ranks, rules = rank_views(polled.rules, fleet.ranks), rule_views(polled.rules, fleet.rules)
    ages_s = [zone.age_s for zone in zones if zone.age_s is not None]
    return ScreenView(
        accepted_revision=revision,
        accepted_digest=fleet.accepted.digest if fleet.accepted else "",
        total=fleet.members - leaving_count,
        on_accepted=sum(zone.on_accepted for zone in zones),
        refused=_refusal(refusing, refusing_count),
        zones=zones,
        stragglers=tuple(sorted(views, key=_straggler_order)),
        straggler_count=fleet.straggler_count - refusing_count - leaving_count,
        leaving=leaving_count,
        ranks=ranks[:MAX_ROWS],
        rank_count=len(ranks),
        rules=rules[:MAX_ROWS],
        rule_count=len(rules),
        age_s=max(ages_s, default=None),
        source=fleet.node_id,
        problems=tuple(_problems(polled, revision, zones)),
    )


def _refused_newer(node: Straggler, accepted: int) -> bool:
    """Returns whether a node is on the accepted version and refused a higher one."""
    return node.cause == REFUSED and node.revision == accepted and accepted > 0


def _unlisted_refusals(zone: FleetZone, accepted: int) -> int:
    """Counts the nodes of a zone that refused a higher version and are not in its list.

    The list ends with the nodes on the highest version that refused another one.  When the last
    entry is of this kind, all stragglers beyond the list are too.
    """
    if not zone.stragglers or not _refused_newer(zone.stragglers[-1], accepted):
        return 0
    return zone.straggler_count - len(zone.stragglers)


def _refusal(refusing: list[Straggler], count: int) -> RefusalView | None:
    faults = tuple(dict.fromkeys(node.detail for node in refusing))
    return RefusalView(count, faults) if refusing else None


def screen_zone(zone: FleetZone, accepted: int, polled: PolledState, stale_s: float) -> ScreenZone:
    """Counts the nodes of a zone that are known to be on the accepted version.

    The counts by version include the last reports of nodes that have gone silent since.  These are
    subtracted, and so are stragglers beyond the listed ones unless they are known to be refusals.
    Nodes that left as planned are not part of the total.
    """
    age_s = None if zone.age_s is None else round(zone.age_s + polled.fleet_age_s, 1)
    reported = sum(count.nodes for count in zone.by_version if count.revision == accepted > 0)
    last_on_accepted = [node for node in zone.stragglers if node.revision == accepted]
    silent = sum(not _refused_newer(node, accepted) for node in last_on_accepted)
    unlisted = zone.straggler_count - len(zone.stragglers) - _unlisted_refusals(zone, accepted)
    return ScreenZone(
        zone=zone.zone,
        region=zone.region,
        total=zone.members - polled.leaving_count(zone),
        on_accepted=max(0, min(reported, zone.members) - silent - unlisted),
        age_s=age_s,
        stale=age_s is None or age_s > stale_s,
    )


def straggler_view(
    zone: str, node: Straggler, probes: Mapping[str, AdminFailure | None]
) -> StragglerView:
    """Describes a straggler; the result of a probe refines the cause of a silent one."""
    cause = _CAUSE_BY_NAME.get(node.cause, Cause.OTHER)
    detail = node.detail
    if cause in _SILENT_CAUSES and node.node_id in probes:
        failure = probes[node.node_id]
        cause = _CAUSE_BY_PROBE.get(failure, cause)
        detail = f"{detail}; to this screen it {failure or 'answers'}"
    return StragglerView(node.node_id, zone, cause, detail, node.revision)


def _straggler_order(node: StragglerView) -> tuple[int, str, str]:
    return (tuple(Cause).index(node.cause), node.zone, node.node_id)


def _problems(polled: PolledState, revision: int, zones: Iterable[ScreenZone]) -> Iterator[str]:
    if polled.error:
        yield f"none of the polled nodes answers: {polled.error}"
    if polled.fleet is None:
        return
    for zone in zones:
        if zone.age_s is None:
            yield f"no data on zone {zone.zone}: no report has arrived"
        elif zone.stale:
            yield f"zone {zone.zone} is out of date: last report {zone.age_s:.0f} s ago"
    if polled.rules is None:
        yield "the rules in force have not been read yet"
    elif polled.rules_revision != revision:
        yield f"the rules shown are those of revision {polled.rules_revision}"
