"""Reads and writes messages on TCP connections and sets their keepalive options."""

import asyncio
import socket
from typing import Any

from ibisrack.errors import MessageError
from ibisrack.links.codec import (
    FRAME_HEAD_BYTES,
    LENGTH_PREFIX_BYTES,
    decode,
    encode,
    frame_size,
)

# A peer or registry that lost power sends nothing; with the operating system's own limits, requests
# to it would hang for minutes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2000

# Exceptions from reading when a link ends, breaks or delivers something other than messages.
LINK_ERRORS = (OSError, asyncio.IncompleteReadError, MessageError)


def enable_dead_peer_detection(connection: socket.socket) -> None:
    """Makes the operating system close a connection whose peer no longer responds."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def read_message(reader: asyncio.StreamReader) -> Any:
    """Reads one message.

    Raises:
      MessageError: The frame is malformed.
      asyncio.IncompleteReadError: The connection ended.
      OSError: The connection broke.
    """
    head = await reader.readexactly(FRAME_HEAD_BYTES)
    rest_bytes = frame_size(head) - (FRAME_HEAD_BYTES - LENGTH_PREFIX_BYTES)
    return decode(head[LENGTH_PREFIX_BYTES:] + await reader.readexactly(rest_bytes))


def write_message(writer: asyncio.StreamWriter, *messages: Any) -> None:
    """Writes messages in one call; the transport drops data for a closed connection."""
    writer.write(b"".join(map(encode, messages)))
