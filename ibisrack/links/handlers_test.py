"""Tests of generated messages from peers: whatever they hold, a link and its node can go on."""

import asyncio
import itertools
import math
from collections.abc import Callable, Iterator
from contextlib import asynccontextmanager, suppress
from random import Random

import attrs

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.messages import Answer
from ibisrack.calls.targets import EarliestTarget, InTimeFirst
from ibisrack.dispatch.choice import InstanceViews, choose_instance
from ibisrack.dispatch.transfer import NO_TRANSFER, Transfer
from ibisrack.errors import MessageError
from ibisrack.hosting.recorder import SubmissionRecorder
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links import incoming, outgoing_messages
from ibisrack.links.bounds import MAX_COUNT
from ibisrack.links.codec import encode
from ibisrack.links.frames import read_message
from ibisrack.links.incoming import IncomingLink, serve_link
from ibisrack.links.messages import Entries, Hello, KnownLimit, Load, Submit
from ibisrack.links.outgoing import OutgoingLink
from ibisrack.links.pending import PendingRequest
from ibisrack.metrics.tally import Tally
from ibisrack.registry.messages import Revision
from ibisrack.testing.functions import function_tests
from ibisrack.testing.messages import check_messages
from ibisrack.testing.sidecars import instance, wait_until

CASES = 60  # Of each type of message.
HELLO = Hello("10.0.0.1", "e", 1000.0)
LISTED = instance("i-1")
REVISION = Revision(1, 6)
SUBMIT = Submit(
    0, "q", 1, False, "i-1", "desk", "r", True, 900, -5, 500, "docs", "GET", "h", "/", (), b""
)


class ClosedWriter:
    """Writer of a connection that takes no more messages."""

    def is_closing(self) -> bool:
        return True


class QuickInstance:
    """An instance that answers each request at once."""

    async def send(self, submit: Submit, remaining_s: float, on_sent) -> Answer:
        return Answer(200, {}, b"")


def generated_messages() -> Iterator[object]:
    """Returns messages of all types, with the submissions also as ones for the listed instance."""
    messages: list[object] = []

    def gather(message: object) -> None:
        messages.append(message)

    check_messages(gather, CASES)
    numbers = itertools.count()
    for message in messages:
        yield message
        bounded = attrs.evolve(message, **_bounded_numbers(message))
        yield bounded
        if isinstance(message, Load | KnownLimit):
            yield attrs.evolve(message, instance_id="i-1")
        if isinstance(message, Submit):
            listed = {"instance_id": "i-1", "service": "desk", "rank": "priority-0", "more": False}
            yield attrs.evolve(bounded, request_id=f"q-{next(numbers)}", **listed)


def _bounded_numbers(message: object) -> dict[str, float]:
    """Returns the numbers of a message, reduced to what is within the bounds of most fields."""
    fields = attrs.asdict(message, recurse=False)
    numbers = {name: value for name, value in fields.items() if type(value) in (int, float)}
    return {name: _bounded(name, value) for name, value in numbers.items()}


def _bounded(name: str, value: float) -> float:
    if name == "status":
        return 200 + value % 800
    if isinstance(value, int):
        return value % MAX_COUNT
    return abs(value) % 1e6 if math.isfinite(value) else 0.0


async def read(message: object) -> object | None:
    """Returns a message as read from a connection, None if it is refused as malformed."""
    reader = asyncio.StreamReader()
    reader.feed_data(encode(message))
    try:
        return await read_message(reader)
    except MessageError:
        return None


def create_runner() -> InstanceRunner:
    directory = InstanceDirectory()
    directory.put(LISTED)
    runner = InstanceRunner(
        (LISTED.host, LISTED.port),
        Gate(Scheduler(1, InTimeFirst(0.65), EarliestTarget())),
        QuickInstance(),
        directory,
        SubmissionRecorder(Tally()),
    )
    runner.configure("desk", frozenset((0,)))
    return runner


def load_of(runner: InstanceRunner) -> Load:
    load, pace = runner.gate.load(), runner.gate.scheduler.pace
    starts = 0 if pace.stated_per_s is None else int(pace.available(0.0))
    return Load(
        *(load.busy, load.queued, load.slots, 1.0, True, REVISION, True, True, "i-1"),
        pace.stated_per_s,
        starts,
    )


@asynccontextmanager
async def listening(create_link: Callable[..., IncomingLink]):
    """Yields the connection of a peer to a node whose links are created by a function."""
    tasks: list[asyncio.Task] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks.append(asyncio.current_task())
        await serve_link(HELLO, create_link, set(), reader, writer)

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        try:
            yield tasks, reader, writer
        finally:
            writer.transport.abort()


def fail_to_create(writer: asyncio.StreamWriter, peer: str) -> IncomingLink:
    raise ArithmeticError("for a test")


async def test_connection_ends_with_the_task_that_serves_it():
    """Guards against a peer that goes on sending on a connection that nobody reads any more."""
    for cancelled in (True, False):
        async with listening(fail_to_create) as (tasks, reader, writer):
            await wait_until(lambda tasks=tasks: bool(tasks))
            await asyncio.sleep(0)
            if cancelled:
                tasks[0].cancel()
            else:
                writer.write(encode(HELLO))
            async with asyncio.timeout(1.0):
                with suppress(ConnectionError):
                    assert await reader.read() == b""
            with suppress(ArithmeticError, asyncio.CancelledError):
                await tasks[0]


async def test_any_message_leaves_an_incoming_link_and_its_node_usable():
    """Guards against a message of one peer that ends the runs or the reports of all others."""
    runner = create_runner()
    link = IncomingLink(
        runner, lambda: load_of(runner), lambda revision: None, ClosedWriter(), "10.0.0.2"
    )
    for sent in generated_messages():
        message = await read(sent)
        if message is None:
            continue
        runner.notices.instance_id = ""  # Each limit counts as the first one that is heard of.
        try:
            incoming.handle(message, link)
        except MessageError:
            continue
        encode(load_of(runner))
    await asyncio.sleep(0)
    runner.clean_up(0.0)
    tasks = [run.task for run in runner.run_table.runs.values() if run.task]
    await asyncio.wait(tasks, timeout=1.0)
    assert len(tasks) > CASES, len(tasks)
    assert not any(t.exception() for t in tasks if t.done() and not t.cancelled())


async def test_any_message_leaves_an_outgoing_link_and_its_node_usable():
    """Guards against a message of one peer that fails each choice of an instance."""
    entries: list[Entries] = []
    link = OutgoingLink(HELLO, "10.0.0.2", 1, lambda _, e: entries.append(e), lambda *_: None)
    views, numbers = InstanceViews(), itertools.count()
    for sent in generated_messages():
        message = await read(sent)
        if message is None:
            continue
        number = getattr(message, "number", next(numbers))
        future = asyncio.get_running_loop().create_future()
        link.pending[number] = PendingRequest(SUBMIT, future, "e", lambda: False, 1.0)
        try:
            outgoing_messages.handle(message, link)
        except MessageError:
            continue
        finally:
            link.pending.clear()
        if future.done() and not future.cancelled():
            future.exception()
        if link.load is not None:
            views.of("i-1").update_load(link.load, 1.0)
        assert 0 <= views.of("i-1").expected_response_s(2, 0.1, 1.5) < math.inf
        for transfer in (NO_TRANSFER, Transfer(90_000, 1.0, 1.0, 2.0)):
            chosen = choose_instance([LISTED], views, "b", 0.1, Random(1), 1.5, transfer)
            assert chosen is LISTED
        assert views.of("i-1").link_wait(1.5).backlog_s >= 0
        encode(link.known_limit or HELLO)
        assert link.candidate(1.0).rank
    assert link.load is not None and entries


load_tests = function_tests(__name__)
