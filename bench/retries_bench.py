"""Retry amplification in a chain of seven services while the last one fails.

It is the number of attempts at the busiest layer per external call.  A failing service executes the
calls and answers 502; a refusing one answers not-run, and its refusals use no slot.
"""

from bench.measures import Measure
from bench.retries_sim import (
    FAILING,
    HEALTHY_CALLS,
    REFUSING,
    amplification,
    baseline_chain,
    production_chain,
)

MAX_AMPLIFICATION = 1.1
FAILING_CALLS = 5000
BASELINE_CALLS = 50  # Each causes 2 ** 7 attempts at the last layer.

MEASURES = (
    "retry_amplification",
    "retry_amplification_baseline",
    "retry_amplification_refusals",
    "retry_amplification_refusals_baseline",
)


def run() -> list[Measure]:
    """Measures failures and refusals."""
    failing = amplification(production_chain(), FAILING, HEALTHY_CALLS, FAILING_CALLS)
    refusing = amplification(production_chain(), REFUSING, HEALTHY_CALLS, FAILING_CALLS)
    failing_baseline = amplification(baseline_chain(), FAILING, 0, BASELINE_CALLS)
    refusing_baseline = amplification(baseline_chain(), REFUSING, 0, BASELINE_CALLS)
    return [
        Measure("retry_amplification", failing, "x", at_most=MAX_AMPLIFICATION),
        Measure("retry_amplification_baseline", failing_baseline, "x"),
        Measure("retry_amplification_refusals", refusing, "x", at_most=MAX_AMPLIFICATION),
        Measure("retry_amplification_refusals_baseline", refusing_baseline, "x"),
    ]
