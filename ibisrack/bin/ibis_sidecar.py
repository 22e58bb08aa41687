"""Runs the node on a platform that lists its fleet in a metadata store."""

import logging
import os
import signal
import sys
from functools import partial
from pathlib import Path

from ibisrack.bin.allocator import return_freed_memory
from ibisrack.bin.common import load_or_exit, log_as_json
from ibisrack.bin.log_limits import LineRateFilter, NonBlockingPipe
from ibisrack.bin.loop import run_on_uvloop
from ibisrack.platform.settings_file import (
    DEFAULT_SETTINGS_PATH,
    HEARTBEAT_VARIABLE,
    METRICS_PORT_VARIABLE,
    SETTINGS_PATH_VARIABLE,
    load_platform_settings,
)
from ibisrack.sidecar.run import run_sidecar

# Start, stop, reload, and dependencies that are back.  Their loss is logged as a warning, which is
# never dropped.
LIFECYCLE_MESSAGES = frozenset(
    (
        "started",
        "stopping",
        "stop requested again",
        "stopped",
        "settings reloaded",
        "configuration in force",
        "registry answers",
        "registry history gone",
        "registry restored",
        "zone evacuated",
        "zone evacuation ended",
        "link open",
    )
)


def run() -> None:
    """Entry point of the ibis-sidecar command."""
    return_freed_memory()
    # The settings are read at the start anyway, so a SIGHUP before the handler is set says nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH)
    load = partial(
        load_platform_settings,
        metrics_port=os.environ.get(METRICS_PORT_VARIABLE, ""),
        heartbeat=os.environ.get(HEARTBEAT_VARIABLE, ""),
    )
    settings = load_or_exit(partial(load, path))
    line_filter = LineRateFilter(exempt_messages=LIFECYCLE_MESSAGES)
    stream = NonBlockingPipe.wrap(sys.stdout, line_filter)
    log_as_json(logging.DEBUG, stream, line_filter, node=settings.node_id)
    run_on_uvloop(run_sidecar(settings, Path(path), load))


if __name__ == "__main__":
    run()
