"""Admission policies and orders within a rank that were weighed, on the service with most ranks."""

from bench.admission_bench import measure
from bench.admission_policies import EarliestDeadline, FairQueueing, NewestFirst, StrictPriority
from bench.admission_sim import heavy_tailed
from bench.measures import Measure
from ibisrack.calls.admission import Scheduler

SERVICE = "tienda"
SCHEDULERS = {
    "strict": lambda: Scheduler(1, StrictPriority()),
    "fair_queueing": lambda: Scheduler(1, FairQueueing()),
    "earliest_deadline": lambda: Scheduler(1, order=EarliestDeadline()),
    "newest_first": lambda: Scheduler(1, order=NewestFirst()),
}
_KINDS = ("urgent_p99_ratio", "urgent_goodput", "share_kept_ratio", "wasted_work_ratio")

MEASURES = tuple(f"{kind}_{name}_baseline" for name in SCHEDULERS for kind in _KINDS)


def run() -> list[Measure]:
    """Measures the policies that were not chosen."""
    measures = []
    for name, scheduler in SCHEDULERS.items():
        outcome = measure(SERVICE, scheduler, heavy_tailed, (1,))
        values = (outcome.p99_ratio, outcome.goodput, outcome.share_kept, outcome.wasted)
        for kind, value in zip(_KINDS, values, strict=True):
            measures.append(Measure(f"{kind}_{name}_baseline", value, "x"))
    return measures
