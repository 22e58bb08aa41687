"""Why a node does not serve with the accepted version."""

from ibisrack.membership.records import Liveness, MemberRecord
from ibisrack.node.lifecycle import JOINING, RESUMING, STARTING
from ibisrack.room.messages import StatusReport, Straggler

CUT_OFF = "cut off"
REFUSED = "refused"
ASLEEP = "asleep"
STARTING_UP = "starting"
BEHIND = "behind"


def _cause(
    member: MemberRecord,
    report: StatusReport | None,
    age_s: float,
    limit_s: float,
    accepted_revision: int,
) -> tuple[str, str] | None:
    """Returns the cause and its detail, None for a node that is as it should be."""
    if member.liveness is Liveness.DEAD:
        return CUT_OFF, "does not answer its peers"
    if member.liveness is Liveness.SUSPECT:
        return ASLEEP, "missed its last exchanges"
    if report is None:
        return STARTING_UP, "has not reported yet"
    if age_s > limit_s:
        return CUT_OFF, f"last report {age_s:.0f} s ago"
    if report.state in (STARTING, JOINING):
        return STARTING_UP, report.state
    if report.state == RESUMING:
        return ASLEEP, "compares revisions after a pause"
    revision = revision_of(report)
    if report.refused and report.refused.version_id.revision > revision:
        return REFUSED, _refusal(report)
    if revision < accepted_revision:
        return BEHIND, f"revision {revision} in force, {accepted_revision} accepted"
    return None


def _refusal(report: StatusReport) -> str:
    faults = report.refused.faults
    return faults[0] if faults else f"revision {report.refused.version_id.revision}"


def revision_of(report: StatusReport | None) -> int:
    """Returns the revision in force that a node reported, 0 for none."""
    return report.in_force.revision if report and report.in_force else 0


def straggler(
    member: MemberRecord,
    report: StatusReport | None,
    age_s: float,
    limit_s: float,
    accepted_revision: int,
) -> Straggler | None:
    """Judges one node.

    Args:
      member: The node's member record.
      report: Its last report.
      age_s: Age of the report.
      limit_s: Age at which the node counts as cut off.
      accepted_revision: Highest revision that is in force anywhere.
    """
    found = _cause(member, report, age_s, limit_s, accepted_revision)
    if found is None:
        return None
    return Straggler(member.node_id, found[0], revision_of(report), found[1])
