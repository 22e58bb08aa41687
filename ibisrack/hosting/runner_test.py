"""Tests of the runs at the node beside an instance, with a link that is lost meanwhile."""

import asyncio
from contextlib import asynccontextmanager
from unittest.mock import Mock, patch

import attrs
from multidict import CIMultiDict

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.hosting.coldness import Doubt
from ibisrack.hosting.crashes import Crash
from ibisrack.hosting.recorder import SubmissionRecorder
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.hosting.runs import ORPHAN_TIMEOUT_S, RESULT_TTL_S
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links.codec import LENGTH_PREFIX_BYTES, decode
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.incoming import IncomingLink, handle
from ibisrack.links.messages import OutcomeUnknown, Resume, Submit
from ibisrack.memory.in_flight import SMALL_BODY_BYTES
from ibisrack.metrics.tally import Tally
from ibisrack.suspects.fingerprint import fingerprint_of
from ibisrack.suspects.messages import CrashReport, RunCompleted
from ibisrack.suspects.table import Suspected
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import capture_log, instance, wait_until

FIRST = attrs.evolve(SUBMIT, request_id="first", remaining_target_ms=800, initial_target_ms=800)
SECOND = attrs.evolve(FIRST, request_id="second")


@attrs.define(eq=False)
class HeldUpstream:
    """An instance that answers no request before it is released.

    Attributes:
      sent_ids: Ids of the requests that were sent to it.
      released: Whether requests are answered.
      replaced: Whether another process answers in its place.
    """

    sent_ids: list[str] = attrs.field(factory=list)
    released: asyncio.Event = attrs.field(factory=asyncio.Event)
    replaced: bool = False

    async def send(self, submit: Submit, remaining_s: float, on_sent) -> Answer:
        """Holds a request until the release, then answers it."""
        self.sent_ids.append(submit.request_id)
        if self.replaced:
            raise NotRunError(Reason.MISDIRECTED)
        await self.released.wait()
        return Answer(200, CIMultiDict(), b"")


@asynccontextmanager
async def run_instance(slots: int = 1):
    """Yields the runner of an instance with one slot, and its upstream."""
    directory, upstream = InstanceDirectory(), HeldUpstream()
    listed = instance("i-1", slots=slots)
    directory.put(listed)
    runner = InstanceRunner(
        (listed.host, listed.port),
        Gate(Scheduler(slots)),
        upstream,
        directory,
        SubmissionRecorder(Tally()),
    )
    runner.suspects.on_verdict = runner.quarantine.apply_verdict
    runner.configure(listed.service, frozenset((0,)))
    yield runner, upstream


def link_of(runner: InstanceRunner) -> IncomingLink:
    """Returns an incoming link whose connection leads nowhere."""
    writer = Mock()
    writer.is_closing.return_value = False
    return IncomingLink(runner, lambda: None, lambda revision: None, writer, "10.0.0.2")


async def test_cancelled_orphan_is_logged_with_the_time_without_a_link():
    """Guards against a run that ends without a line that says that nobody waited for it."""
    with capture_log() as log:
        async with run_instance() as (runner, upstream):
            run = runner.start(FIRST)
            await wait_until(lambda: bool(upstream.sent_ids))
            runner.mark_orphaned(run)
            runner.clean_up(read_monotonic_s() + ORPHAN_TIMEOUT_S)
            await runner.result(run)
    lines = {record.getMessage(): record for record in log}
    assert lines["orphaned run cancelled"].orphaned_ms >= ORPHAN_TIMEOUT_S * 1000
    assert (lines["submission ran"].linked_at_start, lines["submission ran"].linked_at_end) == (
        True,
        False,
    )


async def test_waiting_run_without_a_link_gets_no_slot():
    """Guards against a run whose sender may have answered its caller already."""
    async with run_instance() as (runner, upstream):
        first, second = runner.start(FIRST), runner.start(SECOND)
        await wait_until(lambda: runner.gate.load().queued == 1)
        runner.mark_orphaned(second)
        upstream.released.set()
        await runner.result(first)
        result = await runner.result(second)
        assert upstream.sent_ids == ["first"]
        assert isinstance(result, NotRunError)


async def test_waiting_run_whose_link_stays_away_is_refused():
    """Guards against an unknown outcome of a request that only waited."""
    async with run_instance() as (runner, upstream):
        runner.start(FIRST)
        second = runner.start(SECOND)
        await wait_until(lambda: runner.gate.load().queued == 1)
        runner.mark_orphaned(second)
        runner.clean_up(read_monotonic_s() + ORPHAN_TIMEOUT_S)
        assert isinstance(await runner.result(second), NotRunError)


async def test_end_of_an_old_link_does_not_orphan_a_run_of_the_new_one():
    """Guards against cancelling a run for which a link waits."""
    async with run_instance() as (runner, upstream):
        run = runner.start(FIRST)
        old, new = link_of(runner), link_of(runner)
        old.attach(1, run)
        new.attach(1, runner.resume(FIRST.key))
        ended = asyncio.StreamReader()
        ended.feed_eof()
        await old.serve(ended)
        assert run.orphaned_at_s is None


async def test_run_whose_result_is_no_longer_kept_is_not_reported_as_not_run():
    """Guards against a 503 for a request that has run."""
    async with run_instance() as (runner, upstream):
        upstream.released.set()
        run = runner.start(FIRST)
        await runner.result(run)
        runner.clean_up(run.ended_at_s + RESULT_TTL_S)
        link = link_of(runner)
        handle(Resume(1, *FIRST.key), link)
        await asyncio.sleep(0)
        (frame,) = link.writer.write.call_args.args
        assert decode(frame[LENGTH_PREFIX_BYTES:]) == OutcomeUnknown(1, Reason.ANSWER_NOT_KEPT)


async def test_body_of_a_request_is_not_kept_with_its_result():
    """Guards against memory that grows with the bodies of finished requests."""
    async with run_instance() as (runner, upstream):
        upstream.released.set()
        run = runner.start(FIRST)
        await runner.result(run)
        assert run.submit.body == b""
        assert run.submit.key == FIRST.key


async def test_second_arrival_of_a_submission_is_not_reported_as_not_run():
    """Guards against a refusal of a request that is running or has run."""
    async with run_instance() as (runner, upstream):
        runner.start(FIRST)
        again = runner.start(FIRST)
        assert isinstance(await runner.result(again), UnknownOutcomeError)
        upstream.released.set()
        await wait_until(lambda: not runner.gate.load().busy)
        assert upstream.sent_ids == ["first"]


async def test_run_that_is_cancelled_before_it_begins_is_forgotten():
    """Guards against runs, with their bodies, that stay in memory when a cancel comes at once."""
    async with run_instance() as (runner, _):
        run = runner.start(attrs.evolve(FIRST, body=b"large"))
        runner.cancel(run)
        await runner.result(run)
        await asyncio.sleep(0)
        assert not run.submit.body
        runner.clean_up(read_monotonic_s() + RESULT_TTL_S + 1)
        assert not runner.run_table.runs


async def test_an_instance_in_whose_place_another_process_answers_gets_no_more_requests():
    """Guards against attempts at a listed instance that has ended, one for each request."""
    async with run_instance() as (runner, upstream):
        upstream.replaced = True
        refused = await runner.result(runner.start(FIRST))
        assert (refused.reason, upstream.sent_ids) == (Reason.MISDIRECTED, ["first"])
        assert not runner.accepts_requests
        refused = await runner.result(runner.start(SECOND))
        assert (refused.reason, upstream.sent_ids) == (Reason.NO_INSTANCE, ["first"])


async def test_an_instance_that_started_anew_under_its_id_gets_requests():
    """Guards against an answer to an earlier start that takes the next one out of use."""
    async with run_instance() as (runner, upstream):
        upstream.replaced = True
        await runner.result(runner.start(FIRST))
        runner.directory.put(attrs.evolve(runner.instance, started_at_ms=1))
        assert runner.accepts_requests
        upstream.replaced = False
        upstream.released.set()
        assert isinstance(await runner.result(runner.start(SECOND)), Answer)


def suspect(runner: InstanceRunner, number: int = 9) -> None:
    """Makes the requests of these tests suspects, by a crash of another instance."""
    runner.suspects.receive(CrashReport(f"i-{number}", 1, (fingerprint_of(FIRST),), (), 0), None)


async def test_suspects_run_one_at_a_time_until_one_of_them_is_answered():
    """Guards against suspects side by side, and against turns for requests that are cleared."""
    async with run_instance(slots=8) as (runner, upstream):
        suspect(runner)
        runs = [runner.start(attrs.evolve(FIRST, request_id=f"r-{n}")) for n in range(6)]
        await wait_until(lambda: bool(upstream.sent_ids))
        await asyncio.sleep(0.02)
        assert upstream.sent_ids == ["r-0"]
        assert runs[0].quarantined
        runner.suspects.receive(RunCompleted(fingerprint_of(FIRST)), None)
        await wait_until(lambda: len(upstream.sent_ids) == 6)
        assert not any(run.quarantined for run in runs[1:])
        upstream.released.set()
        for run in runs:
            assert isinstance(await runner.result(run), Answer)


async def test_a_request_that_became_a_suspect_in_the_queue_takes_its_turn():
    """Guards against a suspect that runs beside others because it waited before the crash."""
    async with run_instance() as (runner, upstream):
        first, second = runner.start(FIRST), runner.start(SECOND)
        await wait_until(lambda: runner.gate.load().queued == 1)
        suspect(runner)
        turn = runner.quarantine.hold_turn("other", b"o" * 16, read_monotonic_s() + 5.0)
        async with turn:
            runner.cancel(first)
            await runner.result(first)
            await asyncio.sleep(0.02)
            assert upstream.sent_ids == ["first"]
        await wait_until(lambda: upstream.sent_ids == ["first", "second"])
        assert second.quarantined


async def test_waiting_suspects_are_refused_when_the_instance_drains_or_their_sender_leaves():
    """Guards against suspects that wait at an instance that accepts no more requests."""
    async with run_instance(slots=8) as (runner, _):
        suspect(runner)
        names = ("first", "withdrawn", "waiting")
        runs = [runner.start(attrs.evolve(FIRST, request_id=name)) for name in names]
        await wait_until(lambda: runs[0].quarantined)
        runner.refuse("withdrawn", Reason.WITHDRAWN)
        assert (await runner.result(runs[1])).reason == Reason.WITHDRAWN
        runner.refuse_waiting()
        assert (await runner.result(runs[2])).reason == Reason.DRAINING


async def test_a_crash_refuses_what_waits_beside_the_instance():
    """Guards against requests that wait for the turn or the slot of an instance that has ended."""
    async with run_instance() as (runner, _):
        suspect(runner)
        in_slot = runner.start(FIRST)
        await wait_until(lambda: in_slot.quarantined)
        in_quarantine = runner.start(SECOND)
        in_queue = runner.start(attrs.evolve(FIRST, request_id="other", target="/other"))
        await wait_until(lambda: runner.gate.load().queued == 1)
        runner._handle_crash(Crash(runner.instance, ()))
        for run in (in_quarantine, in_queue):
            assert (await runner.result(run)).reason == Reason.UPSTREAM_UNREACHABLE
        late = runner.start(attrs.evolve(FIRST, request_id="late", target="/other"))
        assert (await runner.result(late)).reason == Reason.UPSTREAM_UNREACHABLE
        assert not runner.accepts_requests


async def test_a_run_that_is_cancelled_during_the_check_for_a_crash_is_reported():
    """Guards against a deadly request that escapes because its caller left in that moment."""
    async with run_instance() as (runner, upstream):
        run = runner.start(attrs.evolve(FIRST, body=b"deadly"))
        await wait_until(lambda: bool(upstream.sent_ids))
        submit = run.submit
        with patch("ibisrack.hosting.crashes._refuses_connections") as probe:
            probed = asyncio.Event()

            async def refuse(host, port):
                await probed.wait()
                return True

            probe.side_effect = refuse
            check = asyncio.create_task(runner.crash_detector.has_crashed(runner.instance))
            await asyncio.sleep(0)
            runner.cancel(run)
            await runner.result(run)
            await asyncio.sleep(0)
            assert not run.submit.body
            probed.set()
            assert await check
        assert runner.suspects.verdict(submit) == Suspected(1)


def evacuate(runner: InstanceRunner) -> None:
    """Evacuates the zone of the instance."""
    runner.directory.begin_evacuation(runner.instance.zone)
    runner.update_evacuation(1.0)


async def test_an_evacuation_refuses_what_waits_and_what_arrives_but_not_what_runs():
    """Guards against requests that wait for an evacuated instance, and runs that are broken off."""
    async with run_instance() as (runner, upstream):
        suspect(runner)
        running = runner.start(FIRST)
        await wait_until(lambda: running.quarantined)
        in_quarantine = runner.start(SECOND)
        in_queue = runner.start(attrs.evolve(FIRST, request_id="other", target="/other"))
        await wait_until(lambda: runner.gate.load().queued == 1)
        evacuate(runner)
        late = runner.start(attrs.evolve(FIRST, request_id="late", target="/other"))
        for run in (in_quarantine, in_queue, late):
            assert (await runner.result(run)).reason == Reason.EVACUATED
        assert not runner.accepts_requests
        upstream.released.set()
        assert isinstance(await runner.result(running), Answer)
        assert upstream.sent_ids == ["first"]


async def test_a_request_whose_body_waits_is_refused_when_it_is_withdrawn():
    """Guards against an upload that runs after its sender has withdrawn it."""
    async with run_instance() as (runner, upstream):
        runner.bodies_in_flight.limit_bytes = 1
        body = bytes(SMALL_BODY_BYTES + 1)
        first = runner.start(attrs.evolve(FIRST, body=body))
        second = runner.start(attrs.evolve(SECOND, body=body))
        await wait_until(lambda: runner.bodies_in_flight.waiting == 1)
        runner.refuse(SECOND.request_id, Reason.WITHDRAWN)
        await wait_until(lambda: second.task.done())
        assert (await runner.result(second)).reason == Reason.WITHDRAWN
        upstream.released.set()
        assert isinstance(await runner.result(first), Answer)


async def test_a_request_that_gets_its_slot_in_the_moment_of_an_evacuation_is_not_sent():
    """Guards against a request that waited in the queue until after the evacuation."""
    async with run_instance() as (runner, upstream):
        first, second = runner.start(FIRST), runner.start(SECOND)
        await wait_until(lambda: runner.gate.load().queued == 1)
        upstream.released.set()
        first.task.add_done_callback(lambda task: evacuate(runner))
        runner.directory.begin_evacuation("a")
        assert (await runner.result(second)).reason == Reason.EVACUATED
        assert upstream.sent_ids == ["first"]


async def test_the_end_of_an_evacuation_is_recorded_and_the_instance_is_used_again():
    """Guards against an instance that stays unused, or that gets its full load at once."""
    async with run_instance() as (runner, upstream):
        upstream.released.set()
        runner.update_evacuation(0.5)
        assert runner.cold_starts.coldness.doubt is not Doubt.EVACUATION_ENDED
        evacuate(runner)
        listed = runner.instance
        runner.directory.remove(listed.instance_id, 10.0)
        runner.directory.end_evacuation(listed.zone)
        runner.update_evacuation(11.0)
        assert runner.cold_starts.coldness.doubt is not Doubt.EVACUATION_ENDED
        runner.directory.put(listed)
        runner.update_evacuation(12.0)
        runner.update_evacuation(13.0)
        coldness = runner.cold_starts.coldness
        assert (coldness.doubt, coldness.doubt_at_s) == (Doubt.EVACUATION_ENDED, 12.0)
        assert isinstance(await runner.result(runner.start(FIRST)), Answer)


load_tests = function_tests(__name__)
