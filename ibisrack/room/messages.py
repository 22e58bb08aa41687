"""Messages of the room slice: status reports within a zone and summaries between zones.

Messages carry ages instead of times of day, so a difference between the clocks of hosts does not
distort them.
"""

import attrs

from ibisrack.versions.chunks import VersionId


@attrs.frozen
class RankCounts:
    """Counts of the calls of one rank that finished in the last minute.

    Attributes:
      service: Service of the route, OTHER for the sum of the rows beyond the limit.
      rank: Rank of the calls.
      offered: All calls.
      served: Calls that were answered.
      not_run: Calls that were refused without being run.
      unknown: Calls that may have run.
    """

    service: str
    rank: str
    offered: int
    served: int
    not_run: int
    unknown: int


@attrs.frozen
class RuleCounts:
    """Counts of the calls of one route, by its line in the rules file; see RankCounts."""

    line: int
    offered: int
    served: int
    not_run: int
    unknown: int


@attrs.frozen
class RefusedVersion:
    """A version that a node refused, and the first faults found in it as text."""

    version_id: VersionId
    faults: tuple[str, ...]


@attrs.frozen
class StatusReport:
    """Status of a node, sent to the collectors of its zone.

    Attributes:
      node_id: Id of the sender, the name of its host.
      state: Lifecycle state.
      in_force: Version in force at the node.
      staged: Higher version that waits for confirmations.
      refused: Highest version that the node refused.
      reported_at_ms: The sender's wall clock, to order reports of one node.
      ranks: Calls of the last minute by rank.
      rules: Calls of the last minute by rule, limited to MAX_RULE_ROWS lines.
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
    """Number of nodes with a version in force, None for the nodes without a version."""

    version_id: VersionId | None
    nodes: int


@attrs.frozen
class Straggler:
    """A node that does not serve with the accepted version, or that refused a higher one.

    Attributes:
      node_id: Name of the host.
      cause: One of the causes in ``ibisrack.room.stragglers``.
      revision: Revision in force as last reported, 0 for none.
      detail: First fault of a refusal, or the last observation as text.
    """

    node_id: str
    cause: str
    revision: int
    detail: str


@attrs.frozen
class ZoneSummary:
    """State of a zone as seen by one of its collectors.

    Attributes:
      zone: Availability zone.
      region: Region of the zone.
      collector: Collector that made the summary.
      members: Nodes of the zone in the collector's member table.
      by_version: Nodes by version in force.
      by_state: Nodes by lifecycle state.
      straggler_count: Number of all stragglers.
      stragglers: The first MAX_LISTED_STRAGGLERS of them.
      ranks: Sums of the nodes' counts by rank.
      rules: Sums of the nodes' counts by rule.
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
    """Requests the summaries that are fresher than the sender's.

    Attributes:
      held_ages_s: Age of each summary that the sender holds, by zone.
      fresher_by_s: Smallest difference in age for which a summary is sent.
    """

    held_ages_s: dict[str, float]
    fresher_by_s: float


@attrs.frozen
class ZoneSummaries:
    """Summaries in answer to WantSummaries."""

    summaries: tuple[ZoneSummary, ...]
