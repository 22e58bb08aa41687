"""Runs the benches and prints one line for each measure."""

import importlib
import pkgutil
import sys
from types import ModuleType

from absl import app, flags

import bench

_ONLY = flags.DEFINE_string("only", "", "Run only the measures whose name starts so.")


def _modules() -> list[ModuleType]:
    names = [info.name for info in pkgutil.iter_modules(bench.__path__)]
    return [importlib.import_module(f"bench.{n}") for n in sorted(names) if n.endswith("_bench")]


def _is_wanted(name: str) -> bool:
    return name.startswith(_ONLY.value)


def main(argv: list[str]) -> None:
    """Runs the benches; exits with 1 when a measure is over its bound."""
    modules = [m for m in _modules() if any(_is_wanted(name) for name in m.MEASURES)]
    if not modules:
        print(f"no bench yields {_ONLY.value}", file=sys.stderr)
        sys.exit(2)
    over = False
    for module in modules:
        for measure in module.run():
            if _is_wanted(measure.name):
                print(measure.line(), flush=True)
                over = over or not measure.within
    sys.exit(1 if over else 0)


if __name__ == "__main__":
    app.run(main)
