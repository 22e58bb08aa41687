"""State of sockets that the event loop does not report."""

import asyncio
import select

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Returns whether the peer has closed or reset a connection, even with bytes left to read."""
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return any(events & CLOSED_EVENTS for _, events in poll.poll(0))
