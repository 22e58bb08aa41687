"""Keys executed more than once under several strategies that choose the home of a key.

Hosts restart and are replaced.  In the runs with hidden lists, partitions also hide new lists of
instances from one side.
"""

from random import Random

import attrs

from bench.keys_sim import (
    KeysSimulation,
    ListedAffinity,
    LiveAffinity,
    NoAffinity,
    PeriodAffinity,
)
from bench.measures import Measure
from ibisrack.calls.outcomes import Outcome

SEEDS = range(4)

MEASURES = (
    "keyed_executions_twice",
    "keyed_executions_twice_period",
    "keyed_executions_twice_period_hidden_lists",
    "keyed_executions_twice_hidden_lists",
    "keyed_executions_twice_agreed_hidden_lists",
    "keyed_executions_twice_no_affinity_baseline",
    "keyed_executions_twice_live_affinity_baseline",
    "keyed_unknown_share",
    "keyed_unknown_share_period",
    "keyed_false_not_run",
)


@attrs.frozen
class StrategyResult:
    """Results of one strategy over all seeds.

    Attributes:
      executed_twice: Number of keys that were executed more than once.
      false_not_run: Number of calls reported as not run although their key was executed.
      unknown_share: Share of the keys whose last reported outcome is unknown.
    """

    executed_twice: int
    false_not_run: int
    unknown_share: float


def simulate_strategy(strategy: object, partitions_hide_lists: bool) -> StrategyResult:
    """Simulates one strategy with every seed."""
    simulations = [KeysSimulation(strategy, partitions_hide_lists, Random(seed)) for seed in SEEDS]
    for simulation in simulations:
        simulation.run()
    reported = sum(sum(simulation.final_outcomes.values()) for simulation in simulations)
    return StrategyResult(
        executed_twice=sum(simulation.keys_executed_twice() for simulation in simulations),
        false_not_run=sum(simulation.false_not_run for simulation in simulations),
        unknown_share=sum(s.final_outcomes.get(Outcome.UNKNOWN, 0) for s in simulations) / reported,
    )


def run() -> list[Measure]:
    """Measures all strategies."""
    listed = simulate_strategy(ListedAffinity(), False)
    listed_hidden = simulate_strategy(ListedAffinity(), True)
    agreed_hidden = simulate_strategy(ListedAffinity(agreed=True), True)
    period = simulate_strategy(PeriodAffinity(), False)
    period_hidden = simulate_strategy(PeriodAffinity(), True)
    none = simulate_strategy(NoAffinity(), False)
    live = simulate_strategy(LiveAffinity(), False)
    name = "keyed_executions_twice"
    false_not_run = listed.false_not_run + period.false_not_run + period_hidden.false_not_run
    return [
        Measure(name, listed.executed_twice, "keys", at_most=0),
        Measure(f"{name}_period", period.executed_twice, "keys", at_most=0),
        Measure(f"{name}_period_hidden_lists", period_hidden.executed_twice, "keys", at_most=0),
        Measure(f"{name}_hidden_lists", listed_hidden.executed_twice, "keys"),
        Measure(f"{name}_agreed_hidden_lists", agreed_hidden.executed_twice, "keys"),
        Measure(f"{name}_no_affinity_baseline", none.executed_twice, "keys"),
        Measure(f"{name}_live_affinity_baseline", live.executed_twice, "keys"),
        Measure("keyed_unknown_share", listed.unknown_share, "x"),
        Measure("keyed_unknown_share_period", period.unknown_share, "x"),
        Measure("keyed_false_not_run", false_not_run, "calls", at_most=0),
    ]
