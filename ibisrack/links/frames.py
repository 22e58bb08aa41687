"""Reads and writes messages on TCP connections and sets their keepalive options."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from ibisrack.errors import MessageError
from ibisrack.links.bounds import check_bounds
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


async def read_message(
    reader: asyncio.StreamReader, on_data: Callable[[], None] = lambda: None
) -> Any:
    """Reads one message.

    Args:
      reader: Reader of the connection.
      on_data: Called whenever a part of the message has arrived.

    Raises:
      MessageError: The frame is malformed, or the message is out of its bounds.
      asyncio.IncompleteReadError: The connection ended.
      OSError: The connection broke.
    """
    head = await reader.readexactly(FRAME_HEAD_BYTES)
    size, start = frame_size(head), head[LENGTH_PREFIX_BYTES:]
    payload = start + await reader.read(size - len(start))
    on_data()
    if len(payload) < size:
        payload = await _read_rest(reader, payload, size, on_data)
    message = decode(payload)
    check_bounds(message)
    return message


async def _read_rest(
    reader: asyncio.StreamReader, start: bytes, size: int, on_data: Callable[[], None]
) -> bytearray:
    """Reads a payload whose start has arrived; raises asyncio.IncompleteReadError at its end."""
    payload = bytearray(start)
    while len(payload) < size:
        part = await reader.read(size - len(payload))
        if not part:
            raise asyncio.IncompleteReadError(bytes(payload), size)
        on_data()
        payload += part
    return payload


def write_message(writer: asyncio.StreamWriter, *messages: Any) -> None:
    """Writes messages in one call; they are dropped if the connection is closed."""
    # uvloop raises RuntimeError for a write to a closed transport.
    if not writer.is_closing():
        frames = [encode(message) for message in messages]
        writer.write(frames[0] if len(frames) == 1 else b"".join(frames))
