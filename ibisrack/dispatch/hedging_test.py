"""Tests of hedged requests: when a second attempt is sent, and which answer counts."""

import asyncio
import math
from contextlib import suppress
from random import Random
from unittest.mock import Mock

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.retry import Result
from ibisrack.clocks import read_monotonic_s
from ibisrack.dispatch.attempts import Attempts
from ibisrack.dispatch.budget import ServiceRetryBudgets
from ibisrack.dispatch.choice import InstanceView
from ibisrack.dispatch.dispatcher import Dispatcher
from ibisrack.dispatch.hedging import (
    MAX_HEDGED_BYTES,
    MIN_RUNS,
    HedgeOutcome,
    Hedging,
    allows_hedge,
    has_room,
)
from ibisrack.dispatch.request import Request
from ibisrack.dispatch.selection import InstanceSelector
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.links.messages import Load, Submit
from ibisrack.registry.messages import NO_REVISION
from ibisrack.routing.model import Repeats, Route
from ibisrack.suspects.table import CLEAR, Blocked, Suspected
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance, route

IDLE = Load(0, 0, 2, 1.0, True, NO_REVISION, True, True)
ANSWER = Answer(200, {}, b"", ran_s=0.001)
FAILED = Answer(500, {}, b"")


@attrs.define(eq=False)
class HeldDestination:
    """Nodes whose attempts end when the test says so; an attempt is known by its number.

    Attributes:
      results: Result of each attempt, set by the test.
      cancelled: Numbers of the cancelled attempts.
      started: Number of attempts that started.
    """

    results: dict[int, asyncio.Future[Result]] = attrs.field(factory=dict)
    cancelled: list[int] = attrs.field(factory=list)
    started: asyncio.Queue[Submit] = attrs.field(factory=asyncio.Queue)
    load: Load = IDLE

    def next_number(self) -> int:
        """Returns a number for a submission."""
        return len(self.results) + 1

    async def run(self, submit: Submit, may_leave):
        """Waits for the result that the test sets."""
        held = self.results[submit.attempt] = asyncio.get_running_loop().create_future()
        self.started.put_nowait(submit)
        try:
            result = await held
        except asyncio.CancelledError:
            self.cancelled.append(submit.attempt)
            raise
        if isinstance(result, Exception):
            raise result
        return result


def with_tail(hedged_route: Route) -> Hedging:
    """Returns hedging that has seen runs of 1 ms with a tail beyond the target."""
    hedging = Hedging()
    for number in range(MIN_RUNS):
        hedging.record_run(hedged_route, 60.0 if number % 25 == 0 else 0.001)
    return hedging


def dispatcher(hedged_route: Route) -> tuple[Dispatcher, HeldDestination]:
    """Returns a dispatcher with three idle instances and a route with a tail."""
    directory, destination = InstanceDirectory(), HeldDestination()
    for number in range(3):
        directory.put(instance(f"i-{number}", host=f"10.0.0.{number + 1}"))
    budget = ServiceRetryBudgets(0.0, 100.0, 10.0)
    selector = InstanceSelector("a", directory, lambda _: destination.load, Random(1))
    sender = Dispatcher(
        Mock(), selector, lambda _: destination, budget, lambda: 0.0, Mock(), Mock()
    )
    sender.hedging = with_tail(hedged_route)
    return sender, destination


def request() -> Request:
    """Returns a request that has just arrived."""
    now_s = read_monotonic_s()
    return Request("q", "GET", "desk.example", "/a", (), b"", "shop", now_s, now_s + 60.0)


def attempts(sender: Dispatcher, hedged_route: Route) -> Attempts:
    """Returns the attempts of a request that has just arrived."""
    now_s = read_monotonic_s()
    target_at_s = now_s + hedged_route.target_s
    return Attempts(hedged_route, "desk", now_s + 60.0, target_at_s, sender.budget)


LONG_TARGET = route(target_s=30.0)


async def started_pair() -> tuple[Dispatcher, HeldDestination, Attempts, asyncio.Task[Result]]:
    """Returns a hedged request when both attempts have started."""
    sender, destination = dispatcher(LONG_TARGET)
    hedged = attempts(sender, LONG_TARGET)
    running = asyncio.create_task(sender._run_attempts(request(), hedged))
    submits = [await destination.started.get() for _ in range(2)]
    assert submits[0].instance_id != submits[1].instance_id
    # The calls of a second run count towards the budget of the called service.
    assert [submit.is_retry for submit in submits] == [False, True]
    return sender, destination, hedged, running


async def test_the_answer_of_the_second_attempt_counts_if_it_comes_first():
    """Guards against a caller that waits for a slow run although another one has ended."""
    sender, destination, hedged, running = await started_pair()
    destination.results[2].set_result(ANSWER)
    assert await running == ANSWER
    await asyncio.sleep(0)
    assert destination.cancelled == [1]
    assert (sender.hedging.sent, sender.hedging.won, sender.hedging.cancelled) == (1, 1, 0)
    assert hedged.hedge.outcome is HedgeOutcome.WON
    assert hedged.arrivals == 2
    assert not sender.open_attempts


async def test_the_second_attempt_is_cancelled_when_the_first_is_answered():
    """Guards against slots that are held for answers which nobody needs."""
    sender, destination, hedged, running = await started_pair()
    destination.results[1].set_result(ANSWER)
    assert await running == ANSWER
    await asyncio.sleep(0)
    assert destination.cancelled == [2]
    assert (sender.hedging.won, sender.hedging.cancelled) == (0, 1)
    assert hedged.hedge.outcome is HedgeOutcome.CANCELLED


async def test_a_failure_of_one_attempt_leaves_the_other():
    """Guards against an error for the caller while an attempt may still be answered."""
    unknown = UnknownOutcomeError(Reason.CONNECTION_LOST)
    for failure in (NotRunError(Reason.TOO_BUSY), FAILED, unknown):
        for failing, other in ((2, 1), (1, 2)):
            _, destination, _, running = await started_pair()
            destination.results[failing].set_result(failure)
            for _ in range(5):
                await asyncio.sleep(0)
            assert not running.done()
            destination.results[other].set_result(ANSWER)
            assert await running == ANSWER


async def test_two_failed_attempts_count_as_two_arrivals():
    """Guards against a third run on a route that allows two, and against a lost outcome."""
    _, destination, hedged, running = await started_pair()
    destination.results[2].set_result(FAILED)
    await asyncio.sleep(0)
    destination.results[1].set_result(FAILED)
    assert await running == FAILED
    assert hedged.arrivals == 2
    assert len(destination.results) == 2


async def test_cancelling_a_request_cancels_both_attempts():
    """Guards against runs that go on for a caller that has closed its connection."""
    _, destination, _, running = await started_pair()
    running.cancel()
    with suppress(asyncio.CancelledError):
        await running
    await asyncio.sleep(0)
    assert sorted(destination.cancelled) == [1, 2]


async def test_a_request_that_is_answered_in_usual_time_is_sent_once():
    """Guards against second attempts for routes without a tail, and before the delay is over."""
    sender, destination = dispatcher(LONG_TARGET)
    sender.hedging = Hedging()
    running = asyncio.create_task(sender._run_attempts(request(), attempts(sender, LONG_TARGET)))
    await destination.started.get()
    destination.results[1].set_result(ANSWER)
    assert await running == ANSWER
    assert len(destination.results) == 1


async def test_nothing_is_sent_twice_without_leave_to_repeat_it():
    """Guards against second runs beyond the attempts of the route, the budget or the stop."""

    def is_hedged(change=lambda sender: None, **fields) -> bool:
        hedged_route = route(target_s=30.0, **fields)
        sender, _ = dispatcher(hedged_route)
        change(sender)
        return sender._choose_hedge(request(), attempts(sender, hedged_route), {"i-0"}) is not None

    assert is_hedged()
    assert not is_hedged(repeats=Repeats.FORBIDDEN)
    assert not is_hedged(max_attempts=1)
    assert not is_hedged(lambda sender: sender.budget.configure(0.0, 0.0, 10.0, 0.0))
    assert not is_hedged(lambda sender: setattr(sender, "stop", Mock()))
    busy = attrs.evolve(IDLE, busy=2)
    assert not is_hedged(lambda sender: setattr(sender.selector, "load_of", lambda _: busy))


def test_each_second_attempt_is_charged_to_the_budget():
    """Guards against more second attempts than the service's budget of retries allows."""
    budget, hedged_route = ServiceRetryBudgets(0.2, 0.0, 10.0), route()
    for _ in range(100):
        budget.record_request("desk", 1.0)
    sent = sum(Attempts(hedged_route, "desk", 9.0, 5.0, budget).may_hedge(1.0) for _ in range(100))
    assert sent == 15


def test_only_routes_with_a_tail_beyond_the_target_have_a_delay():
    """Guards against second attempts that are not needed, come too late or fill links."""
    hedged_route = route(target_s=0.5)
    hedging = with_tail(hedged_route)
    assert hedging.delay_s(hedged_route, 0.5, 0) == 0.001
    assert hedging.delay_s(hedged_route, 0.0015, 0) is None
    assert hedging.delay_s(hedged_route, 0.5, MAX_HEDGED_BYTES + 1) is None
    assert hedging.delay_s(route(target_s=61.0), 61.0, 0) is None
    assert hedging.delay_s(route("other"), 0.5, 0) is None
    steady = Hedging()
    for _ in range(MIN_RUNS):
        steady.record_run(hedged_route, 0.6)
    assert steady.delay_s(hedged_route, 0.5, 0) is None
    forbidden = route(repeats=Repeats.FORBIDDEN)
    assert with_tail(forbidden).delay_s(forbidden, 0.5, 0) is None


def test_runs_that_were_cut_off_keep_the_tail_visible():
    """Guards against second attempts that hide the tail for which they are sent."""
    hedged_route, hedging = route(target_s=0.5), Hedging()
    for number in range(MIN_RUNS):
        hedging.record_run(hedged_route, math.inf if number % 25 == 0 else 0.001)
    assert hedging.delay_s(hedged_route, 0.5, 0) == 0.001


def test_only_an_instance_that_is_free_by_a_recent_report_gets_a_second_attempt():
    """Guards against second attempts under load, and to instances that are cold or limited."""

    def is_free(now_s: float = 5.0, sent: int = 0, **fields) -> bool:
        view = InstanceView()
        view.update_load(attrs.evolve(IDLE, **fields), 5.0)
        view.sent_since_report = sent
        return has_room(view, 2, now_s)

    assert is_free()
    assert is_free(busy=1)
    assert not is_free(busy=2)
    assert not is_free(busy=1, sent=1)
    assert not is_free(queued=1)
    assert not is_free(now_s=8.0)
    assert not is_free(cold_left_ms=100)
    assert not is_free(limit_per_s=5.0, free_starts=0)
    assert not has_room(InstanceView(), 2, 5.0)


def test_a_suspect_runs_at_one_instance_at_a_time():
    """Guards against a request that ends two instances at the same time."""
    assert allows_hedge(CLEAR, False)
    assert not allows_hedge(CLEAR, True)
    assert not allows_hedge(Suspected(1), False)
    assert not allows_hedge(Blocked(2, 40.0), False)


load_tests = function_tests(__name__)
