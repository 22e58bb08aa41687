"""The data that a screen shows.

Each class holds the data of one part of the screen.  States carry their own texts, so that no
screen depends on colour alone.
"""

from enum import StrEnum

import attrs

MAX_ROWS = 40  # More than fit on a screen; keeps the encoded view below 20 KB.


class Cause(StrEnum):
    """Why a node is not known to be on the accepted version.

    The first five are those of GET /fleet.  NOT_RUNNING comes from the process that serves the
    screen, which probes silent nodes; a probe may also change a cause to ASLEEP or CUT_OFF.
    OTHER stands for a cause of GET /fleet that this program does not know.
    """

    REFUSED = "refused"
    STARTING = "starting"
    BEHIND = "behind"
    ASLEEP = "asleep"
    CUT_OFF = "cut off"
    NOT_RUNNING = "not running"
    OTHER = "other"


@attrs.frozen
class StragglerView:
    """A node that is not known to be on the accepted version.

    Attributes:
      node_id: Name of the host.
      zone: Availability zone.
      cause: Why it is not counted as being on it.
      detail: The last observation; for a refusal the line, the fault and the requester.
      revision: Last revision that the node reported, 0 for none.
    """

    node_id: str
    zone: str
    cause: Cause
    detail: str
    revision: int


@attrs.frozen
class ZoneView:
    """Nodes of one availability zone.

    Attributes:
      zone: Availability zone.
      region: Region of the zone.
      total: Nodes of the zone, without those that left as planned.
      on_accepted: Nodes known to have the accepted version in force.
      age_s: Age of the data, None before any has arrived.
      stale: Whether the data is missing or too old to rely on.
    """

    zone: str
    region: str
    total: int
    on_accepted: int
    age_s: float | None
    stale: bool


@attrs.frozen
class RankView:
    """Calls of one rank in the last minute.

    Attributes:
      service: Service that the rank belongs to.
      rank: Name of the rank.
      order: Precedence.
      share_percent: Guaranteed share of slot time.
      demand: Calls that callers sent.
      served: Calls with an answer.
      refused: Calls that did not run.
      unknown: Calls whose outcome is not known.
      kept_percent: Served calls in percent of demand, None without demand.
    """

    service: str
    rank: str
    order: int
    share_percent: int
    demand: int
    served: int
    refused: int
    unknown: int
    kept_percent: float | None


@attrs.frozen
class RuleView:
    """One route and its calls in the last minute.

    Attributes:
      line: Line in the rules file of the accepted version.
      route: Method, host and path.
      rank: Rank of the calls.
      requester: Person who requested the route.
      reason: Why the route was requested.
      demand: Calls that callers sent.
      served: Calls with an answer.
      refused: Calls that did not run.
      unknown: Calls whose outcome is not known.
    """

    line: int
    route: str
    rank: str
    requester: str
    reason: str
    demand: int
    served: int
    refused: int
    unknown: int


@attrs.frozen
class RefusalView:
    """A version above the accepted one, refused by nodes that are on the accepted one.

    Attributes:
      node_count: Nodes known to have refused it; there may be more.
      faults: The faults found, each with file, line and requester; no duplicates.
    """

    node_count: int
    faults: tuple[str, ...]


@attrs.frozen
class ScreenView:
    """Everything that a screen shows.

    Attributes:
      accepted_revision: Highest revision that any node reported as in force, 0 for none.
      accepted_digest: Digest of that version, hexadecimal.
      total: Nodes in all zones, without those that left as planned.
      on_accepted: Nodes known to have the accepted version in force.
      refused: Refusal of a version above the accepted one, None without any.
      zones: Nodes by availability zone.
      stragglers: Nodes not known to be on the accepted version, without those beyond a zone's list.
      straggler_count: Number of all such nodes.
      leaving: Nodes that left as planned and are still listed as stragglers.
      ranks: Calls by rank, the lowest share of served calls first, at most MAX_ROWS.
      rank_count: Number of all ranks.
      rules: Calls by route, the most refused first, at most MAX_ROWS.
      rule_count: Number of all routes.
      age_s: Age of the oldest zone shown, None when there is none.
      source: Node that the data was read from, empty for none.
      problems: Sentences about missing or outdated data.
    """

    accepted_revision: int
    accepted_digest: str
    total: int
    on_accepted: int
    refused: RefusalView | None
    zones: tuple[ZoneView, ...]
    stragglers: tuple[StragglerView, ...]
    straggler_count: int
    leaving: int
    ranks: tuple[RankView, ...]
    rank_count: int
    rules: tuple[RuleView, ...]
    rule_count: int
    age_s: float | None
    source: str
    problems: tuple[str, ...]
