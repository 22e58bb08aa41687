"""Counts and logs finished submissions at the node of their instance."""

import logging

import attrs

from ibisrack.calls.messages import LoadReport
from ibisrack.calls.outcomes import Outcome
from ibisrack.calls.retry import Result, outcome_and_reason
from ibisrack.links.messages import Submit
from ibisrack.metrics.tally import OWNER, Tally

_LOGGER = logging.getLogger("ibisrack.hosting")


@attrs.define(eq=False)
class SubmissionTrace:
    """Times of a submission at this node, and the load on its arrival.

    Attributes:
      submit: The submission.
      load: Load of the instance when the submission arrived.
      arrived_at_s: Monotonic time of arrival.
      started_at_s: Monotonic time at which it was sent to the instance, None until then.
    """

    submit: Submit
    load: LoadReport
    arrived_at_s: float
    started_at_s: float | None = None


@attrs.define(eq=False)
class SubmissionRecorder:
    """Counts and logs finished submissions.

    Attributes:
      tally: Counters of submissions for metrics.
    """

    tally: Tally

    def record(
        self, trace: SubmissionTrace, result: Result, service_s: float, now_s: float
    ) -> None:
        """Records a finished submission.

        Args:
          trace: The submission and its times.
          result: Result that is returned to the sender.
          service_s: Moving average of the service time of requests.
          now_s: Current time.
        """
        submit, total_s = trace.submit, now_s - trace.arrived_at_s
        outcome, detail = outcome_and_reason(result)
        self.tally.count_call(OWNER, submit.service, submit.rank, str(outcome), total_s * 1000)
        level = logging.DEBUG if outcome is Outcome.DONE else logging.INFO
        if not _LOGGER.isEnabledFor(level):
            return
        started_at_s = now_s if trace.started_at_s is None else trace.started_at_s
        extra = {
            "request_id": submit.request_id,
            "attempt": submit.attempt,
            "instance": submit.instance_id,
            "rank": submit.rank,
            "left_ms": submit.remaining_ms,
            "target_ms": submit.remaining_target_ms,
            "busy": trace.load.busy,
            "queued": trace.load.queued,
            "slots": trace.load.slots,
            "service_ms": round(service_s * 1000),
            "waited_ms": round((started_at_s - trace.arrived_at_s) * 1000),
            "ran_ms": round((now_s - started_at_s) * 1000),
            "outcome": str(outcome),
            "detail": detail,
        }
        ran = trace.started_at_s is not None
        _LOGGER.log(level, "submission ran" if ran else "submission refused", extra=extra)
