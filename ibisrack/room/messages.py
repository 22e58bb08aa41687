"""Messages of the room slice: status reports within a zone and summaries between zones.

Ages travel instead of times of day, so clocks that differ between hosts do not distort them.
"""

import attrs

from ibisrack.versions.chunks import VersionId


@attrs.frozen
class RankCounts:
    """Calls of a rank of a service that ended in the last minute.

    Attributes:
      service: Service of the route, OTHER for the sum of the rows that were left out.
      rank: Rank of the calls.
      offered: Calls that callers asked for.
      served: Calls that were done.
      not_run: Calls that were refused and did not run.
      unknown: Calls whose outcome is not known.
    """

    service: str
    rank: str
    offered: int
    served: int
    not_run: int
    unknown: int


@attrs.frozen
class RuleCounts:
    """Calls of one route, by its line in the rules file, that ended in the last minute."""

    line: int
    offered: int
    served: int
    not_run: int
    unknown: int


@attrs.frozen
class RefusedVersion:
    """A version that a node refused, with its first faults as text."""

    version_id: VersionId
    faults: tuple[str, ...]


@attrs.frozen
class StatusReport:
    """What a node tells the collectors of its zone.

    Attributes:
      node_id: Name of the host; the sender.
      state: Lifecycle state.
      in_force: Version that the node enforces.
      staged: Higher version that waits for confirmation.
      refused: Highest version that the node refused.
      reported_at_ms: The sender's wall clock, to order reports of one node.
      ranks: Calls of the last minute by rank.
      rules: Calls of the last minute by rule, the most used lines.
    """

    node_id: str
    state: str
    in_force: VersionId | None
    staged: VersionId | None
    refused: RefusedVersion | None
    reported_at_ms: int
    ranks: tuple[RankCounts, ...] = ()
    rules: tuple[RuleCounts, ...] = ()


@attrs.frozen
class VersionCount:
    """Number of nodes with a version in force; no version for nodes that have none."""

    version_id: VersionId | None
    nodes: int


@attrs.frozen
class Straggler:
    """A node that does not serve with the accepted version.

    Attributes:
      node_id: Name of the host.
      cause: One of the causes in ``ibisrack.room.stragglers``.
      revision: Revision in force as last reported, 0 for none.
      detail: Line and reason of a refusal, or what was seen last.
    """

    node_id: str
    cause: str
    revision: int
    detail: str


@attrs.frozen
class ZoneSummary:
    """The state of a zone as one of its collectors sees it.

    Attributes:
      zone: Availability zone.
      region: Region of the zone.
      collector: Collector that made the summary.
      members: Nodes of the zone in the collector's member table.
      by_version: Nodes by version in force.
      by_state: Nodes by lifecycle state.
      straggler_count: Number of all stragglers.
      stragglers: The first of them.
      ranks: Sums by rank.
      rules: Sums by rule.
      newest_report_age_s: Age of the newest report when the summary was sent, None without any.
      age_s: Age of the summary when it was sent.
    """

    zone: str
    region: str
    collector: str
    members: int
    by_version: tuple[VersionCount, ...]
    by_state: dict[str, int]
    straggler_count: int
    stragglers: tuple[Straggler, ...]
    ranks: tuple[RankCounts, ...]
    rules: tuple[RuleCounts, ...]
    newest_report_age_s: float | None
    age_s: float


@attrs.frozen
class WantSummaries:
    """Asks a collector for the summaries that are fresher than the sender's.

    Attributes:
      held_ages_s: Age of each summary that the sender holds, by zone.
      fresher_by_s: Least difference in age that is worth sending.
    """

    held_ages_s: dict[str, float]
    fresher_by_s: float


@attrs.frozen
class ZoneSummaries:
    """Delivers summaries."""

    summaries: tuple[ZoneSummary, ...]
