"""The node on a platform that names its fleet in a metadata store."""

import os
import sys
from pathlib import Path

from ibisrack.bin.common import EXIT_USAGE, log_as_json
from ibisrack.bin.limited import LineLimit
from ibisrack.bin.loop import run_on_uvloop
from ibisrack.errors import SettingsError
from ibisrack.platform.settings_file import DEFAULT_PATH, PATH_VARIABLE, load_platform_settings
from ibisrack.sidecar.run import run_sidecar


def run() -> None:
    """Entry point of the ibis-sidecar command."""
    path = os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    try:
        settings = load_platform_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    log_as_json(stream=sys.stdout, limit=LineLimit())
    run_on_uvloop(run_sidecar(settings, Path(path), load_platform_settings))


if __name__ == "__main__":
    run()
