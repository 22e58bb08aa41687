"""Check of the limits that instances name in their answers."""

import math
from bisect import bisect_right
from collections.abc import Iterator

from bench.soak.bounds import STABLE_WINDOW_S
from bench.soak.history import History, Kind, Limit, Request, Run

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
TOLD_S = 0.5  # A sidecar is held to a limit this long after it passed it on.


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
