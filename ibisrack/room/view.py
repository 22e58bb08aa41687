"""What a screen shows of the fleet.

Every class here is data for one part of the screen.  Texts that stand for a state come with the
state, so that no screen depends on colour.
"""

from enum import StrEnum

import attrs

MAX_ROWS = 40  # A screen has room for fewer; the view stays below 20 KB.


class Cause(StrEnum):
    """Why a node is not known to be on the accepted version.

    The first five are those of GET /fleet.  NOT_RUNNING and the refined ASLEEP come from the
    process that serves the screen, which asks silent nodes itself.
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
      cause: Why.
      detail: What was seen; for a refusal the line, the reason and who asked.
      revision: Last revision that the node told, 0 when none is known.
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
      total: Nodes of the zone.
      on_accepted: Nodes known to have the accepted version in force.
      age_s: Age of what is shown, None when nothing has arrived.
      stale: Whether that is too old to be relied on.
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
    """One route and what it did in the last minute.

    Attributes:
      line: Line in the rules file of the accepted version.
      route: Method, host and path.
      rank: Rank of the calls.
      requester: Person who asked for the route.
      reason: Why the person asked for it.
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
    """A version that nodes refused although they are on the accepted one.

    Attributes:
      node_count: Nodes known to have refused it; there may be more.
      faults: File, line, reason and requester, without repetitions.
    """

    node_count: int
    faults: tuple[str, ...]


@attrs.frozen
class ScreenView:
    """Everything that a screen shows.

    Attributes:
      accepted_revision: Highest revision in force at a node heard of, 0 when none is known.
      accepted_digest: Its digest, hexadecimal.
      total: Nodes in all zones.
      on_accepted: Nodes known to have the accepted version in force.
      refused: A refused version above the accepted one.
      zones: Nodes by availability zone.
      stragglers: Nodes not known to be on the accepted version, as far as they are listed.
      straggler_count: Number of all of them.
      leaving: Nodes that left as planned and are still listed; they are not part of the total.
      ranks: Calls by rank, the least kept first, at most MAX_ROWS.
      rank_count: Number of all ranks.
      rules: Calls by route, the most refused first, at most MAX_ROWS.
      rule_count: Number of all routes.
      age_s: Age of the oldest zone shown, None when there is none.
      source: Node that gave the figures.
      problems: Sentences about what is not known or is out of date.
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
