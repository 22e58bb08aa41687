"""Tests of the instances to which the dispatcher sends suspects."""

from collections import Counter
from random import Random
from unittest.mock import Mock

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s
from ibisrack.dispatch.attempts import Attempts
from ibisrack.dispatch.budget import ServiceRetryBudgets
from ibisrack.dispatch.dispatcher import Dispatcher, to_reply
from ibisrack.dispatch.recorder import RequestRecorder
from ibisrack.dispatch.replies import Refusal
from ibisrack.dispatch.request import Request
from ibisrack.dispatch.selection import (
    MAX_INSTANCES_TRIED,
    MAX_TRIED_IN_SUBSET,
    InstanceSelector,
)
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links.messages import Load, Submit
from ibisrack.links.pacer import LinkPacer
from ibisrack.metrics.tally import Tally
from ibisrack.registry.messages import NO_REVISION
from ibisrack.registry.view import RegistryView
from ibisrack.routing.model import RoutePart
from ibisrack.routing.splits import Splitter
from ibisrack.suspects.exchange import SuspectExchange
from ibisrack.suspects.messages import CrashReport, RunCompleted
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import capture_log, instance, route

COUNT = 6
CRASHED = UnknownOutcomeError(Reason.INSTANCE_CRASHED)


@attrs.define(eq=False)
class ScriptedDestination:
    """Nodes whose attempts all have one result.

    Attributes:
      result: The result.
      load: Last reported load.
      submits: The submissions.
      before_result: Called with each submission before its result.
    """

    result: Answer | Exception
    load: None = None
    submits: list[Submit] = attrs.field(factory=list)
    before_result: Mock = attrs.field(factory=Mock)

    def next_number(self) -> int:
        """Returns a number for a submission."""
        return len(self.submits)

    async def run(self, submit, may_leave):
        """Ends an attempt with the result."""
        self.submits.append(submit)
        self.before_result(submit)
        raise self.result


def dispatcher(
    seed: int = 1, result: Exception = CRASHED
) -> tuple[Dispatcher, ScriptedDestination]:
    """Returns a dispatcher with instances whose attempts all end with a result."""
    directory, destination = InstanceDirectory(), ScriptedDestination(result)
    for number in range(COUNT):
        directory.put(instance(f"i-{number}", host=f"10.0.0.{number + 1}"))
    budget = ServiceRetryBudgets(0.0, 100.0, 10.0)
    suspects = SuspectExchange()
    selector = InstanceSelector(
        "a", directory, lambda _: destination.load, Random(seed), suspects=suspects
    )
    sender = Dispatcher(
        Mock(),
        selector,
        lambda _: destination,
        budget,
        lambda: 0.0,
        Mock(),
        Mock(),
        suspects=suspects,
    )
    return sender, destination


def request(path: str = "/notices/a") -> Request:
    now_s = read_monotonic_s()
    return Request("q", "GET", "desk.example", path, (), b"", "shop", now_s, now_s + 5.0)


def attempts(sender: Dispatcher) -> Attempts:
    now_s = read_monotonic_s()
    return Attempts(route(max_attempts=5), "desk", now_s + 5.0, now_s + 1.0, sender.budget)


def report(sender: Dispatcher, name: str, *suspects: Request) -> None:
    """Reports a crash of an instance under some requests."""
    fingerprints = tuple(each.fingerprint for each in suspects)
    sender.suspects.receive(CrashReport(name, 0, fingerprints, (), 0), None)


async def test_all_senders_send_a_suspect_to_the_same_instance():
    """Guards against a suspect that runs at several instances at a time."""
    homes = set()
    for seed in range(20):
        sender, destination = dispatcher(seed, NotRunError(Reason.DEADLINE))
        report(sender, "gone", request())
        await sender._attempt_all(request(), attempts(sender))
        homes |= {submit.instance_id for submit in destination.submits}
    assert len(homes) == 1


async def test_a_suspect_of_two_crashes_is_not_tried_at_another_instance():
    """Guards against one attempt of a caller that ends instance after instance."""
    sender, destination = dispatcher()
    destination.before_result = lambda submit: report(sender, submit.instance_id, request())
    await sender._attempt_all(request(), attempts(sender))
    assert len(destination.submits) == 2


async def test_a_suspect_is_not_taken_elsewhere_while_its_node_is_lost():
    """Guards against two runs of a suspect at a time."""
    sender, _ = dispatcher()
    assert sender._may_leave(request(), attempts(sender), {"i-1"})
    report(sender, "gone", request())
    assert not sender._may_leave(request(), attempts(sender), {"i-1"})
    sender.suspects.receive(RunCompleted(request().fingerprint), None)
    assert sender._may_leave(request(), attempts(sender), {"i-1"})


async def test_crashed_instances_get_no_requests():
    """Guards against requests to entries whose instances have ended."""
    sender, destination = dispatcher(result=NotRunError(Reason.UPSTREAM_UNREACHABLE))
    for number in range(1, COUNT):
        report(sender, f"i-{number}")
    await sender._attempt_all(request(), attempts(sender))
    assert [submit.instance_id for submit in destination.submits] == ["i-0"]


async def test_a_request_leaves_the_subset_when_it_is_refused_there():
    """Guards against refusals by a busy subset while other instances are free."""
    sender, destination = dispatcher(result=NotRunError(Reason.UPSTREAM_UNREACHABLE))
    for number in range(60):
        sender.selector.directory.put(instance(f"i-{number}", host=f"10.0.0.{number + 1}"))
    await sender._attempt_all(request(), attempts(sender))
    tried = [submit.instance_id for submit in destination.submits]
    listed = sender.selector.directory.of_service("desk")
    subset = {each.instance_id for each in sender.selector.subsets.of("desk", listed, "a")}
    assert set(tried[:MAX_TRIED_IN_SUBSET]) <= subset
    assert len(tried) == MAX_INSTANCES_TRIED
    assert not set(tried) <= subset, tried


async def test_other_instances_are_used_when_the_subset_does_not_accept():
    """Guards against a refusal while all instances of the subset drain by their own report."""
    sender, destination = dispatcher(result=NotRunError(Reason.DEADLINE))
    for number in range(60):
        sender.selector.directory.put(instance(f"i-{number}", host=f"10.0.0.{number + 1}"))
    subset = sender.selector.subsets.of("desk", sender.selector.directory.of_service("desk"), "a")
    draining = Load(0, 0, 2, 1.0, False, NO_REVISION, False, True)
    sender.selector.load_of = lambda listed: draining if listed in subset else None
    await sender._attempt_all(request(), attempts(sender))
    assert len(destination.submits) == 1


async def test_a_request_that_waited_for_its_turn_counts_for_the_budget_when_it_starts():
    """Guards against a window of the budget whose buckets are not in the order of time."""
    sender, _ = dispatcher(result=NotRunError(Reason.DEADLINE))
    now_s = read_monotonic_s()
    sender.budget.configure(ratio=1.0, slack=0.0, window_s=10.0, now_s=now_s)
    for _ in range(2):
        waited = attrs.evolve(request(), received_at_s=now_s - 5.0)
        await sender._reply(waited, attempts(sender))
    assert sender.budget.spend("desk", now_s + 8.0)


def refusal(sender: Dispatcher, result: NotRunError) -> Refusal:
    """Returns the reply for a caller whose request ended with a result."""
    return to_reply(result, sender, attempts(sender))


async def test_full_links_are_tried_elsewhere_and_the_caller_waits_for_the_first_free_one():
    """Guards against a caller that comes back while all links are still full."""
    sender, destination = dispatcher(result=NotRunError(Reason.LINK_FULL))
    for number in range(COUNT):
        load = Load(0, 0, 2, 1.0, True, NO_REVISION, True, True, link_mbps=16.0)
        full = attrs.evolve(load, link_backlog_ms=3000 - 300 * number)
        sender.selector.views.of(f"i-{number}").update_load(full, read_monotonic_s())
    result = await sender._attempt_all(request(), attempts(sender))
    assert len(destination.submits) == COUNT
    reply = refusal(sender, result)
    assert reply.reason == Reason.LINK_FULL
    assert 1.0 < reply.retry_after_s <= 1.5


async def test_a_request_that_full_instances_refuse_is_refused_early():
    """Guards against attempts at full instances, which cost more processor time than a run."""
    sender, destination = dispatcher(result=NotRunError(Reason.TOO_BUSY))
    destination.load = Load(2, 8, 2, 400.0, True, NO_REVISION, True, True)
    made = attempts(sender)
    result = await sender._attempt_all(request(), made)
    assert len(destination.submits) == 1
    assert made.search.spared_attempts == COUNT - 1
    reply = to_reply(result, sender, made)
    assert reply.reason == Reason.TOO_BUSY
    # The queue of 1.8 s, spread, instead of a quarter of the target of 0.5 s.
    assert 0.9 <= reply.retry_after_s <= 2.7
    recorder = RequestRecorder(Tally(), RegistryView())
    with capture_log() as log:
        recorder.record(request(), made, 1, reply, read_monotonic_s())
    (line,) = log
    assert line.spared_attempts == recorder.spared_attempts == COUNT - 1
    assert line.capacity_wait_ms > 1000
    assert line.capacity_age_ms >= 0
    assert recorder.early_refusals == 1


async def test_refusals_for_other_reasons_are_taken_to_other_full_instances():
    """Guards against fewer attempts when instances drain or can't be reached."""
    sender, destination = dispatcher(result=NotRunError(Reason.UPSTREAM_UNREACHABLE))
    destination.load = Load(2, 8, 2, 400.0, True, NO_REVISION, True, True)
    await sender._attempt_all(request(), attempts(sender))
    assert len(destination.submits) == COUNT


async def test_a_body_that_the_own_link_cannot_send_in_time_is_refused_at_once():
    """Guards against uploads that are sent although they arrive after their deadline."""
    sender, destination = dispatcher(result=NotRunError(Reason.TOO_BUSY))
    sender.pacer = LinkPacer(8.0)
    upload = attrs.evolve(request(), body=bytes(6_000_000))
    # On an idle link, even such a body is tried.
    await sender._attempt_all(upload, attempts(sender))
    assert len(destination.submits) == COUNT
    sender.pacer.expect(900_000)
    result = await sender._attempt_all(upload, attempts(sender))
    assert len(destination.submits) == COUNT
    assert refusal(sender, result) == Refusal(Reason.UPLINK_FULL, 1.0)
    await sender._attempt_all(request(), attempts(sender))
    assert len(destination.submits) == 2 * COUNT
    sender.selector.views.own_host = "10.0.0.2"  # The instance there needs no link.
    await sender._attempt_all(upload, attempts(sender))
    assert destination.submits[2 * COUNT].instance_id == "i-1"


async def test_refusals_by_a_part_of_a_split_do_not_shift_the_weights():
    """Guards against requests that move to another part while one is short of capacity."""
    parts = (RoutePart("desk", 7), RoutePart("docs", 3))
    tried, rng = Counter(), Random(3)
    for node in range(30):
        sender, destination = dispatcher(node, UnknownOutcomeError(Reason.DEADLINE))
        sender.splitter = Splitter(rng.random())
        for number in range(COUNT):
            listed = instance(f"d-{number}", host=f"10.0.1.{number}", service="docs")
            sender.selector.directory.put(listed)
        destination.before_result = refuse_docs
        for _ in range(10):
            destination.submits.clear()
            request_attempts = sender._start_attempts(request(), route(parts=parts))
            await sender._attempt_all(request(), request_attempts)
            (service,) = {submit.service for submit in destination.submits}
            assert len(destination.submits) == (1 if service == "desk" else COUNT)
            tried[service] += 1
    assert abs(tried["docs"] / tried.total() - 0.3) < 0.1, tried


def refuse_docs(submit: Submit) -> None:
    """Refuses the submissions to one service, as its instances do that have no room."""
    if submit.service == "docs":
        raise NotRunError(Reason.TOO_BUSY)


load_tests = function_tests(__name__)
