"""Tests of the admission policies and queue disciplines that the benches compare."""

import inspect

import attrs

from bench import admission_policies
from bench.admission_bench import baseline_scheduler, production_scheduler
from bench.policies_bench import SCHEDULERS
from ibisrack.calls.admission import Admitted, Queued, Refused, Scheduler
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.ranks import Ticket, pop_next, refusal_reason, select_rank
from ibisrack.testing.fixtures import rank_rule
from ibisrack.testing.functions import function_tests

RUNNING = Ticket("c-0", 0, "a", 0.0, 9.0)
# The deadlines are in an order that is neither that of arrival nor its reverse.
WAITING = tuple(Ticket(f"c-{n}", n, "a", 0.0, at_s) for n, at_s in ((1, 8.0), (2, 6.0), (3, 7.0)))


def full_scheduler(scheduler: Scheduler) -> Scheduler:
    """Returns the scheduler with one running and three waiting calls, whose mean time is 0.1 s."""
    scheduler.configure(1, (rank_rule("a"),), 0.0)
    first = Ticket("c-first", 99, "a", 0.0, 9.0)
    scheduler.submit(first, 0.0)
    scheduler.finish(first, 0.1)
    assert isinstance(scheduler.submit(RUNNING, 0.1), Admitted)
    for ticket in WAITING:
        assert isinstance(scheduler.submit(ticket, 0.1), Queued)
    return scheduler


def start_order(scheduler: Scheduler) -> list[int]:
    """Returns the numbers of the waiting calls in the order in which they start."""
    order, running = [], RUNNING
    for step in range(1, 1 + len(WAITING)):
        (decision,) = scheduler.finish(running, 0.1 + step / 10)
        assert isinstance(decision, Admitted)
        running = decision.ticket
        order.append(running.number)
    return order


def test_every_policy_serves_the_waiting_calls_in_its_order():
    """Guards against a policy of the benches that the scheduler can no longer call."""
    orders = {name: start_order(full_scheduler(create())) for name, create in SCHEDULERS.items()}
    assert orders == {
        "strict": [1, 2, 3],
        "fair_queueing": [1, 2, 3],
        "earliest_deadline": [2, 3, 1],
        "newest_first": [3, 2, 1],
    }
    for create in (production_scheduler, baseline_scheduler):
        assert start_order(full_scheduler(create())) == [1, 2, 3]


def test_every_policy_refuses_a_call_that_would_miss_its_deadline_in_the_queue():
    """Guards against baselines that queue calls which the production policy refuses."""
    for create in (*SCHEDULERS.values(), production_scheduler, baseline_scheduler):
        late = Ticket("c-9", 9, "a", 0.1, 0.2)
        assert full_scheduler(create()).submit(late, 0.1) == Refused(late, Reason.TOO_BUSY)


def test_every_policy_and_discipline_has_all_its_registrations():
    """Guards against a discipline that fails with a TypeError only once a queue fills up."""
    assert pop_next.registry.keys() == refusal_reason.registry.keys()
    for name, cls in inspect.getmembers(admission_policies, attrs.has):
        if cls.__module__ == admission_policies.__name__:
            assert cls in select_rank.registry or cls in pop_next.registry, name
    for function in (pop_next, refusal_reason, select_rank):
        parameters = len(inspect.signature(function).parameters)
        for cls, implementation in function.registry.items():
            assert len(inspect.signature(implementation).parameters) == parameters, cls


load_tests = function_tests(__name__)
