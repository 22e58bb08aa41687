"""Closes listening sockets without resetting the connections that wait to be accepted."""

import asyncio

from aiohttp import web

# The event loop accepts one connection in each of its rounds; more do not wait for a node that has
# not been ready for seconds.
ACCEPT_ROUNDS = 256


async def close_listeners(runner: web.BaseRunner) -> None:
    """Stops accepting connections, after those were accepted that the system has accepted already.

    Closing a listening socket resets the connections that wait there, and callers may have sent
    requests on them.
    """
    for _ in range(ACCEPT_ROUNDS):
        await asyncio.sleep(0)
    for site in tuple(runner.sites):
        await site.stop()
