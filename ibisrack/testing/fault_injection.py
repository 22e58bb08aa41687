"""Runs of a simulated fleet with several faults at the same time."""

from collections.abc import Iterable

from ibisrack.testing.fault_run import FaultRun, create_serving_run
from ibisrack.testing.faults import clear_faults, start_fault, step_fault

FAULT_STEPS = 60
SETTLE_STEPS = 80


def run_with_faults(seed: int, faults: Iterable[object]) -> FaultRun:
    """Runs a fleet with several faults at the same time, then clears the faults.

    Args:
      seed: Seed of every random choice.
      faults: The faults.
    """
    run = create_serving_run(seed)
    faults = tuple(faults)
    for _ in range(4):
        run.publish()
        run.run_steps(4)
    for fault in faults:
        start_fault(fault, run)
    for step in range(FAULT_STEPS):
        for fault in faults:
            step_fault(fault, run, step)
        if step % 10 == 5:
            run.publish(valid=run.rng.random() < 0.7)
        run.fleet.step()
    clear_faults(run)
    run.publish()
    run.run_steps(SETTLE_STEPS)
    return run
