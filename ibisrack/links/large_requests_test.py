"""Tests of large requests, which are sent to peers in parts."""

import asyncio
from collections.abc import Callable
from contextlib import asynccontextmanager, suppress

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError
from ibisrack.hosting.runner_test import link_of, run_instance
from ibisrack.links.codec import LENGTH_PREFIX_BYTES, decode
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.frames import LINK_ERRORS, read_message, write_message
from ibisrack.links.incoming import handle
from ibisrack.links.messages import (
    Answered,
    BodyPart,
    Cancel,
    Hello,
    Refused,
    Resume,
    Submit,
    Withdraw,
)
from ibisrack.links.outgoing import OutgoingLink
from ibisrack.links.outgoing_test import HOST, link_to
from ibisrack.links.pacer import LinkPacer
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import wait_until

UPLOAD = attrs.evolve(SUBMIT, body=bytes(range(256)) * 1400, remaining_ms=60_000)
HEAD = attrs.evolve(UPLOAD, rank="priority-0", body=b"ab", more=True)
SLOW_LINK_MBPS = 1.0  # The upload takes 3 s.


@attrs.define(eq=False)
class ObservedPacer(LinkPacer):
    """A pacer that tells, when it grants a part, how many bytes it has granted so far."""

    on_granted: Callable[[int], None] = lambda granted_bytes: None
    granted_bytes: int = 0

    def record_written(self, size_bytes: int, now_s: float) -> None:
        """Counts granted bytes."""
        super().record_written(size_bytes, now_s)
        self.granted_bytes += size_bytes
        self.on_granted(self.granted_bytes)


@asynccontextmanager
async def uploading(link_mbps: float = SLOW_LINK_MBPS):
    """Yields a link, the call that uploads, and what the peer has received.

    The peer answers each complete submission, and counts its connections in ``writers``.
    """
    received, writers = [], []

    async def serve(reader, writer):
        writers.append(writer)
        write_message(writer, Hello(HOST, "a", 1000.0))
        with suppress(*LINK_ERRORS, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                received.append(message)
                if isinstance(message, Submit | BodyPart) and not message.more:
                    write_message(writer, Answered(message.number, 200, (), b""))
        writer.transport.abort()

    async with link_to(serve) as link:
        link.pacer = LinkPacer(link_mbps)
        call = asyncio.create_task(link.run(UPLOAD, lambda: False))
        await wait_until(lambda: any(isinstance(message, Submit) for message in received))
        try:
            yield link, call, received, writers
        finally:
            call.cancel()


async def refusal_of(call: asyncio.Task) -> str:
    """Returns the reason for which a request was refused."""
    try:
        async with asyncio.timeout(5.0):
            await call
    except NotRunError as error:
        return error.reason
    raise AssertionError("the request was not refused")


def is_whole(received: list) -> bool:
    return any(isinstance(m, BodyPart) and not m.more for m in received)


async def run_short(link: OutgoingLink) -> None:
    submit = attrs.evolve(SUBMIT, number=link.next_number() + 100, request_id="short")
    assert (await link.run(submit, lambda: False)).status == 200


async def test_a_short_request_is_not_written_behind_the_rest_of_a_large_one():
    """Guards against calls that wait for the whole length of an upload on the same link."""
    async with uploading() as (link, call, received, _):
        await run_short(link)
        assert not is_whole(received)
        assert not call.done()
        assert link.pacer.backlog_s(read_monotonic_s()) > 1.0


async def test_the_parts_of_a_large_request_are_its_body():
    """Guards against parts that are lost, repeated or in another order."""
    async with uploading(link_mbps=1000.0) as (link, call, received, _):
        assert (await call).status == 200
        parts = [m for m in received if isinstance(m, Submit | BodyPart)]
        assert b"".join(part.body for part in parts) == UPLOAD.body
        assert len(parts) == -(-len(UPLOAD.body) // link.pacer.part_bytes)


async def test_a_request_whose_link_breaks_before_its_last_part_has_not_run():
    """Guards against a 502 for an upload that the peer does not have whole."""
    async with uploading() as (link, call, received, writers):
        writers[0].transport.abort()
        assert await refusal_of(call) == Reason.LINK_LOST
        assert not is_whole(received)
        assert not any(isinstance(message, Resume) for message in received)
        # What was not sent is not counted any more.
        await wait_until(lambda: link.pacer.backlog_s(read_monotonic_s()) < 1.0)


async def test_a_withdrawn_or_cancelled_request_is_not_sent_to_its_end():
    """Guards against a run of a request that its sender has called not run."""
    async with uploading() as (link, call, received, _):
        link.withdraw(UPLOAD, is_final=False)
        assert await refusal_of(call) == Reason.WITHDRAWN
        await wait_until(lambda: Cancel(UPLOAD.number) in received)
        await run_short(link)
        assert not isinstance(received[-2], BodyPart)
    async with uploading() as (link, call, received, _):
        call.cancel()
        await wait_until(lambda: Cancel(UPLOAD.number) in received)
        await run_short(link)
        assert not is_whole(received)
        assert not isinstance(received[-2], BodyPart)


async def test_a_request_withdrawn_as_its_last_part_is_granted_is_not_sent_to_its_end():
    """Guards against a last part that is written after the request has ended as not run."""
    async with uploading() as (link, call, received, _):
        withdrawn = attrs.evolve(UPLOAD, number=50, request_id="withdrawn")

        def withdraw_at_end(granted_bytes: int) -> None:
            if granted_bytes >= len(withdrawn.body):
                # Just before the task that sends the part goes on.
                asyncio.get_running_loop().call_soon(link.withdraw, withdrawn, False)

        call.cancel()
        link.pacer = ObservedPacer(1000.0, on_granted=withdraw_at_end)
        assert await refusal_of(asyncio.create_task(link.run(withdrawn, lambda: False))) == (
            Reason.WITHDRAWN
        )
        await run_short(link)
        assert Cancel(withdrawn.number) in received
        assert not is_whole(received)


async def test_a_submission_runs_when_its_body_is_whole():
    """Guards against a run with part of a body, or without the rest."""
    async with run_instance() as (runner, upstream):
        link = link_of(runner)
        handle(HEAD, link)
        handle(BodyPart(HEAD.number, b"c", True), link)
        assert not runner.run_table.runs
        handle(BodyPart(HEAD.number, b"d", False), link)
        assert runner.run_table.runs[HEAD.key].submit.body == b"abcd"
        assert not link.incomplete
        await wait_until(lambda: not runner.run_table.runs or bool(upstream.sent_ids))


async def test_a_resumed_submission_without_its_whole_body_never_runs():
    """Guards against a run, over the old link, of what the peer was told never to have run."""
    async with run_instance() as (runner, upstream):
        old, new = link_of(runner), link_of(runner)
        handle(HEAD, old)
        handle(Resume(HEAD.number, HEAD.request_id, HEAD.attempt), new)
        sent = decode(new.writer.write.call_args.args[0][LENGTH_PREFIX_BYTES:])
        assert sent == Refused(HEAD.number, Reason.NEVER_RECEIVED)
        handle(BodyPart(HEAD.number, b"c", False), old)
        await wait_until(lambda: not old.runs)
        assert not upstream.sent_ids


async def test_a_withdrawn_or_cancelled_submission_is_dropped_with_its_parts():
    """Guards against parts that are held for uploads that never end."""
    async with run_instance() as (runner, upstream):
        link = link_of(runner)
        for message in (Cancel(HEAD.number), Withdraw(HEAD.number)):
            handle(HEAD, link)
            handle(message, link)
            assert not link.incomplete
            handle(BodyPart(HEAD.number, b"c", False), link)
        assert not runner.run_table.runs
        sent = decode(link.writer.write.call_args.args[0][LENGTH_PREFIX_BYTES:])
        assert sent == Refused(HEAD.number, Reason.WITHDRAWN)


load_tests = function_tests(__name__)
