"""Propagation of one changed line of a rules file with 250 services to 1,300 nodes.

The real decision objects are stepped without sockets, with a fixed seed.
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
MAX_CONVERGENCE_S = 12.0
NODES = 1300
ZONES = 12
BASELINE_NODES = 130  # Parsing whole values on 1,300 nodes takes too long.
SEED = 1


def _change_one_line(rules: bytes) -> bytes:
    """Returns the rules with one line changed."""
    old = b"share_percent=40  # Mei Tan: urgent work of service-0100"
    return rules.replace(old, old.replace(b"=40", b"=41"))


def _propagate_change(held: bytes, nodes: int = NODES, dead_share: float = 0.0) -> Propagation:
    fleet = create_propagation_fleet(nodes, ZONES, held, SEED)
    return propagate(fleet, _change_one_line(many_services_rules(250)), dead_share)


def run() -> list[Measure]:
    """Measures rounds to convergence and bytes sent."""
    rules = many_services_rules(250)
    all_alive = _propagate_change(rules)
    tenth_dead = _propagate_change(rules, dead_share=0.1)
    # The small file has no chunk of the large one, so every chunk is sent.
    full_value = _propagate_change(PILBARA_RULES, BASELINE_NODES)
    bound = MAX_CONVERGENCE_S / ROUND_S
    return [
        Measure("rounds_to_converge_1300", all_alive.rounds, "rounds", at_most=bound),
        Measure("rounds_to_converge_1300_tenth_dead", tenth_dead.rounds, "rounds", at_most=bound),
        Measure("spread_bytes_per_change", all_alive.bytes_per_node, "B/node"),
        Measure("full_value_bytes_per_change", full_value.bytes_per_node, "B/node"),
    ]
