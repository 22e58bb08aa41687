"""Tests of scheduling by latency targets."""

from ibisrack.calls.admission import Admitted, Queued, Refused, Scheduler
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import Ticket
from ibisrack.calls.targets import EarliestTarget, InTimeFirst
from ibisrack.testing.fixtures import rank_rule
from ibisrack.testing.functions import function_tests


def new_scheduler(*ranks: str) -> Scheduler:
    """Returns a scheduler with one slot whose calls take 0.1 s."""
    scheduler = Scheduler(1, InTimeFirst(), EarliestTarget())
    rules = tuple(rank_rule(name, order=order) for order, name in enumerate(ranks))
    scheduler.configure(1, rules, 0.0)
    for number, name in enumerate(ranks):
        first = ticket(-1 - number, rank=name)
        scheduler.submit(first, 0.0)
        scheduler.finish(first, 0.1)
    return scheduler


def ticket(number: int, at_s: float = 1.0, target_s: float = 0.5, rank: str = "a") -> Ticket:
    """Returns a ticket with a deadline 4 s after its arrival."""
    return Ticket(f"c-{number}", number, rank, at_s, at_s + 4.0, at_s + target_s)


def test_calls_in_time_are_served_before_late_calls():
    """Guards against a queue that answers every call late in an overload."""
    scheduler = new_scheduler("a")
    assert isinstance(scheduler.submit(ticket(1), 1.0), Admitted)
    aged, fresh = ticket(2, target_s=0.3), ticket(3, at_s=1.27)
    assert isinstance(scheduler.submit(aged, 1.0), Queued)
    assert isinstance(scheduler.submit(fresh, 1.27), Queued)
    assert scheduler.finish(ticket(1), 1.28) == [Admitted(fresh)]


def test_late_call_is_admitted_only_to_a_free_slot():
    """Guards against queued late calls that take the slots of calls in time."""
    scheduler = new_scheduler("a")
    late = ticket(1, target_s=-1.0)
    assert scheduler.submit(late, 1.0) == Admitted(late)
    assert scheduler.submit(ticket(2, target_s=-1.0), 1.0).reason == Reason.TOO_BUSY


def test_deadline_counts_when_the_target_cannot_be_met():
    """Guards against a slow instance that refuses every call when no slot is free."""
    scheduler = new_scheduler("a")
    scheduler.submit(ticket(1), 1.0)
    slow = Ticket("c-2", 2, "a", 1.0, 5.0, 1.05, initial_target_s=0.05)
    assert isinstance(scheduler.submit(slow, 1.0), Queued)


def test_calls_that_may_be_in_time_are_served_before_late_calls():
    """Guards against serving a call that will be late while another may still be in time."""
    scheduler = new_scheduler("a", "b")
    scheduler.submit(ticket(1), 1.0)
    late = ticket(2, target_s=0.25)
    less, more = ticket(3, 1.05, 0.26, rank="b"), ticket(4, 1.05, 0.35, rank="b")
    for call in (late, less, more):
        assert isinstance(scheduler.submit(call, call.arrived_at_s), Queued)
    assert scheduler.finish(ticket(1), 1.262) == [Admitted(more)]
    assert scheduler.finish(more, 1.265) == [Admitted(less)]
    assert scheduler.finish(less, 1.3) == [Admitted(late)]


def reserving_scheduler(slots: int, max_reserved_share: float) -> Scheduler:
    """Returns a scheduler that reserves slots of its lower rank for the urgent one."""
    scheduler = Scheduler(slots, InTimeFirst(max_reserved_share), EarliestTarget())
    scheduler.configure(slots, (rank_rule("a", order=0), rank_rule("b", order=1)), 0.0)
    return scheduler


def started_count(scheduler: Scheduler, rank: str, first: int, count: int, at_s: float) -> int:
    """Submits calls of a rank; returns how many started."""
    tickets = [ticket(first + n, at_s, rank=rank) for n in range(count)]
    return sum(isinstance(scheduler.submit(call, at_s), Admitted) for call in tickets)


def test_slots_are_reserved_for_the_demand_of_urgent_calls():
    """Guards against a few long calls that hold every slot when a short urgent one arrives."""
    scheduler = reserving_scheduler(6, 0.65)
    for step in range(40):  # One urgent call runs nearly all the time.
        call = ticket(step, step * 0.5)
        scheduler.submit(call, step * 0.5)
        scheduler.finish(call, step * 0.5 + 0.49)
    assert started_count(scheduler, "b", 100, 6, 20.0) == 3
    assert started_count(scheduler, "a", 200, 3, 20.0) == 3


def test_no_slot_is_reserved_without_urgent_calls():
    """Guards against idle slots in a service that receives only least urgent calls."""
    assert started_count(reserving_scheduler(6, 0.65), "b", 100, 6, 20.0) == 6


def test_reservation_is_limited_during_a_flood_of_urgent_calls():
    """Guards against starvation of the lower rank while there are urgent calls."""
    scheduler = reserving_scheduler(6, 0.5)
    for step in range(200):  # One call each 0.1 s runs for 0.6 s: six at a time.
        at_s = step * 0.1
        scheduler.submit(ticket(step, at_s), at_s)
        scheduler.finish(ticket(step - 6), at_s)
    for step in range(194, 200):
        scheduler.finish(ticket(step), 19.9)
    assert started_count(scheduler, "b", 5000, 6, 20.0) == 3


def test_call_that_would_start_late_is_refused_immediately():
    """Guards against queueing a call only to answer it late."""
    scheduler = new_scheduler("a")
    scheduler.submit(ticket(1), 1.0)
    decisions = [scheduler.submit(ticket(number), 1.0) for number in range(2, 12)]
    refused = [d for d in decisions if isinstance(d, Refused)]
    assert refused and all(d.reason == Reason.TOO_BUSY for d in refused)
    assert isinstance(decisions[0], Queued)


def test_lower_rank_in_time_is_served_before_late_higher_rank():
    """Guards against late urgent calls that make all other calls late."""
    scheduler = new_scheduler("a", "b")
    scheduler.submit(ticket(1), 1.0)
    assert isinstance(scheduler.submit(ticket(2, target_s=0.3), 1.0), Queued)
    lower = ticket(3, at_s=1.27, rank="b")
    scheduler.submit(lower, 1.27)
    assert scheduler.finish(ticket(1), 1.28) == [Admitted(lower)]


def test_calls_with_long_targets_are_not_starved():
    """Guards against calls with long targets that never start in an overload."""
    scheduler = new_scheduler("a")
    scheduler.submit(ticket(1, at_s=1.0), 1.0)
    long = ticket(2, at_s=1.0, target_s=1.0)
    scheduler.submit(long, 1.0)
    scheduler.submit(ticket(3, at_s=1.25, target_s=0.5), 1.25)
    assert scheduler.finish(ticket(1), 1.3) == [Admitted(long)]


def test_waiting_call_does_not_expire_before_its_target():
    """Guards against an early refusal of a call whose deadline equals its target."""
    scheduler = new_scheduler("a")
    scheduler.submit(ticket(1), 1.0)
    waiting = Ticket("c-2", 2, "a", 1.0, 2.0, 2.0)
    scheduler.submit(waiting, 1.0)
    assert scheduler.expire(1.9) == []
    assert scheduler.expire(2.0) == [Refused(waiting, Reason.DEADLINE)]


load_tests = function_tests(__name__)
