"""Time to an answer for several ways of choosing the instance, one of them slow and misleading."""

from random import Random

from bench.balance_sim import (
    BalanceSimulation,
    LeastInFlight,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
)
from bench.measures import Measure

MEASURES = (
    "balance_p99_ms",
    "balance_p99_ms_random_baseline",
    "balance_p99_ms_round_robin_baseline",
    "balance_p99_ms_least_in_flight_baseline",
)


def _p99_ms(way: object) -> float:
    simulation = BalanceSimulation(way, Random(1))
    simulation.run()
    return simulation.p99_s() * 1000


def run() -> list[Measure]:
    """Measures all ways; no target is given for them."""
    ways = (PowerOfTwo(), RandomChoice(), RoundRobin(), LeastInFlight())
    return [Measure(name, _p99_ms(way), "ms") for name, way in zip(MEASURES, ways, strict=True)]
