"""Checks of the promises on a history; each returns the violations of one promise."""

import math
from bisect import bisect_right
from collections.abc import Callable, Iterator

import attrs

from bench.sidecars import GRACE_S
from bench.soak.history import Failure, History, Kind, Limit, Outcome, Request, Run, VersionProbe

# Bounds from the users' pages.
STABLE_WINDOW_S = 3.0  # A sidecar counts as undisturbed this long after a fault.
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
ROLLBACK_SLACK_S = 0.25
RECOVER_S = 15.0
LOSS_SLACK_S = 0.2  # A request that crosses the close of its connection was not read.
LATE_STOP_REQUEST_S = 3.0  # Requests this long after SIGTERM may be cut near the end of the grace.

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
TOLD_S = 0.5  # A sidecar is held to a limit this long after it passed it on.

DRAIN_MARGIN_S = 0.5  # Time for requests on their way when the drain time ends.
LIMIT_MARGIN_S = 0.25  # A failure this close to the request's limit is its timeout.
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
    if any(run.broke_off for run in runs):
        return False
    if outcome.status == 503 or not (runs or (closed and taken_s > LOSS_SLACK_S)):
        return False
    nodes = frozenset((request.node, *(run.node for run in runs)))
    if history.is_disturbed(FAULTS, nodes, request.sent_at_s - STABLE_WINDOW_S, outcome.at_s):
        return False
    return not _ends_with_stop(request, outcome, nodes, history)


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


def limit_exceeded(history: History) -> Iterator[str]:
    """Yields instances that got more requests than the limit that they had named allows."""
    for limit in history.limits:
        allowed = LIMIT_FACTOR * limit.limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        starts_s = sorted(run.started_at_s for run in _counted_runs(limit, history))
        for number, first_s in enumerate(starts_s):
            if bisect_right(starts_s, first_s + LIMIT_WINDOW_S) - number > allowed:
                yield limit.instance_id
                break


def _counted_runs(limit: Limit, history: History) -> Iterator[Run]:
    """Yields the runs for undisturbed sidecars that had passed on the limit before."""
    from_s, told_at_s = limit.started_at_s + STABLE_WINDOW_S, _first_told_at_s(limit, history)
    for run in history.runs:
        request = history.requests.get(run.request_id)
        if run.instance_id != limit.instance_id or request is None:
            continue
        held_from_s = max(from_s, told_at_s.get(request.node, math.inf) + TOLD_S)
        if held_from_s <= run.started_at_s <= limit.ended_at_s and not _is_excused_from_limit(
            request, run, limit, history
        ):
            yield run


def _first_told_at_s(limit: Limit, history: History) -> dict[int, float]:
    """Returns for each sidecar the start of its first request whose answer named the limit."""
    told_at_s: dict[int, float] = {}
    for run in history.runs:
        request = history.requests.get(run.request_id)
        answered = run.instance_id == limit.instance_id and run.status
        if answered and request is not None and limit.started_at_s <= run.started_at_s:
            earliest_s = told_at_s.get(request.node, math.inf)
            told_at_s[request.node] = min(earliest_s, run.started_at_s)
    return told_at_s


def _is_excused_from_limit(request: Request, run: Run, limit: Limit, history: History) -> bool:
    nodes = frozenset((request.node,))
    return any(
        (d.kind is Kind.UNPLANNED or d.stops_process)
        and d.affects(nodes, limit.started_at_s, run.started_at_s)
        for d in history.disturbances
    )


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
    limit_exceeded,
    version_went_back,
    version_late,
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
