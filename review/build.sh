#!/usr/bin/env bash
# Builds the stand-ins of the scripts.  They are Python and use the libraries that the build of the
# deploy file placed under target/deps, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
import attrs, aiohttp  # noqa: E401,F401
import review.common.fleet  # noqa: F401
PY
