"""Runs the fault soak for some seeds and prints one line for each.

The exit status is 1 if a promise was broken.  The folder of a seed that broke one is kept, with its
history and the logs of its sidecars.
"""

import asyncio
import shutil
import signal
import sys
import time
from collections import Counter
from pathlib import Path

import attrs
import msgspec
from absl import app, flags

from bench.soak.additions import Addition, make_extended_plan
from bench.soak.bounds import RECOVER_S
from bench.soak.callers import record_recovery, run_callers
from bench.soak.checks import Violation, find_violations
from bench.soak.fleet import ZONES, started_fleet
from bench.soak.history import History, Outcome
from bench.soak.injection import inject_all
from bench.soak.plan import TimedFault
from bench.soak.regressions import REGRESSIONS

SETTLE_S = 3.0  # Time in which a refused request could still run after the last answer.
MAX_EXTRA_S = 75.0  # Longest time of a run beyond that in which faults start.
LAG_POLL_S = 0.05

_SEEDS = flags.DEFINE_list(
    "seeds", [], "Seeds to run, one after another; empty for the regression cases."
)
_DURATION_S = flags.DEFINE_float("duration_s", 30.0, "Time in which faults start, in seconds.")
_SIDECARS = flags.DEFINE_integer("sidecars", 6, "Number of sidecars.", lower_bound=2)
_ADD = flags.DEFINE_multi_enum_class(
    "add", [], Addition, "Faults beyond those of the seeds; may be given several times."
)
_ZONES = flags.DEFINE_integer(
    "zones", len(ZONES), "Number of zones.", lower_bound=1, upper_bound=len(ZONES)
)
_FOLDER = flags.DEFINE_string("folder", "build/soak", "Folder of the logs of failed seeds.")


@attrs.frozen
class SoakSettings:
    """Settings of a run.

    Attributes:
      seed: Seed of the faults and of the traffic.
      duration_s: Time in which faults start.
      sidecars: Number of sidecars.
      folder: Folder of settings, logs and history.
      additions: Faults beyond those of the seed.
      zones: Number of availability zones.
    """

    seed: int
    duration_s: float
    sidecars: int
    folder: Path
    additions: tuple[Addition, ...] = ()
    zones: int = len(ZONES)


@attrs.define
class Result:
    """Result of a run.

    Attributes:
      settings: Settings of the run.
      plan: The injected faults.
      history: The observations.
      lag_s: Longest time by which the soak's own event loop was late.
      violations: Broken promises.
    """

    settings: SoakSettings
    plan: list[TimedFault]
    history: History
    lag_s: float = 0.0
    violations: list[Violation] = attrs.field(factory=list)

    def format_line(self) -> str:
        """Formats the result as one line."""
        outcomes = Counter(map(_outcome_name, self.history.outcomes))
        broken = ",".join(f"{v.promise}:{v.subject}" for v in self.violations) or "none"
        recovered_s = max(r.serves_after_s or RECOVER_S for r in self.history.recoveries)
        added = "".join(f" add={addition}" for addition in self.settings.additions)
        return (
            f"seed={self.settings.seed} sidecars={self.settings.sidecars}{added}"
            f" requests={len(self.history.requests)}"
            f" outcomes={','.join(f'{name}:{n}' for name, n in sorted(outcomes.items()))}"
            f" faults={len(self.plan)} versions={len(self.history.versions)}"
            f" recovered_s={recovered_s:.1f} lag_ms={self.lag_s * 1000:.0f} broken={broken}"
        )


def _outcome_name(outcome: Outcome) -> str:
    return outcome.failure or str(outcome.status)


async def run_soak(settings: SoakSettings) -> Result:
    """Runs one seed; raises TimeoutError if it does not end in time."""
    plan = make_extended_plan(
        settings.seed, settings.duration_s, settings.sidecars, settings.additions
    )
    async with (
        asyncio.timeout(settings.duration_s + MAX_EXTRA_S),
        started_fleet(settings.seed, settings.sidecars, settings.zones, settings.folder) as fleet,
    ):
        result = Result(settings, plan, fleet.history)
        measuring = asyncio.create_task(_measure_lag(result))
        async with asyncio.TaskGroup() as group:
            for member in fleet.members.values():
                group.create_task(run_callers(fleet, member))
            await inject_all(fleet, plan)
            members = fleet.members.values()
            await asyncio.gather(*(record_recovery(fleet, m, RECOVER_S + 1) for m in members))
            fleet.ending = True
        await asyncio.sleep(SETTLE_S)
        measuring.cancel()
        result.violations = find_violations(fleet.history)
    return result


async def _measure_lag(result: Result) -> None:
    while True:
        start_s = time.monotonic()
        await asyncio.sleep(LAG_POLL_S)
        result.lag_s = max(result.lag_s, time.monotonic() - start_s - LAG_POLL_S)


def run_seed(settings: SoakSettings) -> Result:
    """Runs one seed in an empty folder, which is kept only if a promise was broken."""
    shutil.rmtree(settings.folder, ignore_errors=True)
    settings.folder.mkdir(parents=True)
    result = asyncio.run(run_soak(settings))
    if result.violations:
        _write_history(result)
    else:
        shutil.rmtree(settings.folder)
    return result


def _write_history(result: Result) -> None:
    """Writes the line of the result and all observations, one JSON object a line."""
    history = result.history
    lists = (
        history.requests.values(),
        history.outcomes,
        history.runs,
        history.crashes,
        history.disturbances,
        history.drains,
        history.evacuations,
        history.limits,
        history.probes,
        history.recoveries,
        history.exits,
    )
    # Logs carry the time of day, the history monotonic times.
    clocks = {"wall_s": time.time(), "monotonic_s": time.monotonic(), "versions": history.versions}
    with (result.settings.folder / "history.jsonl").open("wb") as output:
        output.write(msgspec.json.encode(clocks) + b"\n")
        for observation in (o for observations in lists for o in observations):
            row = {"kind_of_record": type(observation).__name__, **attrs.asdict(observation)}
            output.write(msgspec.json.encode(row) + b"\n")
    (result.settings.folder / "result.txt").write_text(result.format_line() + "\n")


def _settings_to_run() -> list[SoakSettings]:
    folder = Path(_FOLDER.value)
    if not _SEEDS.value:
        return [
            SoakSettings(
                r.seed, r.duration_s, r.sidecars, folder / f"seed-{r.seed}", r.additions, r.zones
            )
            for r in REGRESSIONS
        ]
    duration_s, sidecars, zones = _DURATION_S.value, _SIDECARS.value, _ZONES.value
    additions = tuple(_ADD.value)
    return [
        SoakSettings(seed, duration_s, sidecars, folder / f"seed-{seed}", additions, zones)
        for seed in map(int, _SEEDS.value)
    ]


def main(argv: list[str]) -> None:
    """Runs the seeds of the flags."""
    # SIGTERM ends a run like Ctrl-C, which ends its processes too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    broken = False
    for settings in _settings_to_run():
        result = run_seed(settings)
        print(result.format_line(), flush=True)
        broken = broken or bool(result.violations)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app.run(main)
