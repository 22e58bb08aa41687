"""Runs the main coroutine of a program on uvloop."""

import asyncio
import gc
import os
from collections.abc import Coroutine

# Set before the import, as libuv reads it once: the programs must not use io_uring.
os.environ["UV_USE_IO_URING"] = "0"
# The HTTP library would load the system's certificates when it is imported, which takes a sixth of
# the processor time of a start and 2 MB.  The programs speak no TLS.
os.environ["SSL_CERT_FILE"] = os.devnull

from uvloop import new_event_loop  # noqa: E402


def run_on_uvloop(main: Coroutine) -> None:
    """Runs a coroutine until it returns.

    Objects created before the start are excluded from garbage collection.  What the imports left is
    not collected first: that takes a tenth of a start, and frees a few thousand small objects.
    """
    gc.freeze()
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(main)
