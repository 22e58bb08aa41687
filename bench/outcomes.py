"""Compares what callers were told with what the upstream stand-ins recorded."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import attrs

from ibisrack.standins.caller import CallResult


@attrs.frozen
class ExecutionRecord:
    """One line of a stand-in: a call that started to run.

    Attributes:
      call_id: Identity of the call.
      started_wall_s: Start since the epoch.
      instance: Instance that ran it.
    """

    call_id: str
    started_wall_s: float
    instance: str


@attrs.frozen
class Verdict:
    """Broken promises of one run, with the call ids that show them.

    Attributes:
      executions_twice: Calls of the non-idempotent ranks that ran more than once.
      false_not_run: Calls told as not run that did run.
      wrong_answers: Answers of another call.
      truncated_as_whole: Answers that came as whole and are not.
      unknown: Calls of unknown outcome.
      wasted: Executions whose answer no caller got.
      executions: All executions.
      calls: All calls.
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
        """Share of executions whose answer no caller got."""
        return self.wasted / max(1, self.executions)


def read_records(path: Path) -> list[ExecutionRecord]:
    """Reads the record file of the stand-ins."""
    records = []
    for line in path.read_text().splitlines():
        call_id, started_wall_s, instance = line.split(" ")
        records.append(ExecutionRecord(call_id, float(started_wall_s), instance))
    return records


def judge(
    told: Iterable[CallResult],
    records: Iterable[ExecutionRecord],
    non_idempotent_ranks: frozenset[str],
) -> Verdict:
    """Returns the verdict over a run.

    Args:
      told: What callers were told, one item for each call.
      records: Every execution.
      non_idempotent_ranks: Ranks whose calls may run at most once.
    """
    told = tuple(told)
    runs = Counter(record.call_id for record in records)
    done = Counter(t.call_id for t in told if t.outcome == "done")
    by_outcome: dict[str, list[str]] = {}
    for item in told:
        by_outcome.setdefault(item.outcome, []).append(item.call_id)
    refused = [*by_outcome.get("not-run", ()), *by_outcome.get("not-sent", ())]
    return Verdict(
        executions_twice=tuple(
            t.call_id for t in told if t.rank in non_idempotent_ranks and runs[t.call_id] > 1
        ),
        false_not_run=tuple(call_id for call_id in refused if runs[call_id]),
        wrong_answers=tuple(by_outcome.get("wrong", ())),
        truncated_as_whole=tuple(by_outcome.get("truncated", ())),
        unknown=tuple(by_outcome.get("unknown", ())),
        wasted=sum(count - min(count, done[call_id]) for call_id, count in runs.items()),
        executions=sum(runs.values()),
        calls=len(told),
    )
