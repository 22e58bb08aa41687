"""Restarts the long-running tasks of a process when they fail."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

RESTART_DELAY_S = 1.0

_LOGGER = logging.getLogger(__name__)


async def keep_running(
    name: str, start: Callable[[], Awaitable[None]], delay_s: float = RESTART_DELAY_S
) -> None:
    """Runs a task and restarts it when it fails, until it returns or is cancelled.

    The state of a task is kept in the node, so a restarted task goes on after a failure on one
    input.  Ending the process instead would end every node that receives the same input.

    Args:
      name: Name of the task for the log.
      start: Starts the task.
      delay_s: Time to wait before a restart.
    """
    while True:
        try:
            return await start()
        except Exception:
            _LOGGER.exception("task failed", extra={"task": name})
            await asyncio.sleep(delay_s)
