"""Shared by the programs: exit codes, logging as JSON lines, reporting of settings faults."""

import logging
import sys
from collections.abc import Callable
from functools import partial
from typing import TextIO, TypeVar

from pythonjsonlogger.msgspec import MsgspecFormatter

from ibisrack.errors import SettingsError
from ibisrack.settings.loader import load_settings

T = TypeVar("T")

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


def log_as_json(
    level: int = logging.INFO,
    stream: TextIO | None = None,
    line_filter: logging.Filter | None = None,
    **fields: str,
) -> None:
    """Configures logging to write one JSON object per line.

    Args:
      level: Lowest level written by ibisrack loggers; library loggers write from INFO on.
      stream: Destination of the lines, standard error by default.
      line_filter: Selects the lines to write; all by default.
      fields: Fields added to every line.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    if line_filter is not None:
        handler.addFilter(line_filter)
    handler.setFormatter(
        MsgspecFormatter("%(levelname)s %(name)s %(message)s", static_fields=fields, timestamp=True)
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    logging.getLogger("ibisrack").setLevel(level)
    # No line has these fields, and finding them takes time for each line.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    # The state machine library logs every step of a transition, which the timeline records.
    logging.getLogger("transitions").setLevel(logging.ERROR)


def load_settings_or_exit(path: str, cls: type[T]) -> T:
    """Loads a settings file; prints every fault and exits if there are any."""
    return load_or_exit(partial(load_settings, path, cls))


def load_or_exit(load: Callable[[], T]) -> T:
    """Returns the settings that load returns; prints every fault and exits if it raises."""
    try:
        return load()
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_USAGE)
