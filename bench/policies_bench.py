"""Admission policies and orders within a rank that were weighed, on the service with most ranks."""

from bench.admission_bench import GOODPUT_BOUND, P99_RATIO_BOUND, chosen, measure
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

# Urgent demand of one and a half shares; with the other ranks and bulk's share it fits the slots.
ABOVE_SHARE_DEMAND = 0.45
SEEDS = (1, 2, 3)  # The 99th percentile near saturation varies much from run to run.

MEASURES = (
    "urgent_p99_ratio_above_share",
    "urgent_goodput_above_share",
    "urgent_p99_ratio_above_share_fair_queueing_baseline",
    "urgent_goodput_above_share_fair_queueing_baseline",
    *(f"{kind}_{name}_baseline" for name in SCHEDULERS for kind in _KINDS),
)


def run() -> list[Measure]:
    """Measures the policies that were not chosen."""
    measures = _above_share()
    for name, scheduler in SCHEDULERS.items():
        outcome = measure(SERVICE, scheduler, heavy_tailed, (1,))
        values = (outcome.p99_ratio, outcome.goodput, outcome.share_kept, outcome.wasted)
        for kind, value in zip(_KINDS, values, strict=True):
            measures.append(Measure(f"{kind}_{name}_baseline", value, "x"))
    return measures


def _above_share() -> list[Measure]:
    demand = ABOVE_SHARE_DEMAND
    own = measure(SERVICE, chosen, heavy_tailed, SEEDS, demand)
    fair = measure(SERVICE, SCHEDULERS["fair_queueing"], heavy_tailed, SEEDS, demand)
    p99, goodput = "urgent_p99_ratio_above_share", "urgent_goodput_above_share"
    return [
        Measure(p99, own.p99_ratio, "x", at_most=P99_RATIO_BOUND),
        Measure(goodput, own.goodput, "x", at_least=GOODPUT_BOUND),
        Measure(f"{p99}_fair_queueing_baseline", fair.p99_ratio, "x"),
        Measure(f"{goodput}_fair_queueing_baseline", fair.goodput, "x"),
    ]
