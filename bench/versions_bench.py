"""Violations of the invariants of configuration versions under faults.

The real decision objects are stepped without sockets, with a fixed seed.
"""

from collections.abc import Iterator
from itertools import combinations

from bench.measures import Measure
from ibisrack.node.lifecycle import SERVING
from ibisrack.testing.fault_injection import run_with_faults
from ibisrack.testing.fault_run import FaultRun
from ibisrack.testing.faults import FAULTS

MEASURES = (
    "regressions_applied",
    "dangling_routes",
    "partial_versions",
    "nodes_not_serving",
    "versions_tried",
    "node_steps_tried",
)
PAIR_STRIDE = 2  # Only every second pair of faults runs, to stay under a minute.
SEED = 1


def _runs() -> Iterator[FaultRun]:
    """Yields a run for each fault and for pairs of simultaneous faults."""
    pairs = list(combinations(FAULTS, 2))[::PAIR_STRIDE]
    for faults in (*((single,) for single in FAULTS), *pairs):
        yield run_with_faults(SEED, faults)


def _count_not_serving(run: FaultRun) -> int:
    nodes = (stepped.node for stepped in run.fleet.nodes.values())
    return sum(node.lifecycle.state != SERVING for node in nodes)


def run() -> list[Measure]:
    """Counts violations, versions and node steps over all runs."""
    totals = dict.fromkeys(MEASURES, 0)
    for run in _runs():
        totals["regressions_applied"] += run.checks.regressions
        totals["dangling_routes"] += run.checks.dangling_routes
        totals["partial_versions"] += run.checks.partial_versions
        totals["nodes_not_serving"] += _count_not_serving(run)
        totals["versions_tried"] += run.platform.published_count
        totals["node_steps_tried"] += run.fleet.node_steps
    violations = MEASURES[:4]
    return [
        Measure(name, total, "count", at_most=0 if name in violations else None)
        for name, total in totals.items()
    ]
