"""Tests of the runs at the node beside an instance, with a link that is lost meanwhile."""

import asyncio
from contextlib import asynccontextmanager

import attrs
from multidict import CIMultiDict

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.messages import Answer
from ibisrack.clocks import read_clocks
from ibisrack.hosting.recorder import SubmissionRecorder
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.hosting.runs import ORPHAN_TIMEOUT_S
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links.codec_test import SUBMIT
from ibisrack.links.messages import Submit
from ibisrack.metrics.tally import Tally
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
    """

    sent_ids: list[str] = attrs.field(factory=list)
    released: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def send(self, submit: Submit, remaining_s: float) -> Answer:
        """Holds a request until the release, then answers it."""
        self.sent_ids.append(submit.request_id)
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
    runner.configure(listed.service, frozenset((0,)))
    yield runner, upstream


async def test_cancelled_orphan_is_logged_with_the_time_without_a_link():
    """Guards against a run that ends without a line that says that nobody waited for it."""
    with capture_log() as log:
        async with run_instance() as (runner, upstream):
            run = runner.start(FIRST)
            await wait_until(lambda: bool(upstream.sent_ids))
            runner.mark_orphaned(run)
            runner.clean_up(read_clocks().monotonic_s + ORPHAN_TIMEOUT_S)
            await runner.result(run)
    lines = {record.getMessage(): record for record in log}
    assert lines["orphaned run cancelled"].started
    assert lines["orphaned run cancelled"].orphaned_ms >= ORPHAN_TIMEOUT_S * 1000
    assert (lines["submission ran"].linked_at_start, lines["submission ran"].linked_at_end) == (
        True,
        False,
    )


load_tests = function_tests(__name__)
