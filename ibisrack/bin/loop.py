"""Runs a binary's coroutine on uvloop."""

import asyncio
import gc
import os
from collections.abc import Coroutine

# Must be set before the import: libuv reads it once and the product uses no io_uring.
os.environ["UV_USE_IO_URING"] = "0"

from uvloop import new_event_loop  # noqa: E402

# A full collection walks every kept time line entry, about 10 ms, in the middle of calls.  Objects
# that live for one call are freed by their reference counts, so collections may be rare.
_GC_THRESHOLDS = (50_000, 20, 50)


def run_on_uvloop(main: Coroutine) -> None:
    """Runs a coroutine to its end.

    What was loaded before is left out of garbage collections from here on.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(main)
