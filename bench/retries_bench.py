"""Retry amplification in calls seven deep while the last service fails.

Counted are attempts at the busiest layer for each call from outside.  A failing service runs the
calls and answers 502; a refusing one says not-run, and its refusals cost no slot.
"""

from bench.measures import Measure
from bench.retries_sim import (
    FAILING,
    HEALTHY_CALLS,
    REFUSING,
    amplification,
    baseline_chain,
    chosen_chain,
)

AMPLIFICATION_BOUND = 1.1
FAILING_CALLS = 5000
BASELINE_CALLS = 50  # Each makes 2 ** 7 attempts.

MEASURES = (
    "retry_amplification",
    "retry_amplification_baseline",
    "retry_amplification_refusals",
    "retry_amplification_refusals_baseline",
)


def run() -> list[Measure]:
    """Measures both kinds of faults."""
    failing = amplification(chosen_chain(), FAILING, HEALTHY_CALLS, FAILING_CALLS)
    refusing = amplification(chosen_chain(), REFUSING, HEALTHY_CALLS, FAILING_CALLS)
    failing_baseline = amplification(baseline_chain(), FAILING, 0, BASELINE_CALLS)
    refusing_baseline = amplification(baseline_chain(), REFUSING, 0, BASELINE_CALLS)
    return [
        Measure("retry_amplification", failing, "x", at_most=AMPLIFICATION_BOUND),
        Measure("retry_amplification_baseline", failing_baseline, "x"),
        Measure("retry_amplification_refusals", refusing, "x", at_most=AMPLIFICATION_BOUND),
        Measure("retry_amplification_refusals_baseline", refusing_baseline, "x"),
    ]
