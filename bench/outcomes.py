"""Compares the outcomes that callers saw with the executions that the upstreams recorded."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import attrs

from ibisrack.standins.caller import CallResult


@attrs.frozen
class ExecutionRecord:
    """One execution of a call, as recorded by an upstream stand-in.

    Attributes:
      call_id: Id of the call.
      started_wall_s: Start time in seconds since the epoch.
      instance: Instance that ran the call.
    """

    call_id: str
    started_wall_s: float
    instance: str


@attrs.frozen
class OutcomeSummary:
    """Violated guarantees of one run, as call ids, and counts of its calls.

    Attributes:
      executions_twice: Calls of the non-idempotent ranks that ran more than once.
      false_not_run: Calls reported as not run that did run.
      wrong_answers: Calls that got the response of another call.
      truncated_as_whole: Calls whose response was truncated but delivered as complete.
      unknown: Calls of unknown outcome.
      wasted: Number of executions whose response reached no caller.
      executions: Number of executions.
      calls: Number of calls.
    """

    executions_twice: tuple[str, ...]
    false_not_run: tuple[str, ...]
    wrong_answers: tuple[str, ...]
    truncated_as_whole: tuple[str, ...]
    unknown: tuple[str, ...]
    wasted: int
    executions: int
    calls: int

    @property
    def wasted_ratio(self) -> float:
        """Fraction of the executions whose response reached no caller."""
        return self.wasted / max(1, self.executions)


def read_records(path: Path) -> list[ExecutionRecord]:
    """Reads the record file that all upstream stand-ins append to."""
    records = []
    for line in path.read_text().splitlines():
        call_id, started_wall_s, instance = line.split(" ")
        records.append(ExecutionRecord(call_id, float(started_wall_s), instance))
    return records


def summarize_outcomes(
    calls: Iterable[CallResult],
    records: Iterable[ExecutionRecord],
    non_idempotent_ranks: frozenset[str],
) -> OutcomeSummary:
    """Checks the guarantees to callers over one run.

    Args:
      calls: Result of each call as its caller observed it.
      records: Every execution.
      non_idempotent_ranks: Ranks whose calls may run at most once.
    """
    calls = tuple(calls)
    execution_counts = Counter(record.call_id for record in records)
    done_counts = Counter(call.call_id for call in calls if call.outcome == "done")
    by_outcome: dict[str, list[str]] = {}
    for call in calls:
        by_outcome.setdefault(call.outcome, []).append(call.call_id)
    reported_not_run = [*by_outcome.get("not-run", ()), *by_outcome.get("not-sent", ())]
    return OutcomeSummary(
        executions_twice=tuple(
            call.call_id
            for call in calls
            if call.rank in non_idempotent_ranks and execution_counts[call.call_id] > 1
        ),
        false_not_run=tuple(call_id for call_id in reported_not_run if execution_counts[call_id]),
        wrong_answers=tuple(by_outcome.get("wrong", ())),
        truncated_as_whole=tuple(by_outcome.get("truncated", ())),
        unknown=tuple(by_outcome.get("unknown", ())),
        wasted=sum(
            count - min(count, done_counts[call_id]) for call_id, count in execution_counts.items()
        ),
        executions=sum(execution_counts.values()),
        calls=len(calls),
    )
