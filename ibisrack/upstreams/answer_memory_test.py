"""Tests of the limits on the answers that are being read."""

import asyncio
import tracemalloc

from ibisrack.calls.outcomes import Reason
from ibisrack.errors import UnknownOutcomeError
from ibisrack.memory.account import MemoryAccount
from ibisrack.testing.connections import create_waiting_connection
from ibisrack.testing.functions import function_tests
from ibisrack.upstreams.answer_memory import AnswerMemory
from ibisrack.upstreams.connection import Connection

LIMIT_BYTES = 1000
GUARD_S = 5.0
SMALL_PARTS = 10_000


def _length(size: int) -> str:
    return f"Content-Length: {size}"


class _Reading:
    """An answer that is being read into the memory."""

    def __init__(self, memory: AnswerMemory, framing: str) -> None:
        self.connection: Connection = create_waiting_connection()
        self.connection.data_received(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
        self.task = asyncio.create_task(self._read(memory))

    async def receive(self, size: int, framing: str = "{}") -> None:
        """Delivers the next part of the body and lets the task read it."""
        self.connection.data_received(framing.format("x" * size).encode())
        for _ in range(5):
            await asyncio.sleep(0)

    async def result(self) -> bytes | str:
        """Returns the body, or why its outcome is unknown."""
        async with asyncio.timeout(GUARD_S):
            return await self.task

    async def _read(self, memory: AnswerMemory) -> bytes | str:
        _, content = await self.connection.read()
        try:
            body, _ = await memory.read_body(self.connection, content)
            return body
        except UnknownOutcomeError as error:
            return error.reason


async def test_largest_answer_is_given_up_and_the_others_go_on():
    """Guards against one endless answer that makes the others fail, or all wait for each other."""
    memory = AnswerMemory(MemoryAccount(LIMIT_BYTES))
    large, small = _Reading(memory, _length(10 * LIMIT_BYTES)), _Reading(memory, _length(300))
    await large.receive(900)
    await small.receive(200)
    assert await large.result() == Reason.TOO_LARGE
    assert large.connection.transport.closed
    assert memory.account.held_bytes == 200
    await small.receive(100)
    assert await small.result() == b"x" * 300
    assert memory.account.held_bytes == 0


async def test_answer_that_is_the_largest_itself_is_refused():
    """Guards against answers of which each is small enough, and that exceed the limit together."""
    memory = AnswerMemory(MemoryAccount(LIMIT_BYTES))
    first, second = _Reading(memory, _length(600)), _Reading(memory, _length(600))
    await first.receive(450)
    await second.receive(500)
    await second.receive(99)
    assert await second.result() == Reason.TOO_LARGE
    await first.receive(150)
    assert await first.result() == b"x" * 600


async def test_answer_given_up_at_its_end_is_not_taken_for_an_empty_one():
    """Guards against a success with an empty body when the end arrives as it is given up."""
    memory = AnswerMemory(MemoryAccount(LIMIT_BYTES))
    large, small = _Reading(memory, "Transfer-Encoding: chunked"), _Reading(memory, _length(200))
    await large.receive(900, framing="384\r\n{}\r\n")
    # Both are read in one turn of the loop: the small answer first.
    small.connection.data_received(b"x" * 200)
    large.connection.data_received(b"0\r\n\r\n")
    assert await small.result() == b"x" * 200
    assert await large.result() == Reason.TOO_LARGE


async def test_memory_is_free_again_after_a_broken_or_cancelled_answer():
    """Guards against a limit that shrinks with each failure."""
    memory = AnswerMemory(MemoryAccount(LIMIT_BYTES))
    broken, cancelled = _Reading(memory, _length(500)), _Reading(memory, _length(500))
    await broken.receive(400)
    await cancelled.receive(400)
    broken.connection.connection_lost(ConnectionResetError())
    cancelled.task.cancel()
    await asyncio.gather(broken.task, cancelled.task, return_exceptions=True)
    assert memory.account.held_bytes == 0


async def test_answer_in_small_parts_takes_the_memory_that_is_counted():
    """Guards against a trickling body that takes many times the memory of its bytes."""
    memory = AnswerMemory(MemoryAccount(LIMIT_BYTES * 1000))
    trickling = _Reading(memory, _length(10 * SMALL_PARTS))
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    for _ in range(SMALL_PARTS):
        await trickling.receive(2)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    trickling.task.cancel()
    assert memory.account.held_bytes == 2 * SMALL_PARTS
    assert after_bytes - before_bytes < 3 * memory.account.held_bytes


load_tests = function_tests(__name__)
