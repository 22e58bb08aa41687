"""What a screen shows of the fleet.

Every class here is data for one part of the screen.  Texts that stand for a state come with the
state, so that no screen depends on colour.
"""

from enum import StrEnum

import attrs


class Cause(StrEnum):
    """Why a node is not on the accepted version, as far as it is known."""

    REFUSED = "refused"
    STARTING = "starting"
    WAKING = "waking up"
    BEHIND = "catching up"
    ASLEEP = "asleep"
    CUT_OFF = "cut off"
    NOT_RUNNING = "not running"
    BAD_ANSWER = "bad answer"
    NOT_READ = "not read yet"


@attrs.frozen
class Straggler:
    """A node that is not known to be on the accepted version.

    Attributes:
      node_id: Name of the host.
      zone: Availability zone.
      cause: Why.
      detail: What was seen; for a refusal the line, the reason and who asked.
      revision: Last revision that the node told, 0 when none is known.
      age_s: Age of the node's last answer, None when it never answered.
    """

    node_id: str
    zone: str
    cause: Cause
    detail: str
    revision: int
    age_s: float | None


@attrs.frozen
class ZoneView:
    """Nodes of one availability zone.

    Attributes:
      zone: Availability zone.
      region: Region of the zone.
      total: Listed nodes that are not leaving.
      on_accepted: Nodes that answered with the accepted version in force.
      behind: Nodes that answered and are not on it.
      silent: Nodes of which nothing current is known.
    """

    zone: str
    region: str
    total: int
    on_accepted: int
    behind: int
    silent: int


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
class RefusedVersion:
    """The newest version that nodes refused.

    Attributes:
      revision: Its revision.
      node_count: Nodes that told of the refusal.
      faults: Line, reason and requester of each fault.
    """

    revision: int
    node_count: int
    faults: tuple[str, ...]


@attrs.frozen
class FleetView:
    """Everything that a screen shows.

    Attributes:
      accepted_revision: Highest revision in force at a node that answered, 0 when none is known.
      accepted_digest: Its digest, hexadecimal.
      total: Listed nodes that are not leaving.
      on_accepted: Nodes that answered with the accepted version in force.
      leaving: Nodes that leave as planned; they are not part of the total.
      refused: The newest refused version above the accepted one.
      zones: Nodes by availability zone.
      stragglers: Nodes not known to be on the accepted version, the most certain causes first.
      ranks: Calls by rank, the least kept first.
      rules: Calls by route, the most refused first.
      work_nodes: Nodes whose figures are in ranks and rules.
      age_s: Age of the oldest answer that is counted as current, None when there is none.
      source: Admin address that gave the list of nodes.
      source_age_s: Age of that list, None when there is none.
      problems: Sentences about what is not known or is out of date.
    """

    accepted_revision: int
    accepted_digest: str
    total: int
    on_accepted: int
    leaving: int
    refused: RefusedVersion | None
    zones: tuple[ZoneView, ...]
    stragglers: tuple[Straggler, ...]
    ranks: tuple[RankView, ...]
    rules: tuple[RuleView, ...]
    work_nodes: int
    age_s: float | None
    source: str
    source_age_s: float | None
    problems: tuple[str, ...]
