"""Tests of the order of calls by their targets."""

from ibisrack.calls.admission import Admitted, Queued, Refused, Scheduler
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import Ticket
from ibisrack.calls.targets import EarliestTarget, InTimeFirst
from ibisrack.testing.fixtures import rank_rule
from ibisrack.testing.functions import function_tests


def scheduler(*ranks: str) -> Scheduler:
    """Returns a scheduler with one slot whose calls take 0.1 s."""
    made = Scheduler(1, InTimeFirst(), EarliestTarget())
    rules = tuple(rank_rule(name, order=order) for order, name in enumerate(ranks))
    made.configure(1, rules, 0.0)
    for number, name in enumerate(ranks):
        first = ticket(-1 - number, rank=name)
        made.submit(first, 0.0)
        made.finish(first, 0.1)
    return made


def ticket(number: int, at_s: float = 1.0, target_s: float = 0.5, rank: str = "a") -> Ticket:
    """Returns a ticket whose caller waits for 4 s."""
    return Ticket(f"c-{number}", number, rank, at_s, at_s + 4.0, at_s + target_s)


def test_calls_in_time_go_before_calls_that_became_late():
    """Guards against a queue that answers every call late in an overload."""
    calls = scheduler("a")
    assert isinstance(calls.submit(ticket(1), 1.0), Admitted)
    aged, fresh = ticket(2, target_s=0.3), ticket(3, at_s=1.27)
    assert isinstance(calls.submit(aged, 1.0), Queued)
    assert isinstance(calls.submit(fresh, 1.27), Queued)
    assert calls.finish(ticket(1), 1.28) == [Admitted(fresh)]


def test_a_late_call_is_served_only_by_a_free_slot():
    """Guards against late calls that wait and take the slots of calls in time."""
    calls = scheduler("a")
    late = ticket(1, target_s=-1.0)
    assert calls.submit(late, 1.0) == Admitted(late)
    assert calls.submit(ticket(2, target_s=-1.0), 1.0).reason == Reason.TOO_BUSY


def test_where_no_target_can_be_met_the_deadline_counts():
    """Guards against a slow instance that refuses whatever finds no free slot."""
    calls = scheduler("a")
    calls.submit(ticket(1), 1.0)
    slow = Ticket("c-2", 2, "a", 1.0, 5.0, 1.05, initial_target_s=0.05)
    assert isinstance(calls.submit(slow, 1.0), Queued)


def test_calls_that_may_still_be_in_time_go_before_hopeless_ones():
    """Guards against slots for calls that can only be late while others still have a chance."""
    calls = scheduler("a", "b")
    calls.submit(ticket(1), 1.0)
    hopeless = ticket(2, target_s=0.25)
    less, more = ticket(3, 1.05, 0.26, rank="b"), ticket(4, 1.05, 0.35, rank="b")
    for call in (hopeless, less, more):
        assert isinstance(calls.submit(call, call.arrived_at_s), Queued)
    assert calls.finish(ticket(1), 1.262) == [Admitted(more)]
    assert calls.finish(more, 1.265) == [Admitted(less)]
    assert calls.finish(less, 1.3) == [Admitted(hopeless)]


def reserving(slots: int, most_kept: float) -> Scheduler:
    """Returns a scheduler whose lower rank leaves slots to the urgent one."""
    made = Scheduler(slots, InTimeFirst(most_kept), EarliestTarget())
    made.configure(slots, (rank_rule("a", order=0), rank_rule("b", order=1)), 0.0)
    return made


def started(calls: Scheduler, rank: str, first: int, count: int, at_s: float) -> int:
    """Submits calls of a rank; returns how many started."""
    made = [ticket(first + n, at_s, rank=rank) for n in range(count)]
    return sum(isinstance(calls.submit(call, at_s), Admitted) for call in made)


def test_long_calls_leave_slots_for_the_demand_of_urgent_ones():
    """Guards against a few long calls that hold every slot when a short urgent one arrives."""
    calls = reserving(6, 0.65)
    for step in range(40):  # One urgent call runs at nearly every moment.
        call = ticket(step, step * 0.5)
        calls.submit(call, step * 0.5)
        calls.finish(call, step * 0.5 + 0.49)
    assert started(calls, "b", 100, 6, 20.0) == 3
    assert started(calls, "a", 200, 3, 20.0) == 3


def test_no_slot_is_kept_where_nothing_urgent_comes():
    """Guards against idle slots of a service whose only work is the least urgent."""
    assert started(reserving(6, 0.65), "b", 100, 6, 20.0) == 6


def test_a_flood_of_urgent_calls_leaves_the_lower_rank_its_part():
    """Guards against work that is never served while there is more urgent work."""
    calls = reserving(6, 0.5)
    for step in range(200):  # Each runs for 0.6 s, one comes every 0.1 s: six at a time.
        at_s = step * 0.1
        calls.submit(ticket(step, at_s), at_s)
        calls.finish(ticket(step - 6), at_s)
    for step in range(194, 200):
        calls.finish(ticket(step), 19.9)
    assert started(calls, "b", 5000, 6, 20.0) == 3


def test_a_call_that_cannot_be_in_time_is_refused_at_once():
    """Guards against holding a call only to answer it late."""
    calls = scheduler("a")
    calls.submit(ticket(1), 1.0)
    decisions = [calls.submit(ticket(number), 1.0) for number in range(2, 12)]
    refused = [d for d in decisions if isinstance(d, Refused)]
    assert refused and all(d.reason == Reason.TOO_BUSY for d in refused)
    assert isinstance(decisions[0], Queued)


def test_a_lower_rank_in_time_goes_before_a_late_higher_one():
    """Guards against late urgent work that makes all other work late as well."""
    calls = scheduler("a", "b")
    calls.submit(ticket(1), 1.0)
    assert isinstance(calls.submit(ticket(2, target_s=0.3), 1.0), Queued)
    lower = ticket(3, at_s=1.27, rank="b")
    calls.submit(lower, 1.27)
    assert calls.finish(ticket(1), 1.28) == [Admitted(lower)]


def test_long_targets_are_not_starved_by_short_ones():
    """Guards against routes with long targets that never start in an overload."""
    calls = scheduler("a")
    calls.submit(ticket(1, at_s=1.0), 1.0)
    long = ticket(2, at_s=1.0, target_s=1.0)
    calls.submit(long, 1.0)
    calls.submit(ticket(3, at_s=1.25, target_s=0.5), 1.25)
    assert calls.finish(ticket(1), 1.3) == [Admitted(long)]


def test_a_call_in_time_is_not_given_up_before_its_target():
    """Guards against a refusal of a call whose whole time is as long as its target."""
    calls = scheduler("a")
    calls.submit(ticket(1), 1.0)
    waiting = Ticket("c-2", 2, "a", 1.0, 2.0, 2.0)
    calls.submit(waiting, 1.0)
    assert calls.expire(1.9) == []
    assert calls.expire(2.0) == [Refused(waiting, Reason.DEADLINE)]


load_tests = function_tests(__name__)
