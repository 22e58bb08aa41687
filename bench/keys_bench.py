"""Keys that ran more than once, for several ways of choosing where a keyed call runs.

Hosts restart and are replaced, and cuts hide the list of instances from one side.
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
class Outcome:
    """Sums over all seeds."""

    twice: int
    false_not_run: int
    unknown_share: float


def measure(mode: object, hides_lists: bool) -> Outcome:
    """Runs one way of choosing over all seeds."""
    runs = [KeysSimulation(mode, hides_lists, Random(seed)) for seed in SEEDS]
    for run in runs:
        run.run()
    told = sum(sum(run.told.values()) for run in runs)
    return Outcome(
        twice=sum(run.twice() for run in runs),
        false_not_run=sum(run.false_not_run for run in runs),
        unknown_share=sum(run.told.get("unknown", 0) for run in runs) / told,
    )


def run() -> list[Measure]:
    """Measures all ways."""
    listed = measure(ListedAffinity(), False)
    listed_hidden = measure(ListedAffinity(), True)
    agreed_hidden = measure(ListedAffinity(agreed=True), True)
    period = measure(PeriodAffinity(), False)
    period_hidden = measure(PeriodAffinity(), True)
    none = measure(NoAffinity(), False)
    live = measure(LiveAffinity(), False)
    name = "keyed_executions_twice"
    false_not_run = listed.false_not_run + period.false_not_run + period_hidden.false_not_run
    return [
        Measure(name, listed.twice, "keys", at_most=0),
        Measure(f"{name}_period", period.twice, "keys", at_most=0),
        Measure(f"{name}_period_hidden_lists", period_hidden.twice, "keys", at_most=0),
        Measure(f"{name}_hidden_lists", listed_hidden.twice, "keys"),
        Measure(f"{name}_agreed_hidden_lists", agreed_hidden.twice, "keys"),
        Measure(f"{name}_no_affinity_baseline", none.twice, "keys"),
        Measure(f"{name}_live_affinity_baseline", live.twice, "keys"),
        Measure("keyed_unknown_share", listed.unknown_share, "x"),
        Measure("keyed_unknown_share_period", period.unknown_share, "x"),
        Measure("keyed_false_not_run", false_not_run, "calls", at_most=0),
    ]
