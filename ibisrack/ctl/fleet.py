"""The fleet command, printed once or refreshed on the terminal."""

import asyncio
from collections.abc import AsyncIterator

from ibisrack.bin.common import EXIT_FAULTS, EXIT_OK, EXIT_UNREACHABLE
from ibisrack.ctl.commands import Fleet, Options
from ibisrack.ctl.output import Result
from ibisrack.ctl.run import admin_client, run_command, watch_command
from ibisrack.room.poller import Poller
from ibisrack.room.terminal import call_lines, fleet_lines
from ibisrack.room.view import ScreenView


@run_command.register
async def _(command: Fleet, options: Options) -> Result:
    async with admin_client(options) as client:
        poller = Poller(client, options.nodes)
        await poller.read_round()
        return _result(poller.view())


@watch_command.register
async def _(command: Fleet, options: Options) -> AsyncIterator[Result]:
    async with admin_client(options) as client:
        poller = Poller(client, options.nodes)
        while True:
            await poller.read_round()
            yield _result(poller.view())
            await asyncio.sleep(options.interval_s)


def _result(view: ScreenView) -> Result:
    lines = (*fleet_lines(view), "", *call_lines(view))
    return Result(lines, view, _exit_code(view))


def _exit_code(view: ScreenView) -> int:
    if not view.source or any(zone.stale for zone in view.zones):
        return EXIT_UNREACHABLE
    return EXIT_OK if view.on_accepted == view.total else EXIT_FAULTS
