"""Chooses the faults of a run from its seed: bursts of faults that overlap."""

from collections.abc import Callable
from random import Random

import attrs

from bench.soak.faults import (
    BlockPaths,
    ChangeConfiguration,
    DelayPaths,
    FailStore,
    Fault,
    ForgetHistory,
    HangUp,
    KillProcess,
    LimitInstance,
    PauseProcess,
    ReplaceInstance,
    ResetLink,
    RestoreStore,
    StopProcess,
)
from ibisrack.testing.tcp_proxy import STORE, Ends

FIRST_BURST_S = 1.0
PAUSE_BETWEEN_BURSTS_S = (1.0, 3.5)
BURST_S = 2.0  # The faults of a burst start within this time.
DURATION_S = (0.2, 4.0)

Choice = Callable[[Random, range], Fault]


@attrs.frozen
class TimedFault:
    """A fault and its start, in seconds after the start of the run."""

    at_s: float
    fault: Fault


def _pair(rng: Random, nodes: range) -> Ends:
    source, target = rng.sample(nodes, 2)
    return source, target


def _store_ends(rng: Random, nodes: range) -> tuple[Ends, ...]:
    return tuple((node, STORE) for node in rng.sample(nodes, rng.randint(1, len(nodes))))


def _stop(rng: Random, nodes: range) -> Fault:
    signals = rng.choice((1, 1, 2, 3))
    return StopProcess(rng.choice(nodes), signals, rng.uniform(0.0, 1.5), rng.uniform(0.0, 1.0))


def _change_configuration(rng: Random, nodes: range) -> Fault:
    return ChangeConfiguration(rng.randint(1, 4), rng.uniform(0.05, 1.1))


def _block_link(rng: Random, nodes: range) -> Fault:
    ends = _pair(rng, nodes)
    both_ways = rng.random() < 0.5
    return BlockPaths((ends, ends[::-1]) if both_ways else (ends,), rng.uniform(*DURATION_S))


def _block_store(rng: Random, nodes: range) -> Fault:
    ends = _store_ends(rng, nodes)
    return BlockPaths((*ends, *(e[::-1] for e in ends)), rng.uniform(*DURATION_S))


PLANNED: tuple[Choice, ...] = (
    _stop,
    _stop,
    lambda rng, nodes: HangUp(rng.choice(nodes), rng.randint(1, 4), rng.uniform(0.02, 0.6)),
    _change_configuration,
    _change_configuration,
    lambda rng, nodes: ReplaceInstance(rng.choice(nodes), rng.uniform(0.5, 2.0)),
)
STORE_FAULTS: tuple[Choice, ...] = (
    lambda rng, nodes: FailStore(rng.choice((0, 429, 503)), rng.uniform(*DURATION_S)),
    lambda rng, nodes: DelayPaths(
        _store_ends(rng, nodes), rng.uniform(0.1, 2.0), rng.uniform(*DURATION_S)
    ),
    _block_store,
    lambda rng, nodes: ForgetHistory(),
)
UNPLANNED: tuple[Choice, ...] = (
    lambda rng, nodes: KillProcess(rng.choice(nodes), rng.uniform(0.0, 1.5)),
    lambda rng, nodes: PauseProcess(rng.choice(nodes), rng.uniform(*DURATION_S)),
    lambda rng, nodes: DelayPaths(
        (_pair(rng, nodes),), rng.uniform(0.02, 1.0), rng.uniform(*DURATION_S)
    ),
    _block_link,
    _block_link,
    lambda rng, nodes: ResetLink(_pair(rng, nodes), rng.randint(1, 5), rng.uniform(0.01, 0.4)),
)
BURSTS: tuple[tuple[Choice, ...], ...] = (
    PLANNED,
    PLANNED + STORE_FAULTS,
    PLANNED + STORE_FAULTS,
    PLANNED + UNPLANNED,
    UNPLANNED,
    PLANNED + STORE_FAULTS + UNPLANNED,
)


# These were added later; a sequence of their own keeps the other faults of each seed as they were.
LATER_FAULTS: tuple[Choice, ...] = (
    lambda rng, nodes: LimitInstance(
        rng.choice(nodes), rng.choice((2.0, 5.0, 12.0)), rng.uniform(6.0, 15.0)
    ),
    lambda rng, nodes: LimitInstance(rng.choice(nodes), rng.uniform(1.0, 30.0), 12.0),
    lambda rng, nodes: RestoreStore(
        rng.uniform(0.5, 6.0), rng.uniform(0.0, 2.0), rng.uniform(0.0, 1.0)
    ),
)
MAX_LATER_FAULTS = 4


def make_plan(seed: int, duration_s: float, sidecars: int) -> list[TimedFault]:
    """Returns the faults of a run in the order of their starts.

    Args:
      seed: Seed of the run.
      duration_s: Time in which faults start.
      sidecars: Number of sidecars; they are numbered from 1.
    """
    rng, nodes, plan = Random(seed), range(1, sidecars + 1), []
    at_s = FIRST_BURST_S
    while at_s < duration_s:
        choices = rng.choice(BURSTS)
        for _ in range(rng.randint(2, max(3, sidecars // 2 + 1))):
            fault = rng.choice(choices)(rng, nodes)
            plan.append(TimedFault(at_s + rng.uniform(0.0, BURST_S), fault))
        at_s += rng.uniform(*PAUSE_BETWEEN_BURSTS_S)
    later = Random(f"{seed} later")
    for _ in range(later.randint(1, MAX_LATER_FAULTS)):
        fault = later.choice(LATER_FAULTS)(later, nodes)
        plan.append(TimedFault(later.uniform(FIRST_BURST_S, duration_s), fault))
    return sorted(plan, key=lambda timed: timed.at_s)
