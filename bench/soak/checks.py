"""Checks of the promises on a history; each returns the violations of one promise."""

from collections.abc import Callable, Iterator

import attrs

from bench.sidecars import GRACE_S
from bench.soak.bounds import (
    CONFIG_APPLY_S,
    DEADLY_CRASHES,
    DEADLY_RETRIES,
    DRAIN_MARGIN_S,
    DRAIN_S,
    EVACUATE_S,
    LATE_STOP_REQUEST_S,
    LIMIT_MARGIN_S,
    LOSS_SLACK_S,
    RECOVER_S,
    ROLLBACK_SLACK_S,
    STABLE_WINDOW_S,
)
from bench.soak.history import (
    VERSION_PATH,
    Failure,
    History,
    Kind,
    Outcome,
    Request,
    Run,
    VersionProbe,
)
from bench.soak.limit_check import limit_exceeded
from ibisrack.standins.instance import RequestContent

PROMISED_NOT_RUN = frozenset((408, 421, 429, 503))
FAULTS = frozenset((Kind.UNPLANNED,))
ANY_FAULT = frozenset((Kind.UNPLANNED, Kind.STORE))
ANY_DISTURBANCE = frozenset(Kind)


@attrs.frozen
class Violation:
    """A broken promise.

    Attributes:
      promise: Name of the check.
      subject: Request id, instance id or name of the sidecar.
    """

    promise: str
    subject: str


def non_idempotent_runs_twice(history: History) -> Iterator[str]:
    """Yields non-idempotent requests that ran more than once."""
    for request_id, runs in history.runs_by_id().items():
        request = history.requests.get(request_id)
        if request is not None and not request.idempotent and len(runs) > 1:
            yield request_id


def refused_but_ran(history: History) -> Iterator[str]:
    """Yields requests answered as not run that ran, before or after the answer."""
    runs = history.runs_by_id()
    for outcome in history.outcomes:
        refused = outcome.failure is None and outcome.status in PROMISED_NOT_RUN
        if refused and outcome.request_id in runs:
            yield outcome.request_id


def wrong_answer(history: History) -> Iterator[str]:
    """Yields requests whose answer is not the complete answer of an instance that ran them."""
    runs = history.runs_by_id()
    for outcome in history.outcomes:
        if outcome.failure is None and _is_wrong(outcome, runs.get(outcome.request_id, [])):
            yield outcome.request_id


def _is_wrong(outcome: Outcome, runs: list[Run]) -> bool:
    if outcome.echoed_id != outcome.request_id:
        return True
    if not outcome.signature:
        return outcome.status < 300
    given = (outcome.status, outcome.signature, outcome.body_digest)
    return all((run.status, run.signature, run.body_digest) != given for run in runs)


def unsent_request_ran(history: History) -> Iterator[str]:
    """Yields executions of requests that no caller sent, or not in this form."""
    for run in history.runs:
        request = history.requests.get(run.request_id)
        received = (run.path, run.request_digest)
        if request is None or (request.path, request.body_digest) != received:
            yield run.request_id


def cut_without_fault(history: History) -> Iterator[str]:
    """Yields requests that were read but not answered although no unplanned fault excuses it.

    Planned stops, configuration changes and failures of the store excuse nothing.
    """
    runs = history.runs_by_id()
    for outcome in history.outcomes:
        request = history.requests[outcome.request_id]
        if _is_cut(request, outcome, runs.get(request.request_id, []), history):
            yield request.request_id


def _is_cut(request: Request, outcome: Outcome, runs: list[Run], history: History) -> bool:
    closed = outcome.failure in (Failure.CLOSED, Failure.CUT)
    replaced = outcome.failure is None and outcome.status >= 500 and not outcome.signature
    taken_s = outcome.at_s - request.sent_at_s
    if not (closed or replaced) or taken_s >= request.limit_s - LIMIT_MARGIN_S:
        return False
    if any(run.broke_off or _crashed_meanwhile(run, outcome, history) for run in runs):
        return False
    if outcome.status == 503 or not (runs or (closed and taken_s > LOSS_SLACK_S)):
        return False
    nodes = frozenset((request.node, *(run.node for run in runs)))
    if history.is_disturbed(FAULTS, nodes, request.sent_at_s - STABLE_WINDOW_S, outcome.at_s):
        return False
    return not _ends_with_stop(request, outcome, nodes, history)


def _crashed_meanwhile(run: Run, outcome: Outcome, history: History) -> bool:
    """Returns whether the instance crashed between the start of a run and the outcome."""
    return any(
        crash.instance_id == run.instance_id and run.started_at_s <= crash.at_s <= outcome.at_s
        for crash in history.crashes
    )


def _ends_with_stop(
    request: Request, outcome: Outcome, nodes: frozenset[int], history: History
) -> bool:
    """Returns whether a request was still running in the last sixth of a stop's grace."""
    return any(
        d.stops_process
        and d.nodes & nodes
        and request.sent_at_s <= d.started_at_s + LATE_STOP_REQUEST_S
        and d.started_at_s + GRACE_S * 5 / 6 <= outcome.at_s <= d.ended_at_s
        for d in history.disturbances
    )


def draining_instance_got_work(history: History) -> Iterator[str]:
    """Yields requests that started at an instance after its drain time."""
    for drain in history.drains:
        last_s = drain.acknowledged_at_s + DRAIN_S + DRAIN_MARGIN_S
        for run in history.runs:
            if run.instance_id != drain.instance_id or run.started_at_s <= last_s:
                continue
            request = history.requests.get(run.request_id)
            nodes = frozenset((drain.node, request.node if request else drain.node))
            from_s = drain.acknowledged_at_s - STABLE_WINDOW_S
            if not history.is_disturbed(ANY_FAULT, nodes, from_s, run.started_at_s):
                yield run.request_id


def evacuated_zone_got_work(history: History) -> Iterator[str]:
    """Yields requests that started in a zone after the time to evacuate it.

    Only faults that touched the sidecar which sent the request excuse it.
    """
    for evacuation in history.evacuations:
        from_s = evacuation.acknowledged_at_s + EVACUATE_S
        for run in history.runs:
            in_zone = run.node in evacuation.nodes
            if not in_zone or not from_s < run.started_at_s < evacuation.ended_at_s:
                continue
            request = history.requests.get(run.request_id)
            nodes = frozenset((request.node if request else run.node,))
            since_s = evacuation.acknowledged_at_s - STABLE_WINDOW_S
            if not history.is_disturbed(ANY_FAULT, nodes, since_s, run.started_at_s):
                yield run.request_id


def deadly_request_passed_on(history: History) -> Iterator[str]:
    """Yields requests that still reach instances after they have crashed three of them."""
    crashed_at_s: dict[RequestContent, list[float]] = {}
    for crash in history.crashes:
        content = history.requests[crash.request_id].content
        crashed_at_s.setdefault(content, []).append(crash.at_s)
    for content, times_s in crashed_at_s.items():
        if len(times_s) < DEADLY_CRASHES:
            continue
        from_s = sorted(times_s)[DEADLY_CRASHES - 1] + STABLE_WINDOW_S
        late = [run for run in history.runs if _was_passed_on(content, from_s, run, history)]
        if len(late) > DEADLY_RETRIES:
            yield content.path


def _was_passed_on(content: RequestContent, from_s: float, run: Run, history: History) -> bool:
    """Returns whether a sidecar in touch passed a request on to an instance after a time."""
    request = history.requests.get(run.request_id)
    if request is None or request.content != content or run.started_at_s <= from_s:
        return False
    nodes, since_s = frozenset((request.node,)), run.started_at_s - STABLE_WINDOW_S
    return not any(
        (d.kind is Kind.UNPLANNED or d.stops_process)
        and d.affects(nodes, since_s, run.started_at_s)
        for d in history.disturbances
    )


def innocent_turned_away(history: History) -> Iterator[str]:
    """Yields requests that never crashed an instance but got a final refusal of a sidecar."""
    deadly = {history.requests[crash.request_id].content for crash in history.crashes}
    for outcome in history.outcomes:
        refused = outcome.failure is None and not outcome.signature
        final = 300 <= outcome.status < 500 and outcome.status not in PROMISED_NOT_RUN
        request = history.requests[outcome.request_id]
        unknown_route = outcome.status == 404 and request.path.startswith(VERSION_PATH)
        if refused and final and not unknown_route and request.content not in deadly:
            yield outcome.request_id


def version_went_back(history: History) -> Iterator[str]:
    """Yields sidecars that lost a route of a version that they had applied before."""
    applied: dict[tuple[int, int], list[VersionProbe]] = {}
    for probe in sorted(history.probes, key=lambda p: p.at_s):
        earlier = applied.setdefault((probe.node, probe.incarnation), [])
        if probe.status != 404:
            if probe.status == 200:
                earlier.append(probe)
        elif any(
            p.version >= probe.version and p.at_s + ROLLBACK_SLACK_S < probe.sent_at_s
            for p in earlier
        ):
            yield f"sidecar-{probe.node}:v{probe.version}"


def version_late(history: History) -> Iterator[str]:
    """Yields undisturbed sidecars that lack a version after the time to apply it."""
    for probe in history.probes:
        accepted_at_s = history.versions[probe.version]
        if probe.status != 404 or probe.sent_at_s <= accepted_at_s + CONFIG_APPLY_S:
            continue
        nodes, from_s = frozenset((probe.node,)), accepted_at_s - STABLE_WINDOW_S
        if not history.is_disturbed(ANY_FAULT, nodes, from_s, probe.sent_at_s):
            yield f"sidecar-{probe.node}:v{probe.version}"


def not_recovered(history: History) -> Iterator[str]:
    """Yields sidecars that did not serve again in time after the last fault."""
    for recovery in history.recoveries:
        if recovery.serves_after_s is None or recovery.serves_after_s > RECOVER_S:
            yield f"sidecar-{recovery.node}"


def process_ended_by_itself(history: History) -> Iterator[str]:
    """Yields sidecars whose process ended although the soak had not stopped it."""
    for process_exit in history.exits:
        yield f"sidecar-{process_exit.node}:status{process_exit.status}"


CHECKS: tuple[Callable[[History], Iterator[str]], ...] = (
    non_idempotent_runs_twice,
    refused_but_ran,
    wrong_answer,
    unsent_request_ran,
    cut_without_fault,
    draining_instance_got_work,
    evacuated_zone_got_work,
    limit_exceeded,
    version_went_back,
    version_late,
    deadly_request_passed_on,
    innocent_turned_away,
    not_recovered,
    process_ended_by_itself,
)


def find_violations(history: History) -> list[Violation]:
    """Runs all checks; returns each violation once."""
    return [
        Violation(check.__name__, subject)
        for check in CHECKS
        for subject in dict.fromkeys(check(history))
    ]
