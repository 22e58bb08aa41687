"""Crowds of clients that send large bodies, stop short of their end, or read no responses."""

import asyncio
from collections.abc import Iterator
from contextlib import asynccontextmanager, suppress
from functools import singledispatch

import attrs

CROWD_S = 15.0  # Time for a crowd to send what it sends; some clients are not read to the end.
DEADLINE_MS = 30_000
BLOCK_BYTES = 256 * 1024  # Size of a write of many small chunks.
RECEIVE_LIMIT_BYTES = 4096  # What a client buffers of a response that it does not read.


@attrs.frozen
class Body:
    """A request body.

    Attributes:
      size: Its size in bytes, announced or not.
      sent_bytes: How much of it is sent; the connection then stays open.
      piece_bytes: Size of each write, or of each chunk.
    """

    size: int
    sent_bytes: int
    piece_bytes: int


@attrs.frozen
class BodyWithLength(Body):
    """A body whose length is announced."""


@attrs.frozen
class ChunkedBody(Body):
    """A body in chunks; the last chunk is sent only after the whole body."""


@attrs.frozen
class PartialHead:
    """The start of a request head.

    Attributes:
      sent: The bytes that are sent, none for a connection without any.
    """

    sent: bytes


@attrs.frozen
class UnreadRequest:
    """A request whose response is not read.

    Attributes:
      path: Its path.
    """

    path: str


@singledispatch
def head_of(message: object, number: int) -> bytes:
    """Returns the request head that a client sends."""
    raise TypeError(f"unknown message {type(message).__name__}")


@head_of.register
def _(message: BodyWithLength, number: int) -> bytes:
    return _head("POST", "/lodge/1", number, f"Content-Length: {message.size}")


@head_of.register
def _(message: ChunkedBody, number: int) -> bytes:
    return _head("POST", "/lodge/1", number, "Transfer-Encoding: chunked")


@head_of.register
def _(message: PartialHead, number: int) -> bytes:
    return message.sent


@head_of.register
def _(message: UnreadRequest, number: int) -> bytes:
    return _head("GET", message.path, number, "Accept: */*")


def _head(method: str, path: str, number: int, field: str) -> bytes:
    lines = (
        f"{method} {path} HTTP/1.1",
        "Host: desk.example",
        f"Request-Id: crowd-{number}",
        f"Deadline-Ms: {DEADLINE_MS}",
        field,
    )
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


@singledispatch
def pieces_of(message: object) -> Iterator[bytes]:
    """Yields what a client writes after the head."""
    return iter(())


@pieces_of.register
def _(message: BodyWithLength) -> Iterator[bytes]:
    left = message.sent_bytes
    while left:
        size = min(left, message.piece_bytes)
        yield b"x" * size
        left -= size


@pieces_of.register
def _(message: ChunkedBody) -> Iterator[bytes]:
    chunk = b"%x\r\n%s\r\n" % (message.piece_bytes, b"x" * message.piece_bytes)
    left = message.sent_bytes // message.piece_bytes
    per_write = max(1, BLOCK_BYTES // len(chunk))
    while left:
        count = min(left, per_write)
        yield chunk * count
        left -= count
    if message.sent_bytes >= message.size:
        yield b"0\r\n\r\n"


@attrs.define(eq=False)
class Crowd:
    """Clients that are connected to one server.

    Attributes:
      host: IP number of the server.
      port: TCP port of the server.
    """

    host: str
    port: int
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)
    _readers: list[asyncio.Task] = attrs.field(factory=list)

    async def send(self, messages: list) -> None:
        """Sends one message on a connection each, all at once; the connections stay open.

        It returns when all are sent, refused or not read any further, at the latest after CROWD_S.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(CROWD_S):
                await asyncio.gather(*(self._send(m, n) for n, m in enumerate(messages)))

    async def _send(self, message: object, number: int) -> None:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(
                self.host, self.port, limit=RECEIVE_LIMIT_BYTES
            )
            self._writers.append(writer)
            if not isinstance(message, UnreadRequest):
                self._readers.append(asyncio.create_task(_read_to_end(reader, writer)))
            writer.write(head_of(message, number))
            for piece in pieces_of(message):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)  # All clients send in turn.

    async def close(self) -> None:
        """Closes all connections."""
        for reader in self._readers:
            reader.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()


async def _read_to_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads until the server closes the connection, and closes it too."""
    with suppress(OSError):
        while await reader.read(65536):
            pass
    writer.transport.abort()


@asynccontextmanager
async def crowd_at(host: str, port: int):
    """Provides a crowd whose connections are closed at the end."""
    crowd = Crowd(host, port)
    try:
        yield crowd
    finally:
        await crowd.close()
