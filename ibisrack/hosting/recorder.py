"""Counts and logs finished submissions at the node of their instance."""

import logging
import math

import attrs

from ibisrack.calls.messages import LoadReport
from ibisrack.calls.outcomes import Outcome
from ibisrack.calls.retry import Result, outcome_and_reason
from ibisrack.hosting.coldness import Coldness
from ibisrack.hosting.crashes import Crash
from ibisrack.hosting.runs import Run
from ibisrack.hosting.slow_start import SlowStart
from ibisrack.metrics.tally import OWNER, Tally

# Relative change from which a limit is logged again; an instance may name another one each time.
LOGGED_LIMIT_CHANGE = 0.1

_LOGGER = logging.getLogger("ibisrack.hosting")


@attrs.define(eq=False)
class SubmissionTrace:
    """Times of a submission at this node, and the load and the limit on its arrival.

    Attributes:
      run: Run of the submission.
      load: Load of the instance when the submission arrived.
      running: Number of running submissions of each rank then.
      limit_per_s: Requests a second that the instance then took, None for no limit.
      arrived_at_s: Monotonic time of arrival.
      link_backlog_s: Time that the host's link then needed for what it had to send.
    """

    run: Run
    load: LoadReport
    running: dict[str, int]
    limit_per_s: float | None
    arrived_at_s: float
    link_backlog_s: float = 0.0


@attrs.define(eq=False)
class SubmissionRecorder:
    """Counts and logs finished submissions, and logs the cancelled ones that no peer resumed.

    Attributes:
      tally: Counters of submissions for metrics.
    """

    tally: Tally
    _logged_limit_per_s: float | None = None

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
        run, submit, total_s = trace.run, trace.run.submit, now_s - trace.arrived_at_s
        outcome, detail = outcome_and_reason(result)
        self.tally.count_call(OWNER, submit.service, submit.rank, str(outcome), total_s * 1000)
        level = logging.DEBUG if outcome is Outcome.DONE else logging.INFO
        if not _LOGGER.isEnabledFor(level):
            return
        started_at_s = now_s if run.started_at_s is None else run.started_at_s
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
            "running": trace.running,
            "limit_per_s": trace.limit_per_s,
            "service_ms": round(service_s * 1000),
            "nested": submit.is_nested,
            "answer_bytes": submit.expected_answer_bytes,
            "link_backlog_ms": round(trace.link_backlog_s * 1000),
            "waited_ms": round((started_at_s - trace.arrived_at_s) * 1000),
            "ran_ms": round((now_s - started_at_s) * 1000),
            "outcome": str(outcome),
            "detail": detail,
            "linked_at_end": run.orphaned_at_s is None,
            "orphaned_ms": round(run.orphaned_s(now_s) * 1000),
        }
        if run.started_at_s is None:
            _LOGGER.log(level, "submission refused", extra=extra)
        else:
            extra["linked_at_start"] = run.linked_at_start
            _LOGGER.log(level, "submission ran", extra=extra)

    def record_limit(
        self, instance_id: str, before_per_s: float | None, limit_per_s: float | None
    ) -> None:
        """Logs that an instance names a limit, another one, or none any more.

        Args:
          instance_id: The instance.
          before_per_s: Limit before its last answer, None for none.
          limit_per_s: Limit after it, None for none.
        """
        if limit_per_s is None:
            if before_per_s is not None:
                self._logged_limit_per_s = None
                extra = {"instance": instance_id, "limit_per_s": before_per_s}
                _LOGGER.info("instance limit ended", extra=extra)
            return
        logged_per_s = self._logged_limit_per_s
        if logged_per_s is None or (
            abs(limit_per_s - logged_per_s) > LOGGED_LIMIT_CHANGE * logged_per_s
        ):
            self._logged_limit_per_s = limit_per_s
            extra = {"instance": instance_id, "limit_per_s": limit_per_s, "before": logged_per_s}
            _LOGGER.info("instance limit named", extra=extra)

    def record_leaving(self, instance_id: str) -> None:
        """Logs that the instance has said that it is about to end."""
        _LOGGER.info("instance leaving", extra={"instance": instance_id, "heard_from": "answer"})

    def record_replaced(self, instance_id: str) -> None:
        """Logs that another process answers at the address of the listed instance."""
        _LOGGER.info("instance replaced", extra={"instance": instance_id})

    def record_cold(
        self, instance_id: str, coldness: Coldness, is_cold: bool, bound: int | None, now_s: float
    ) -> None:
        """Logs that the instance becomes cold or warm for this node.

        Args:
          instance_id: The instance.
          coldness: What is known of it.
          is_cold: Whether it is or may be cold.
          bound: Requests that it tolerates in a second while it is cold, None for any number.
          now_s: Current time.
        """
        extra = {
            "instance": instance_id,
            "bound": bound,
            "doubt": str(coldness.doubt) if coldness.in_doubt else None,
            "doubt_age_ms": _age_ms(coldness.doubt_at_s, now_s),
            "source": str(coldness.source),
            "source_age_ms": _age_ms(coldness.heard_at_s, now_s),
            "cold_left_ms": max(0, _age_ms(now_s, coldness.cold_until_s) or 0),
        }
        _LOGGER.info("instance cold" if is_cold else "instance warm", extra=extra)

    def record_slow_start(
        self, instance_id: str, limit: int | None, slow_start: SlowStart, now_s: float
    ) -> None:
        """Logs that the limit after a start or recovery of the instance begins or ends.

        Args:
          instance_id: The instance.
          limit: Requests that it may run at once, None at the end.
          slow_start: The limit.
          now_s: Current time.
        """
        extra = {
            "instance": instance_id,
            "limit": limit,
            "slots": slow_start.slots,
            "usual_ms": round(slow_start.usual_s * 1000),
            "left_ms": _age_ms(now_s, slow_start.ends_at_s),
        }
        _LOGGER.info("slow start begun" if limit else "slow start ended", extra=extra)

    def record_orphan_cancelled(self, run: Run, now_s: float) -> None:
        """Logs that a run is cancelled because no peer resumed it in time."""
        extra = {
            "request_id": run.submit.request_id,
            "attempt": run.submit.attempt,
            "instance": run.submit.instance_id,
            "orphaned_ms": round(run.orphaned_s(now_s) * 1000),
        }
        _LOGGER.info("orphaned run cancelled", extra=extra)

    def record_crash(self, crash: Crash, now_s: float) -> None:
        """Logs that the instance crashed, and the runs that were open on it."""
        extra = {
            "instance": crash.instance.instance_id,
            "service": crash.instance.service,
            "runs": [
                {
                    "request_id": run.submit.request_id,
                    "attempt": run.submit.attempt,
                    "fingerprint": run.fingerprint.hex(),
                    "quarantined": run.quarantined,
                    "ran_ms": round((now_s - run.started_at_s) * 1000),
                }
                for run in crash.runs
            ],
        }
        _LOGGER.warning("instance crashed", extra=extra)


def _age_ms(since_s: float, now_s: float) -> int | None:
    """Returns a time since an instant in milliseconds, None if either is not known."""
    age_s = now_s - since_s
    return round(age_s * 1000) if math.isfinite(age_s) else None
