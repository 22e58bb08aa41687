"""Records what became of submissions beside the instance: counts, and one log line each."""

import logging

import attrs

from ibisrack.calls.messages import LoadReport
from ibisrack.calls.outcomes import Outcome
from ibisrack.calls.retry import Result, outcome_and_reason
from ibisrack.links.messages import Submit
from ibisrack.metrics.tally import OWNER, Tally

_LOGGER = logging.getLogger("ibisrack.hosting")


@attrs.define(eq=False)
class Visit:
    """A submission while it is at this node.

    Attributes:
      submit: What was submitted.
      load: Load of the instance when it came.
      arrived_at_s: Monotonic time of its arrival.
      started_at_s: Monotonic time at which it was sent to the instance, None before.
    """

    submit: Submit
    load: LoadReport
    arrived_at_s: float
    started_at_s: float | None = None


@attrs.define(eq=False)
class VisitRecords:
    """Writes down the ends of submissions.

    Attributes:
      tally: Counts them.
    """

    tally: Tally

    def ended(self, visit: Visit, result: Result, service_s: float, now_s: float) -> None:
        """Records a submission.

        Args:
          visit: The submission.
          result: What its sender is told.
          service_s: Mean time of a request at the instance.
          now_s: Present time.
        """
        submit, total_s = visit.submit, now_s - visit.arrived_at_s
        outcome, detail = outcome_and_reason(result)
        self.tally.count_call(OWNER, submit.service, submit.rank, str(outcome), total_s * 1000)
        level = logging.DEBUG if outcome is Outcome.DONE else logging.INFO
        if not _LOGGER.isEnabledFor(level):
            return
        started_at_s = now_s if visit.started_at_s is None else visit.started_at_s
        extra = {
            "request_id": submit.request_id,
            "attempt": submit.attempt,
            "instance": submit.instance_id,
            "rank": submit.rank,
            "left_ms": submit.left_ms,
            "target_ms": submit.target_ms,
            "busy": visit.load.busy,
            "queued": visit.load.queued,
            "slots": visit.load.slots,
            "service_ms": round(service_s * 1000),
            "waited_ms": round((started_at_s - visit.arrived_at_s) * 1000),
            "ran_ms": round((now_s - started_at_s) * 1000),
            "outcome": str(outcome),
            "detail": detail,
        }
        ran = visit.started_at_s is not None
        _LOGGER.log(level, "submission ran" if ran else "submission refused", extra=extra)
