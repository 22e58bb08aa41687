"""Dispatches parsed commands to the functions that the command modules register."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import singledispatch

from aiohttp import ClientSession, DummyCookieJar, TCPConnector

from ibisrack.admin.client import AdminClient
from ibisrack.ctl.commands import Command, Options
from ibisrack.ctl.output import Result


@singledispatch
async def run_command(command: Command, options: Options) -> Result:
    """Runs a command.

    Args:
      command: The command.
      options: Options of the command line.

    Raises:
      AdminError: A node that the command depends on gave no usable response.
      FaultsError: A file that the command depends on is not valid.
      OSError: A file can't be read.
    """
    raise TypeError(f"no run_command for {type(command).__name__}")


@singledispatch
async def watch_command(command: Command, options: Options) -> AsyncIterator[Result]:
    """Runs a command repeatedly and yields each result, until the caller closes the iterator."""
    raise TypeError(f"no watch_command for {type(command).__name__}")
    yield  # Makes this function an asynchronous generator, as its declared type requires.


@asynccontextmanager
async def admin_client(options: Options) -> AsyncIterator[AdminClient]:
    """Opens a client with the timeout and the concurrency of the options."""
    connector = TCPConnector(limit=options.concurrency)
    async with ClientSession(connector=connector, cookie_jar=DummyCookieJar()) as session:
        yield AdminClient(session, options.timeout_s, options.concurrency)
