"""Resets connections, as a crashed process or a broken path does."""

import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0.


def reset(transport: asyncio.Transport) -> None:
    """Ends a connection so that the other side gets a reset."""
    connection = transport.get_extra_info("socket")
    if connection is not None and not transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
