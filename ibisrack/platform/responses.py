"""Responses to callers whose bodies are accounted for until the caller has received them."""

import asyncio
from functools import partial

from aiohttp import web

from ibisrack.calls.messages import Answer
from ibisrack.clocks import read_monotonic_s
from ibisrack.memory.account import Kind

# The transport holds about one part; smaller bodies are written at once.
PART_BYTES = 64 * 1024


class HeldResponse(web.Response):
    """The response that conveys an answer, written as fast as the caller reads it."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(status=answer.status, headers=answer.headers, body=answer.body)
        self._holding = answer.holding

    async def write_eof(self, data: bytes = b"") -> None:
        """Writes the body; called by the library, which keeps the response until the next one."""
        try:
            if self._must_be_empty_body or not self.body or len(self.body) <= PART_BYTES:
                await super().write_eof(data)
            else:
                await self._write_parts(memoryview(self.body))
        finally:
            self._body = None
            if self._holding is not None:
                self._holding.release()

    async def _write_parts(self, body: memoryview) -> None:
        writer = self._payload_writer
        if self._holding is not None and writer.transport is not None:
            give_up = partial(_abort, writer.transport)
            self._holding.change(Kind.ANSWER, give_up, read_monotonic_s())
        for start in range(0, len(body), PART_BYTES):
            await writer.write(body[start : start + PART_BYTES], drain=False)
            await writer.drain()
            if self._holding is not None:
                self._holding.mark_progress(read_monotonic_s())
        await web.StreamResponse.write_eof(self)


def _abort(transport: asyncio.Transport) -> bool:
    """Closes the connection of a caller that does not read."""
    transport.abort()
    return True
