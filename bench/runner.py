"""Runs the benchmarks and prints one line for each measure."""

import importlib
import pkgutil
import sys
from types import ModuleType

from absl import app, flags

import bench

_NAME_PREFIX = flags.DEFINE_string(
    "only", "", "Run only the measures whose names start with this prefix."
)


def _bench_modules() -> list[ModuleType]:
    names = [info.name for info in pkgutil.iter_modules(bench.__path__)]
    return [importlib.import_module(f"bench.{n}") for n in sorted(names) if n.endswith("_bench")]


def _is_selected(name: str) -> bool:
    return name.startswith(_NAME_PREFIX.value)


def main(argv: list[str]) -> None:
    """Runs the benchmarks.

    The exit status is 1 if a measure is out of bounds and 2 if no measure is selected.
    """
    modules = [m for m in _bench_modules() if any(_is_selected(name) for name in m.MEASURES)]
    if not modules:
        print(f"no bench yields {_NAME_PREFIX.value}", file=sys.stderr)
        sys.exit(2)
    out_of_bounds = False
    for module in modules:
        for measure in module.run():
            if _is_selected(measure.name):
                print(measure.format_line(), flush=True)
                out_of_bounds = out_of_bounds or not measure.within_bound
    sys.exit(1 if out_of_bounds else 0)


if __name__ == "__main__":
    app.run(main)
