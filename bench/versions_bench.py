"""Invariants of versions under failures.

Real decision objects are stepped without sockets; every run has a fixed seed.
"""

from collections.abc import Iterator
from itertools import combinations

from bench.measures import Measure
from ibisrack.node.lifecycle import SERVING
from ibisrack.testing.fault_injection import FAULTS, FaultRun, run_with_faults

MEASURES = (
    "regressions_applied",
    "dangling_routes",
    "partial_versions",
    "nodes_not_serving",
    "versions_tried",
    "node_steps_tried",
)
PAIR_STRIDE = 2  # Every second pair of failures, which keeps the runs under a minute.
SEED = 1


def _runs() -> Iterator[FaultRun]:
    """Yields a run for each failure and for pairs of failures at once."""
    pairs = list(combinations(FAULTS, 2))[::PAIR_STRIDE]
    for adversities in (*((single,) for single in FAULTS), *pairs):
        yield run_with_faults(SEED, adversities)


def _not_serving(run: FaultRun) -> int:
    nodes = (stepped.node for stepped in run.fleet.nodes.values())
    return sum(node.lifecycle.state != SERVING for node in nodes)


def run() -> list[Measure]:
    """Measures the invariants."""
    totals = dict.fromkeys(MEASURES, 0)
    for run in _runs():
        totals["regressions_applied"] += run.checks.regressions
        totals["dangling_routes"] += run.checks.dangling_routes
        totals["partial_versions"] += run.checks.partial_versions
        totals["nodes_not_serving"] += _not_serving(run)
        totals["versions_tried"] += run.platform.published_count
        totals["node_steps_tried"] += run.fleet.node_steps
    bounded = MEASURES[:4]
    return [
        Measure(name, total, "count", at_most=0 if name in bounded else None)
        for name, total in totals.items()
    ]
