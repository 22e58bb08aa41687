"""Decides which nodes are behind and why, without claiming more than was seen."""

import attrs

from ibisrack.admin.client import AdminError, Silence
from ibisrack.admin.messages import ALIVE, DEAD, Member, Status
from ibisrack.node.lifecycle import JOINING, RESUMING, SERVING, STARTING
from ibisrack.room.readings import Reading
from ibisrack.room.view import Cause, Straggler

_SILENT_CAUSES = {
    Silence.REFUSED: Cause.NOT_RUNNING,
    Silence.NO_CONNECTION: Cause.CUT_OFF,
    Silence.NO_ANSWER: Cause.ASLEEP,
    Silence.BROKEN: Cause.BAD_ANSWER,
    Silence.BAD_ANSWER: Cause.BAD_ANSWER,
}
_CERTAINTY = tuple(Cause)  # Stragglers are listed in the order of this enumeration.


@attrs.frozen
class Judgement:
    """What a screen makes of one node.

    Attributes:
      current: Whether the node answered the last read, recently enough.
      on_accepted: Whether it is current and on the accepted version.
      straggler: Why it is not, None when it is on the accepted version.
    """

    current: bool
    on_accepted: bool
    straggler: Straggler | None


def judge(
    member: Member, reading: Reading, accepted: int, now_s: float, stale_s: float
) -> Judgement:
    """Judges one node.

    Args:
      member: The node's member record.
      reading: What was read from the node.
      accepted: The accepted revision.
      now_s: Monotonic time.
      stale_s: Age from which an answer is no longer current.
    """
    age_s = now_s - reading.report_at_s if reading.report else None
    current = reading.error is None and age_s is not None and age_s <= stale_s
    if not current:
        cause, detail = _silent(member, reading)
    else:
        cause, detail = _behind(reading.report.status, accepted)
    if cause is None:
        return Judgement(True, True, None)
    revision = reading.report.status.revision if reading.report else 0
    rounded_s = None if age_s is None else round(age_s, 1)
    straggler = Straggler(member.node_id, member.zone, cause, detail, revision, rounded_s)
    return Judgement(current, False, straggler)


def _behind(status: Status, accepted: int) -> tuple[Cause | None, str]:
    """Returns why a node that answers is behind, None when it is not."""
    if status.state in (STARTING, JOINING):
        return Cause.STARTING, f"state {status.state}, takes no calls yet"
    if status.revision == 0:
        return Cause.STARTING, "has no version yet"
    if status.revision < accepted:
        if status.refused_revision > status.revision:
            return Cause.REFUSED, _refusal(status)
        return Cause.BEHIND, f"on revision {status.revision}"
    if status.state == RESUMING:
        return Cause.WAKING, "was paused and compares versions before it takes calls"
    if status.state != SERVING:
        return Cause.BEHIND, f"state {status.state}"
    return None, ""


def _refusal(status: Status) -> str:
    fault = status.refused_faults[0] if status.refused_faults else "no reason given"
    more = len(status.refused_faults) - 1
    return f"revision {status.refused_revision}: {fault}" + (
        f" and {more} more" if more > 0 else ""
    )


def _silent(member: Member, reading: Reading) -> tuple[Cause, str]:
    error = reading.error
    if error is None:
        return (Cause.NOT_READ, "no answer yet" if reading.report is None else "answer is old")
    return _SILENT_CAUSES[error.silence], f"{error.silence}; {_opinion(member, error)}"


def _opinion(member: Member, error: AdminError) -> str:
    """Tells what the other nodes say, which may differ from what this process sees."""
    if member.liveness == DEAD:
        return "other nodes report it dead"
    if member.liveness == ALIVE:
        return "other nodes last reported it alive"
    return "other nodes suspect it"


def by_certainty(straggler: Straggler) -> tuple[int, str, str]:
    """Orders stragglers: refusals first, then by cause, zone and node id."""
    return (_CERTAINTY.index(straggler.cause), straggler.zone, straggler.node_id)
