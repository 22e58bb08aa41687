"""Reads and writes frames on a TCP connection, and sets what the connections of a node need."""

import asyncio
import socket
from typing import Any

from ibisrack.errors import MessageError
from ibisrack.links.codec import LENGTH_BYTES, decode, encode, frame_size

# A peer or store without power answers nothing, so the operating system's own limits of minutes
# would hold requests for as long.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 2000

# What reading raises when a link ends, breaks or carries something else than messages.
BROKEN = (OSError, asyncio.IncompleteReadError, MessageError)


def detect_silence(connection: socket.socket) -> None:
    """Lets the operating system end a connection whose other end is silent."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


async def read_message(reader: asyncio.StreamReader) -> Any:
    """Reads one message.

    Raises:
      MessageError: The frame is malformed.
      asyncio.IncompleteReadError: The connection ended.
      OSError: The connection broke.
    """
    size = frame_size(await reader.readexactly(LENGTH_BYTES))
    return decode(await reader.readexactly(size))


def write_message(writer: asyncio.StreamWriter, *messages: Any) -> None:
    """Writes messages at once; bytes to a closed connection are dropped by the transport."""
    writer.write(b"".join(map(encode, messages)))
