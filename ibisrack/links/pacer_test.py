"""Tests of the spacing of large bodies on the host's link."""

import asyncio
from unittest.mock import AsyncMock, Mock

import attrs
from multidict import CIMultiDict

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.messages import Answer
from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.recorder import SubmissionRecorder
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links.codec import LENGTH_PREFIX_BYTES, decode
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.incoming import IncomingLink, handle
from ibisrack.links.messages import Answered, BodyPart, Cancel, Refused, Submit
from ibisrack.links.pacer import (
    MAX_PART_BYTES,
    MIN_PART_BYTES,
    LinkPacer,
    reported_backlog_ms,
)
from ibisrack.metrics.tally import Tally
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance, wait_until

SLOW_LINK_MBPS = 8.0  # About a byte in a microsecond.
LARGE_BODY = bytes(range(256)) * 800
LARGE_BODY_S = len(LARGE_BODY) / 1e6


@attrs.define(eq=False)
class LargeAnswers:
    """An instance with large answers."""

    async def send(self, submit: Submit, remaining_s: float, on_sent) -> Answer:
        """Answers a request."""
        return Answer(200, CIMultiDict(), LARGE_BODY)


def serve_on_slow_link() -> tuple[IncomingLink, list]:
    """Returns a link of a node with a slow network link, and the messages written on it."""
    directory, listed = InstanceDirectory(), instance(SUBMIT.instance_id, slots=4)
    listed = attrs.evolve(listed, service=SUBMIT.service)
    directory.put(listed)
    address = (listed.host, listed.port)
    recorder, gate = SubmissionRecorder(Tally()), Gate(Scheduler(4))
    runner = InstanceRunner(address, gate, LargeAnswers(), directory, recorder)
    runner.configure(listed.service, frozenset((0,)))
    written: list = []
    writer = Mock(drain=AsyncMock())
    writer.is_closing.return_value = False
    writer.write.side_effect = lambda frame: written.append(decode(frame[LENGTH_PREFIX_BYTES:]))
    pacer = LinkPacer(SLOW_LINK_MBPS)
    link = IncomingLink(
        runner, lambda: None, lambda revision: None, writer, "10.0.0.2", pacer=pacer
    )
    return link, written


async def test_a_short_answer_is_not_written_behind_the_rest_of_large_ones():
    """Guards against requests whose refusals wait in the host's queue behind downloads."""
    link, written = serve_on_slow_link()
    for number in (1, 2):
        handle(attrs.evolve(SUBMIT, number=number, request_id=f"large-{number}"), link)
    await wait_until(lambda: bool(written))
    handle(attrs.evolve(SUBMIT, number=3, request_id="other", instance_id="i-other"), link)
    await wait_until(lambda: not link.runs)
    refused_at = next(n for n, message in enumerate(written) if isinstance(message, Refused))
    assert sum(isinstance(m, BodyPart) for m in written[refused_at:]) > 10
    for number in (1, 2):
        parts = [m for m in written if isinstance(m, Answered | BodyPart) and m.number == number]
        assert b"".join(part.body for part in parts) == LARGE_BODY
        assert [part.more for part in parts] == [True] * (len(parts) - 1) + [False]


async def test_a_large_answer_that_nobody_waits_for_is_not_written_to_its_end():
    """Guards against a link that is busy with the rest of abandoned downloads."""
    link, written = serve_on_slow_link()
    handle(attrs.evolve(SUBMIT, number=1), link)
    await wait_until(lambda: bool(written))
    handle(Cancel(1), link)
    await asyncio.sleep(LARGE_BODY_S)
    assert len(written) < len(LARGE_BODY) / link.pacer.part_bytes / 2


async def test_large_answers_are_written_one_after_the_other():
    """Guards against answers that take turns, so that each is as late as the last one."""
    link, written = serve_on_slow_link()
    for number in (1, 2):
        handle(attrs.evolve(SUBMIT, number=number, request_id=f"large-{number}"), link)
    started_at_s = read_monotonic_s()
    await wait_until(lambda: not link.runs)
    numbers = [message.number for message in written]
    assert numbers == sorted(numbers)
    assert read_monotonic_s() - started_at_s > 1.5 * LARGE_BODY_S


async def test_an_answer_that_is_not_sent_to_its_end_does_not_delay_the_next():
    """Guards against a link that counts as busy with what peers have cancelled."""
    pacer = LinkPacer(SLOW_LINK_MBPS)
    abandoned = pacer.open_stream(50 * len(LARGE_BODY))
    await abandoned.wait_for_part(pacer.part_bytes)
    waiting = asyncio.create_task(abandoned.wait_for_part(pacer.part_bytes))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.wait((waiting,))
    abandoned.close()
    assert pacer.backlog_s(read_monotonic_s()) < 2 * pacer.part_bytes / pacer.rate_bytes_per_s
    async with asyncio.timeout(2 * LARGE_BODY_S):
        await pacer.open_stream(len(LARGE_BODY)).wait_for_part(pacer.part_bytes)


async def test_answers_on_a_free_link_do_not_wait():
    """Guards against latency that pacing adds where the link has room."""
    pacer = LinkPacer(1000.0)
    stream = pacer.open_stream(len(LARGE_BODY))
    turns = 0
    while stream.unwritten_bytes:
        turn = asyncio.ensure_future(
            stream.wait_for_part(min(pacer.part_bytes, stream.unwritten_bytes))
        )
        for _ in range(3):  # Turns of the event loop, of which none waits for a clock.
            await asyncio.sleep(0)
        assert turn.done()
        turns += 1
    assert turns == -(-len(LARGE_BODY) // pacer.part_bytes)


async def test_a_short_body_passes_a_long_one_that_began_before_it():
    """Guards against a page that waits for the whole length of a download."""
    pacer, order = LinkPacer(SLOW_LINK_MBPS), []

    async def send(name: str, size_bytes: int) -> None:
        stream = pacer.open_stream(size_bytes)
        while stream.unwritten_bytes:
            await stream.wait_for_part(min(pacer.part_bytes, stream.unwritten_bytes))
        order.append(name)
        stream.close()

    async with asyncio.TaskGroup() as group:
        for name, size_bytes in (("long", 300_000), ("short", 20_000)):
            group.create_task(send(name, size_bytes))
    assert order == ["short", "long"]


async def test_a_body_whose_peer_does_not_take_it_leaves_the_link_to_others():
    """Guards against one stalled peer that stops the large bodies of all others."""
    pacer = LinkPacer(SLOW_LINK_MBPS)
    stalled, other = pacer.open_stream(100_000), pacer.open_stream(200_000)
    await stalled.wait_for_part(pacer.part_bytes)  # It does not ask for another part.
    async with asyncio.timeout(2 * LARGE_BODY_S):
        while other.unwritten_bytes:
            await other.wait_for_part(min(pacer.part_bytes, other.unwritten_bytes))


def test_the_backlog_counts_what_is_written_waiting_and_expected():
    """Guards against a link that seems idle while accepted requests will fill it."""
    pacer = LinkPacer(SLOW_LINK_MBPS)
    rate = pacer.rate_bytes_per_s
    assert pacer.backlog_s(1.0) == 0.0
    pacer.record_written(90_000, 1.0)
    pacer.expect(180_000)
    stream = pacer.open_stream(270_000)
    assert round(pacer.backlog_s(1.0) * rate) == 540_000
    assert round(pacer.backlog_s(1.0 + 90_000 / rate) * rate) == 450_000
    assert round(pacer.backlog_s(9.0) * rate) == 450_000
    assert round(pacer.sending_s(100_000, 9.0) * rate) == 550_000
    assert pacer.sending_s(pacer.part_bytes, 9.0) == 0.0
    stream.close()
    pacer.expect(-180_000)
    assert pacer.backlog_s(9.0) == 0.0


def test_a_fast_link_reports_no_backlog():
    """Guards against a load report with each answer, because of a few microseconds of backlog."""
    pacer = LinkPacer(1000.0)
    pacer.record_written(10 * MAX_PART_BYTES, 1.0)
    assert reported_backlog_ms(pacer.backlog_s(1.0)) == 0
    assert reported_backlog_ms(0.0199) == 0
    assert reported_backlog_ms(0.137) == 130


def test_parts_are_as_large_as_the_link_sends_in_a_few_milliseconds():
    """Guards against parts that delay short messages, and against many small ones."""
    assert LinkPacer(0.1).part_bytes == MIN_PART_BYTES
    assert MIN_PART_BYTES < LinkPacer(50.0).part_bytes < MAX_PART_BYTES
    assert LinkPacer(1000.0).part_bytes == MAX_PART_BYTES


load_tests = function_tests(__name__)
