"""Latency under several load balancing strategies when a slow instance reports that it is idle."""

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


def _p99_ms(strategy: object) -> float:
    simulation = BalanceSimulation(strategy, Random(1))
    simulation.run()
    return simulation.p99_s() * 1000


def run() -> list[Measure]:
    """Measures all strategies; the users state no target for them."""
    strategies = (PowerOfTwo(), RandomChoice(), RoundRobin(), LeastInFlight())
    return [
        Measure(name, _p99_ms(strategy), "ms")
        for name, strategy in zip(MEASURES, strategies, strict=True)
    ]
