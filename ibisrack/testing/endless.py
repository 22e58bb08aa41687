"""Scripted servers that send bytes without end, until the receiver closes the connection."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from ibisrack.testing.data_path import ScriptedServer, scripted_server

BLOCK_BYTES = 64 * 1024  # Size of one write of a server that does not pause.
DRIP_INTERVAL_S = 0.02
BODY_LENGTH = 5


def answer_head(request_id: str, *fields: str) -> bytes:
    """Returns the head of a successful answer of an instance to a request."""
    lines = ("HTTP/1.1 200 OK", f"Request-Id: {request_id}", "Response-Signature: s", *fields)
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


def whole_answer(request_id: str) -> bytes:
    """Returns a complete answer of an instance, with a body of BODY_LENGTH bytes."""
    return answer_head(request_id, f"Content-Length: {BODY_LENGTH}") + b"x" * BODY_LENGTH


@attrs.frozen
class EndlessBytes:
    """What a server sends after it has read a request.

    Attributes:
      start: Sent once.
      repeated: Sent again and again until the receiver closes the connection.
      dripping: Whether the server pauses before each repetition.
    """

    start: bytes
    repeated: bytes
    dripping: bool = False

    async def send(self, writer: asyncio.StreamWriter) -> None:
        """Sends until the connection is closed; raises ConnectionError then."""
        writer.write(self.start)
        block = self.repeated
        if not self.dripping:
            block *= max(1, BLOCK_BYTES // len(self.repeated))
        while True:
            if self.dripping:
                await asyncio.sleep(DRIP_INTERVAL_S)
            writer.write(block)
            await writer.drain()


@attrs.define(eq=False)
class EndlessServer:
    """Server that answers requests with bytes without end, the others with a whole answer.

    Attributes:
      scripted: The server's connections and the heads of its requests.
      closed_connections: Number of connections with endless bytes that the receiver closed.
      written_bytes: Number of bytes accepted by the connections with endless bytes.
    """

    scripted: ScriptedServer
    closed_connections: int = 0
    written_bytes: int = 0

    @property
    def port(self) -> int:
        """TCP port of the server."""
        return self.scripted.port


class _CountingWriter:
    """Counts the bytes that a connection has accepted."""

    def __init__(self, writer: asyncio.StreamWriter, server: EndlessServer) -> None:
        self._writer = writer
        self._server = server

    def write(self, data: bytes) -> None:
        self._server.written_bytes += len(data)
        self._writer.write(data)

    async def drain(self) -> None:
        await self._writer.drain()


@asynccontextmanager
async def endless_server(
    endless: EndlessBytes, healthy_path: str = "/healthy"
) -> AsyncIterator[EndlessServer]:
    """Runs a server that answers with endless bytes.

    Args:
      endless: The bytes.
      healthy_path: Path of requests that get a whole answer instead.
    """

    async def script(scripted: ScriptedServer, reader, writer) -> None:
        while True:
            head = await scripted.read_request(reader)
            if f" {healthy_path} ".encode() in head:
                writer.write(whole_answer(_request_id(head)))
                continue
            try:
                await endless.send(_CountingWriter(writer, server))
            except ConnectionError:
                server.closed_connections += 1
                raise

    async with scripted_server(script) as scripted:
        server = EndlessServer(scripted)
        yield server


def _request_id(head: bytes) -> str:
    fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
    return fields.get(b"Request-Id", b"").decode()
