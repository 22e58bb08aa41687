"""Tests of the bound and the pace beside an instance, and of its health checks."""

import asyncio

import attrs

from ibisrack.calls.admission import Scheduler
from ibisrack.calls.gate import Gate
from ibisrack.calls.start_window import WINDOW_S, StartWindow
from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.cold_starts import ColdStarts
from ibisrack.hosting.coldness import MAX_CHECKS, Doubt, HealthAnswer
from ibisrack.hosting.recorder import SubmissionRecorder
from ibisrack.metrics.tally import Tally
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import capture_log, instance, wait_until

BOUND = 17
SLOTS = 5


@attrs.define(eq=False)
class FakeHealth:
    """Health answers of an instance.

    Attributes:
      answer: The next answers.
      paths: Paths that were asked for.
    """

    answer: HealthAnswer = HealthAnswer(True, 0.0)
    paths: list[str] = attrs.field(factory=list)

    async def check(self, path: str) -> HealthAnswer:
        self.paths.append(path)
        return self.answer


def started(health: FakeHealth, now_s: float, bound: int | None = BOUND) -> ColdStarts:
    """Returns the state of a node that has just started and reads its first configuration."""
    gate = Gate(Scheduler(SLOTS, start_window=StartWindow(now_s)))
    cold_starts = ColdStarts(gate, SubmissionRecorder(Tally()), health.check)
    cold_starts.configure(bound, "/healthz", now_s)
    cold_starts.observe_entry(instance(started_at_ms=5, sequence=3), now_s)
    return cold_starts


def send(cold_starts: ColdStarts, number: int, now_s: float) -> None:
    """Sends requests that are answered at once."""
    for _ in range(number):
        start = cold_starts.window.record_start()
        cold_starts.window.record_sent(start, now_s)
        cold_starts.window.finish(start, now_s)


async def warm_node(health: FakeHealth) -> ColdStarts:
    """Returns the state of a node whose instance has said that it is not cold."""
    cold_starts = started(health, read_monotonic_s())
    assert cold_starts.window.in_force
    await wait_until(lambda: not cold_starts.window.in_force)
    assert health.paths == ["/healthz"]
    health.paths.clear()
    return cold_starts


async def test_a_node_that_starts_asks_at_once_and_logs_what_it_learns():
    """Guards against a fleet that starts with the allowance of cold instances."""
    with capture_log() as log:
        await warm_node(FakeHealth())
    lines = {record.getMessage(): record for record in log}
    assert lines["instance cold"].doubt == "node-started"
    assert lines["instance warm"].source == "health"
    assert 0 <= lines["instance warm"].source_age_ms < 1000


async def test_an_instance_that_holds_nothing_back_is_not_asked():
    """Guards against health checks that cost the instance and tell nothing that matters."""
    health = FakeHealth()
    cold_starts = await warm_node(health)
    now_s = read_monotonic_s() + WINDOW_S
    cold_starts.record_event(Doubt.CONNECTIONS_CLOSED, 0.0, now_s)
    cold_starts.advance(now_s)
    await asyncio.sleep(0)
    assert cold_starts.window.in_force
    assert not health.paths
    send(cold_starts, BOUND // 2 + 1, now_s)
    cold_starts.advance(now_s)
    await asyncio.sleep(0)
    assert health.paths


async def test_failed_checks_are_few_and_leave_the_instance_cold():
    """Guards against many checks, and full load, at an instance in trouble."""
    health = FakeHealth(HealthAnswer(True))
    now_s = read_monotonic_s()
    cold_starts = started(health, now_s)
    for tick in range(40):
        cold_starts.advance(now_s + tick / 10)
        await asyncio.sleep(0)
    assert cold_starts.checks == len(health.paths) == MAX_CHECKS
    assert cold_starts.window.in_force
    assert cold_starts.cold_left_s(now_s + 4) > 0
    assert cold_starts.paced_per_s > 0


async def test_an_instance_that_refuses_connections_is_asked_when_it_is_back():
    """Guards against a doubt without an end because the checks were used up before."""
    health = FakeHealth(HealthAnswer(False))
    now_s = read_monotonic_s()
    cold_starts = started(health, now_s)
    for tick in range(40):
        cold_starts.advance(now_s + tick / 10)
        await asyncio.sleep(0)
    health.answer = HealthAnswer(True, 0.0)
    assert cold_starts.window.free_starts(now_s + 4) == BOUND - 1
    cold_starts.advance(now_s + 5)
    await wait_until(lambda: not cold_starts.window.in_force)
    assert cold_starts.checks == 1


async def test_a_service_without_a_cold_rate_has_no_bound_and_no_checks():
    """Guards against health checks and limits in deployments that state no cold rate."""
    health = FakeHealth()
    now_s = read_monotonic_s()
    cold_starts = started(health, now_s, bound=None)
    cold_starts.record_event(Doubt.CONNECTIONS_CLOSED, 0.0, now_s)
    cold_starts.advance(now_s)
    await asyncio.sleep(0)
    assert not health.paths
    assert (cold_starts.paced_per_s, cold_starts.cold_left_s(now_s)) == (None, 0.0)
    assert cold_starts.window.allows_start(now_s)
    assert cold_starts.gate.load().slots == SLOTS


async def test_a_recovered_instance_gets_its_slots_back_as_it_answers():
    """Guards against all slots at once after a recovery, and against a limit that stays."""
    for doubt in (Doubt.CRASHED, Doubt.REFUSED, Doubt.EVACUATION_ENDED):
        now_s = read_monotonic_s()
        cold_starts = started(FakeHealth(), now_s, bound=None)
        cold_starts.peer_service_s = lambda: 0.1
        cold_starts.record_event(doubt, 0.1, now_s)
        assert 0 < cold_starts.gate.load().slots < SLOTS
        for _ in range(SLOTS):
            cold_starts.record_answer(0.1, now_s + 0.1)
        assert cold_starts.gate.load().slots == SLOTS


async def test_another_start_of_the_instance_begins_slowly():
    """Guards against all slots at once for a new process at the address."""
    now_s = read_monotonic_s()
    cold_starts = started(FakeHealth(), now_s, bound=None)
    cold_starts.observe_entry(instance(started_at_ms=6, slots=SLOTS), now_s)
    assert cold_starts.gate.load().slots < SLOTS
    cold_starts.advance(now_s + 1000)
    assert cold_starts.gate.load().slots == SLOTS


load_tests = function_tests(__name__)
