"""Runs a script with its record and its folder; see the issue for the exit status."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common.record import Record

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
MAX_RUN_S = 110.0

# Takes the record, a folder and whether the disruption is played; returns whether the rule broke.
Case = Callable[[Record, Path, bool], Awaitable[bool]]


def run_case(case: Case, file: str) -> None:
    """Runs a case and ends the process with its status."""
    record = Record(Path(file).with_name("record.txt"))
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            with_trouble = os.environ.get("TROUBLE", "1") != "0"
            record.write("script", trouble=int(with_trouble))
            is_broken = asyncio.run(_bounded(case, record, Path(folder), with_trouble))
        status = BROKEN if is_broken else HELD
        record.write("result", rule="broken" if is_broken else "held")
    except (Exception, asyncio.CancelledError) as error:  # What prevents the run is no result.
        traceback.print_exc()
        record.write("could-not-run", error=repr(error))
    record.save()
    sys.exit(status)


async def _bounded(case: Case, record: Record, folder: Path, with_trouble: bool) -> bool:
    # Whoever ends the script early must not leave its processes behind.
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(MAX_RUN_S):
        return await case(record, folder, with_trouble)
