"""Chooses the faults of a run from its seed: bursts of faults that overlap.

Planned work comes in series: stops one after another, beside series of configuration changes and of
changed settings.
"""

from collections.abc import Callable
from random import Random

from bench.soak.faults import (
    BlockLink,
    BlockStore,
    ChangeConfiguration,
    DelayLink,
    DelayStore,
    FailStore,
    Fault,
    ForgetHistory,
    HangUp,
    KillProcess,
    PauseProcess,
    ReplaceInstance,
    ResetLink,
    StopProcess,
    TimedFault,
)

FIRST_BURST_S = 1.0
PAUSE_BETWEEN_BURSTS_S = (1.0, 3.5)
BURST_S = 2.0  # The faults of a burst start within this time.
MAX_FAULT_S = 4.0


def _pair(rng: Random, nodes: range) -> tuple[int, int]:
    source, target = rng.sample(nodes, 2)
    return source, target


def _some(rng: Random, nodes: range) -> tuple[int, ...]:
    return tuple(rng.sample(nodes, rng.randint(1, len(nodes))))


def _duration_s(rng: Random) -> float:
    return rng.uniform(0.2, MAX_FAULT_S)


def _stop(rng: Random, nodes: range) -> Fault:
    signals = rng.choice((1, 1, 2, 3))
    return StopProcess(rng.choice(nodes), signals, rng.uniform(0.0, 1.5), rng.uniform(0.0, 1.0))


def _hang_up(rng: Random, nodes: range) -> Fault:
    return HangUp(rng.choice(nodes), rng.randint(1, 4), rng.uniform(0.02, 0.6))


def _change_configuration(rng: Random, nodes: range) -> Fault:
    return ChangeConfiguration(rng.randint(1, 4), rng.uniform(0.05, 1.1))


def _replace_instance(rng: Random, nodes: range) -> Fault:
    return ReplaceInstance(rng.choice(nodes), rng.uniform(0.5, 2.0))


def _kill(rng: Random, nodes: range) -> Fault:
    return KillProcess(rng.choice(nodes), rng.uniform(0.0, 1.5))


def _pause(rng: Random, nodes: range) -> Fault:
    return PauseProcess(rng.choice(nodes), _duration_s(rng))


def _delay_link(rng: Random, nodes: range) -> Fault:
    return DelayLink(*_pair(rng, nodes), rng.uniform(0.02, 1.0), _duration_s(rng))


def _block_link(rng: Random, nodes: range) -> Fault:
    return BlockLink(*_pair(rng, nodes), rng.random() < 0.5, _duration_s(rng))


def _reset_link(rng: Random, nodes: range) -> Fault:
    return ResetLink(*_pair(rng, nodes), rng.randint(1, 5), rng.uniform(0.01, 0.4))


def _fail_store(rng: Random, nodes: range) -> Fault:
    return FailStore(rng.choice((0, 429, 503)), _duration_s(rng))


def _delay_store(rng: Random, nodes: range) -> Fault:
    return DelayStore(_some(rng, nodes), rng.uniform(0.1, 2.0), _duration_s(rng))


def _block_store(rng: Random, nodes: range) -> Fault:
    return BlockStore(_some(rng, nodes), _duration_s(rng))


def _forget_history(rng: Random, nodes: range) -> Fault:
    return ForgetHistory()


Choice = Callable[[Random, range], Fault]
PLANNED: tuple[Choice, ...] = (
    _stop,
    _stop,
    _hang_up,
    _change_configuration,
    _change_configuration,
    _replace_instance,
)
STORE: tuple[Choice, ...] = (_fail_store, _delay_store, _block_store, _forget_history)
UNPLANNED: tuple[Choice, ...] = (
    _kill,
    _pause,
    _delay_link,
    _block_link,
    _block_link,
    _reset_link,
)
BURSTS: tuple[tuple[Choice, ...], ...] = (
    PLANNED,
    PLANNED + STORE,
    PLANNED + STORE,
    PLANNED + UNPLANNED,
    UNPLANNED,
    PLANNED + STORE + UNPLANNED,
)


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
    return sorted(plan, key=lambda timed: timed.at_s)
