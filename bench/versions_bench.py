"""Versions under failures, and the spread of one version to 1,300 nodes.

Real decision objects are stepped without sockets; every run has a fixed seed.
"""

from collections.abc import Iterator
from itertools import combinations

from bench.measures import Measure
from ibisrack.node.lifecycle import SERVING
from ibisrack.testing.adversity import ADVERSITIES, Run, adverse_run
from ibisrack.testing.fixtures import PILBARA_RULES, many_services_rules
from ibisrack.testing.spreading import ROUND_S, Spread, create_spread, spread

MEASURES = (
    "regressions_applied",
    "dangling_routes",
    "partial_versions",
    "nodes_not_serving",
    "versions_tried",
    "node_steps_tried",
    "rounds_to_converge_1300",
    "rounds_to_converge_1300_tenth_dead",
    "spread_bytes_per_change",
    "full_value_bytes_per_change",
)
CONVERGENCE_BOUND_S = 12.0
NODES = 1300
ZONES = 12
BASELINE_NODES = 130  # Whole values take too long to parse on 1,300 nodes.
PAIR_STRIDE = 2  # Every second pair of failures, which keeps the runs under a minute.
SEED = 1


def _runs() -> Iterator[Run]:
    """Yields a run for each failure and for pairs of failures at once."""
    pairs = list(combinations(ADVERSITIES, 2))[::PAIR_STRIDE]
    for adversities in (*((single,) for single in ADVERSITIES), *pairs):
        yield adverse_run(SEED, adversities)


def _not_serving(run: Run) -> int:
    nodes = (stepped.node for stepped in run.fleet.nodes.values())
    return sum(node.lifecycle.state != SERVING for node in nodes)


def _invariants() -> list[Measure]:
    totals = dict.fromkeys(MEASURES[:6], 0)
    for run in _runs():
        totals["regressions_applied"] += run.checks.regressions
        totals["dangling_routes"] += run.checks.dangling
        totals["partial_versions"] += run.checks.partial
        totals["nodes_not_serving"] += _not_serving(run)
        totals["versions_tried"] += run.platform.published_count
        totals["node_steps_tried"] += run.fleet.node_steps
    bounded = MEASURES[:4]
    return [
        Measure(name, total, "count", at_most=0 if name in bounded else None)
        for name, total in totals.items()
    ]


def _edited(rules: bytes) -> bytes:
    """Returns the rules with one line changed."""
    old = b"share_percent=40  # Mei Tan: urgent work of service-0100"
    return rules.replace(old, old.replace(b"=40", b"=41"))


def _spread(held: bytes, nodes: int = NODES, dead_share: float = 0.0) -> Spread:
    fleet = create_spread(nodes, ZONES, held, SEED)
    return spread(fleet, _edited(many_services_rules(250)), dead_share)


def _spreading() -> list[Measure]:
    rules = many_services_rules(250)
    whole = _spread(rules)
    tenth_dead = _spread(rules, dead_share=0.1)
    # No chunk of the small file occurs in the large one, so every chunk is delivered.
    full = _spread(PILBARA_RULES, BASELINE_NODES)
    bound = CONVERGENCE_BOUND_S / ROUND_S
    return [
        Measure("rounds_to_converge_1300", whole.rounds, "rounds", at_most=bound),
        Measure("rounds_to_converge_1300_tenth_dead", tenth_dead.rounds, "rounds", at_most=bound),
        Measure("spread_bytes_per_change", whole.bytes_per_node, "B/node"),
        Measure("full_value_bytes_per_change", full.bytes_per_node, "B/node"),
    ]


def run() -> list[Measure]:
    """Measures the invariants and the spread."""
    return [*_invariants(), *_spreading()]
