"""Finds the nodes that do not serve with the accepted version or refused a higher one, and why."""

from ibisrack.membership.records import Liveness, MemberRecord
from ibisrack.node.lifecycle import JOINING, RESUMING, STARTING
from ibisrack.room.messages import StatusReport, Straggler

CUT_OFF = "cut off"
REFUSED = "refused"
ASLEEP = "asleep"
STARTING_UP = "starting"
BEHIND = "behind"


def _cause_and_detail(
    member: MemberRecord,
    report: StatusReport | None,
    age_s: float,
    silence_limit_s: float,
    accepted_revision: int,
) -> tuple[str, str] | None:
    """Returns why a node is a straggler and a detail, None when it is not one."""
    if member.liveness is Liveness.DEAD:
        return CUT_OFF, "does not answer its peers"
    if member.liveness is Liveness.SUSPECT:
        return ASLEEP, "missed its last exchanges"
    if report is None:
        return STARTING_UP, "has not reported yet"
    if age_s > silence_limit_s:
        return CUT_OFF, f"last report {age_s:.0f} s ago"
    if report.state in (STARTING, JOINING):
        return STARTING_UP, report.state
    if report.state == RESUMING:
        return ASLEEP, "compares revisions after a pause"
    revision = reported_revision(report)
    if report.refused and report.refused.version_id.revision > revision:
        return REFUSED, _refusal_detail(report)
    if revision < accepted_revision:
        return BEHIND, f"revision {revision} in force, {accepted_revision} accepted"
    return None


def _refusal_detail(report: StatusReport) -> str:
    faults = report.refused.faults
    return faults[0] if faults else f"revision {report.refused.version_id.revision}"


def reported_revision(report: StatusReport | None) -> int:
    """Returns the revision that a node reported as in force, 0 for none."""
    return report.in_force.revision if report and report.in_force else 0


def classify_member(
    member: MemberRecord,
    report: StatusReport | None,
    age_s: float,
    silence_limit_s: float,
    accepted_revision: int,
) -> Straggler | None:
    """Returns the straggler entry of a node, None for a node that is not a straggler.

    Args:
      member: The node's member record.
      report: Its last report.
      age_s: Age of the report.
      silence_limit_s: Age of a report above which the node counts as cut off.
      accepted_revision: Highest revision that is in force on any known node.
    """
    cause_and_detail = _cause_and_detail(member, report, age_s, silence_limit_s, accepted_revision)
    if cause_and_detail is None:
        return None
    return Straggler(
        member.node_id, cause_and_detail[0], reported_revision(report), cause_and_detail[1]
    )
