"""Runs an ibisctl command line and maps its result or error to output and an exit code."""

import asyncio
import sys

# Importing these modules registers their commands.
import ibisrack.ctl.configurations
import ibisrack.ctl.files
import ibisrack.ctl.fleet
import ibisrack.ctl.follow
import ibisrack.ctl.nodes
import ibisrack.ctl.timeline  # noqa: F401
from ibisrack.admin.client import AdminError
from ibisrack.bin.common import EXIT_FAULTS, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE
from ibisrack.ctl.commands import Command, Options
from ibisrack.ctl.output import Result
from ibisrack.ctl.parse import UsageError, parse_command_line
from ibisrack.ctl.run import run_command, watch_command
from ibisrack.errors import FaultsError, MessageError

CLEAR_SCREEN = "\x1b[H\x1b[2J"


async def run_once(command: Command, options: Options) -> Result:
    """Runs a command; an error becomes a result with its exit code."""
    try:
        return await run_command(command, options)
    except AdminError as error:
        return _error_result(str(error), EXIT_UNREACHABLE)
    except MessageError as error:
        return _error_result(str(error), EXIT_UNREACHABLE)
    except FaultsError as error:
        return _error_result(str(error), EXIT_FAULTS)
    except OSError as error:
        return _error_result(f"{error.filename}: {error.strerror}", EXIT_USAGE)


def _error_result(message: str, exit_code: int) -> Result:
    return Result((), {"error": message}, exit_code, (message,))


def _print_result(result: Result, options: Options) -> None:
    text = result.text(options.json)
    if text:
        print(text, flush=True)
    for error in result.errors:
        print(f"ibisctl: {error}", file=sys.stderr)


async def _watch(command: Command, options: Options) -> None:
    async for result in watch_command(command, options):
        if not options.json:
            print(CLEAR_SCREEN, end="")
        _print_result(result, options)


def run_command_line(arguments: list[str]) -> int:
    """Runs ibisctl.

    Args:
      arguments: Command line without the program's name.

    Returns:
      The exit code.
    """
    try:
        parsed = parse_command_line(arguments)
    except UsageError as error:
        print(f"ibisctl: {error}\nibisctl --help shows the commands.", file=sys.stderr)
        return EXIT_USAGE
    if isinstance(parsed, str):
        print(parsed)
        return EXIT_OK
    command, options = parsed
    if options.watch:
        try:
            asyncio.run(_watch(command, options))
        except KeyboardInterrupt:
            return EXIT_OK
    result = asyncio.run(run_once(command, options))
    _print_result(result, options)
    return result.exit_code
