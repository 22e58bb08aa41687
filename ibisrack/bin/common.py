"""What all binaries share: logging as JSON lines and reporting of settings faults."""

import logging
import sys
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
    level: int = logging.INFO, stream: TextIO | None = None, limit: logging.Filter | None = None
) -> None:
    """Writes logs, one JSON object a line.

    Args:
      level: Lowest level that is written.
      stream: Where lines go; standard error by default.
      limit: Decides about each line.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    if limit is not None:
        handler.addFilter(limit)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # The state machine library logs every step of a transition; the time line has them.
    logging.getLogger("transitions").setLevel(logging.ERROR)


def settings_or_exit(path: str, cls: type[T]) -> T:
    """Loads settings; prints every fault and exits when there are any."""
    try:
        return load_settings(path, cls)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_USAGE)
