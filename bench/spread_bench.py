"""Spread of one changed line of a 250-service file to 1,300 nodes.

Real decision objects are stepped without sockets; every run has a fixed seed.
"""

from bench.measures import Measure
from ibisrack.testing.fixtures import PILBARA_RULES, many_services_rules
from ibisrack.testing.version_propagation import (
    ROUND_S,
    Propagation,
    create_propagation_fleet,
    propagate,
)

MEASURES = (
    "rounds_to_converge_1300",
    "rounds_to_converge_1300_tenth_dead",
    "spread_bytes_per_change",
    "full_value_bytes_per_change",
)
CONVERGENCE_BOUND_S = 12.0
NODES = 1300
ZONES = 12
BASELINE_NODES = 130  # Whole values take too long to parse on 1,300 nodes.
SEED = 1


def _edited(rules: bytes) -> bytes:
    """Returns the rules with one line changed."""
    old = b"share_percent=40  # Mei Tan: urgent work of service-0100"
    return rules.replace(old, old.replace(b"=40", b"=41"))


def _spread(held: bytes, nodes: int = NODES, dead_share: float = 0.0) -> Propagation:
    fleet = create_propagation_fleet(nodes, ZONES, held, SEED)
    return propagate(fleet, _edited(many_services_rules(250)), dead_share)


def run() -> list[Measure]:
    """Measures the rounds and the bytes."""
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
