#!/bin/sh
# Builds the stand-ins of the cases 6 to 9.  They need Python 3.11 and its standard library only,
# so that this compiles them, as a check, and leaves nothing behind.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

cases = [pathlib.Path(str(number), "case.py") for number in range(6, 10)]
for path in [pathlib.Path("kit-2/fleet.py"), *(case for case in cases if case.exists())]:
    compile(path.read_text(), str(path), "exec")
PY
