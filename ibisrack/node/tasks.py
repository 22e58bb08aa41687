"""Keeps the long-running tasks of a process running."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

RESTART_PAUSE_S = 1.0

_LOGGER = logging.getLogger(__name__)


async def keep_running(
    name: str, start: Callable[[], Awaitable[None]], pause_s: float = RESTART_PAUSE_S
) -> None:
    """Runs a task and starts it again when it fails, until it returns or is cancelled.

    The tasks keep their state in the node, so a failure on one input does not end the duty.  Ending
    the process instead would end every node that meets the same input.

    Args:
      name: Name of the task for the log.
      start: Starts the task.
      pause_s: Time before a new start.
    """
    while True:
        try:
            return await start()
        except Exception:
            _LOGGER.exception("task failed", extra={"task": name})
            await asyncio.sleep(pause_s)
