"""Tests of reading bodies of bounded size."""

import asyncio
import tracemalloc

import attrs

from ibisrack.bodies import read_bounded
from ibisrack.errors import MessageError
from ibisrack.testing.connections import create_waiting_connection
from ibisrack.testing.functions import function_tests
from ibisrack.upstreams.connection import Connection

SMALL_PARTS = 10_000


@attrs.frozen
class ArrivingBody:
    """A body that arrives while a task reads it."""

    connection: Connection
    task: asyncio.Task

    async def receive(self, part: bytes) -> None:
        """Delivers a part and lets the task read it."""
        self.connection.data_received(part)
        for _ in range(3):
            await asyncio.sleep(0)


async def begin_body(length: int, max_bytes: int) -> ArrivingBody:
    """Returns a body of a declared length, of which nothing has arrived yet."""
    connection = create_waiting_connection()
    connection.data_received(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
    _, content = await connection.read()
    return ArrivingBody(connection, asyncio.create_task(read_bounded(content, max_bytes)))


async def test_body_up_to_the_limit_is_read_whole():
    """Guards against a body that is cut off, or refused at its limit."""
    body = await begin_body(10, 10)
    for part in (b"abc", b"defg", b"hij"):
        await body.receive(part)
    assert await body.task == b"abcdefghij"


async def test_body_over_the_limit_is_given_up_before_its_end():
    """Guards against a sender without end that a process reads until its memory is full."""
    body = await begin_body(100, 10)
    for part in (b"x" * 10, b"x"):
        await body.receive(part)
    try:
        await body.task
    except MessageError:
        return
    raise AssertionError("the body was accepted")


async def test_body_in_small_parts_takes_the_memory_of_its_bytes():
    """Guards against a trickling body that takes many times the memory of its limit."""
    size = 2 * SMALL_PARTS
    body = await begin_body(size, size)
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    for _ in range(SMALL_PARTS - 1):
        await body.receive(b"xx")
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await body.receive(b"xx")
    assert await body.task == b"x" * size
    assert after_bytes - before_bytes < 3 * size


load_tests = function_tests(__name__)
