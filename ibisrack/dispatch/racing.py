"""Runs two attempts of a request at the same time."""

import asyncio
from collections.abc import Callable
from functools import singledispatch

from ibisrack.calls.messages import Answer
from ibisrack.calls.retry import Result
from ibisrack.dispatch.attempts import FIRST_SERVER_ERROR_STATUS


@singledispatch
def is_success(result: object) -> bool:
    """Returns whether a result is an answer that does not report a failure."""
    return False


@is_success.register
def _(result: Answer) -> bool:
    return result.status < FIRST_SERVER_ERROR_STATUS


async def first_success(
    first: asyncio.Task[Result],
    second: asyncio.Task[Result],
    record_failed: Callable[[Result], None],
) -> Result:
    """Returns the first successful result, or the last one if there is none.

    Args:
      first: The first attempt.
      second: The second attempt.
      record_failed: Called with the result of an attempt that failed while the other one ran.
    """
    running = {first, second}
    while True:
        done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        # Both may have ended; the first one was sent first.
        results = [task.result() for task in (first, second) if task in done]
        for result in results:
            if is_success(result):
                return result
        for result in results if running else results[:-1]:
            record_failed(result)
        if not running:
            return results[-1]
