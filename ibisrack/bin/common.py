"""What all binaries share: logging as JSON lines and reporting of settings faults."""

import logging
import sys
from collections.abc import Callable
from functools import partial
from typing import TextIO, TypeVar

from pythonjsonlogger.json import JsonFormatter

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
    limit: logging.Filter | None = None,
    **fields: str,
) -> None:
    """Writes logs, one JSON object a line.

    Args:
      level: Lowest level of the project's lines that is written; libraries write from INFO on.
      stream: Where lines go; standard error by default.
      limit: Decides about each line.
      fields: Fields of every line.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    if limit is not None:
        handler.addFilter(limit)
    handler.setFormatter(
        JsonFormatter("%(levelname)s %(name)s %(message)s", static_fields=fields, timestamp=True)
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    logging.getLogger("ibisrack").setLevel(level)
    # The state machine library logs every step of a transition; the time line has them.
    logging.getLogger("transitions").setLevel(logging.ERROR)


def settings_or_exit(path: str, cls: type[T]) -> T:
    """Loads settings; prints every fault and exits when there are any."""
    return loaded_or_exit(partial(load_settings, path, cls))


def loaded_or_exit(load: Callable[[], T]) -> T:
    """Returns what a function loads; prints every fault and exits when there are any."""
    try:
        return load()
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_USAGE)
