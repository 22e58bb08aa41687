"""Tests of the decisions on instances, repeats and the retry budget."""

from random import Random

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.dispatch.attempts import Attempts
from ibisrack.dispatch.budget import MARGIN, RepeatBudget
from ibisrack.dispatch.choice import Views, choose
from ibisrack.dispatch.dispatcher import Stop
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.links.messages import Load
from ibisrack.routing.model import Repeats
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance, route

BUSY = NotRunError(Reason.TOO_BUSY)
SHED = NotRunError(Reason.SHED)
LOST = UnknownOutcomeError(Reason.CONNECTION_LOST)


def attempts(repeats: Repeats = Repeats.ALLOWED, slack: float = 100.0, tries: int = 2) -> Attempts:
    budget = RepeatBudget(0.0, slack, 10.0)
    return Attempts(route(repeats=repeats, max_attempts=tries), "desk", 100.0, 50.0, budget)


def test_refusals_by_nodes_cost_no_budget():
    """Guards against a budget that is spent on requests that reached no instance."""
    made = attempts(slack=0.0)
    assert all(made.again(BUSY, 1.0) for _ in range(4))
    assert made.arrivals == 0


def test_an_unknown_outcome_is_never_repeated_where_that_is_forbidden():
    """Guards against a lodgement that runs twice."""
    made = attempts(Repeats.FORBIDDEN)
    assert not made.again(LOST, 1.0)
    assert made.verdict(LOST) is LOST


def test_a_refusal_after_an_unknown_outcome_is_not_told_as_not_run():
    """Guards against an untrue refusal."""
    made = attempts()
    assert made.again(LOST, 1.0)
    assert made.again(BUSY, 1.0)
    assert made.verdict(BUSY) is LOST


def test_the_attempts_of_a_route_bound_the_arrivals():
    """Guards against more instances for one request than its route allows."""
    made = attempts(tries=2)
    assert made.again(SHED, 1.0)
    assert not made.again(SHED, 1.0)


def test_a_repeat_is_paid_once_though_nodes_refuse_it():
    """Guards against a budget that is drawn on again for each refusal by a node."""
    made = attempts(slack=1.0 / MARGIN)
    assert made.again(LOST, 1.0)
    assert made.again(BUSY, 1.0)
    assert made.again(BUSY, 1.0)


def test_a_failure_of_an_instance_is_repeated_only_where_that_is_allowed():
    """Guards against passing on a 500 that another instance need not give."""
    failed = Answer(500, {}, b"")
    assert attempts().again(failed, 1.0)
    assert not attempts(Repeats.FORBIDDEN).again(failed, 1.0)
    assert not attempts().again(Answer(200, {}, b""), 1.0)


def test_nothing_is_repeated_when_time_is_up():
    """Guards against an attempt that can't be answered in time."""
    assert not attempts().again(BUSY, 99.99)


def test_nodes_share_the_slack_and_earn_by_requests():
    """Guards against a sum over the nodes that exceeds the budget of a window."""
    budget = RepeatBudget(ratio=0.2, slack=100.0, window_s=10.0, nodes=10)
    for _ in range(50):
        budget.note("desk", 1.0)
    spent = sum(budget.spend("desk", 1.0) for _ in range(100))
    assert spent == int(MARGIN * (0.2 * 50 + 100 / 10))
    assert budget.spend("desk", 1.0 + 10.6)


def test_calls_of_repeated_runs_draw_on_the_budget():
    """Guards against a budget that the calls of repeated runs exceed unseen."""
    budget = RepeatBudget(ratio=0.0, slack=10.0, window_s=10.0)
    for _ in range(14):
        budget.note("docs", 1.0, repeated_share=0.5)
    assert not budget.spend("docs", 1.0)
    assert budget.spend("docs", 12.0)


def test_a_reload_that_changes_the_window_keeps_what_was_spent():
    """Guards against a full budget after each change of the settings file."""
    budget = RepeatBudget(ratio=0.0, slack=10.0 / MARGIN, window_s=10.0)
    assert sum(budget.spend("desk", 1.0) for _ in range(20)) == 10
    budget.configure(0.0, 10.0 / MARGIN, 5.0, 2.0)
    assert not budget.spend("desk", 2.0)
    assert budget.spend("desk", 8.0)


def views(**loads: tuple[int, int, float]) -> Views:
    made = Views()
    for name, (busy, queued, service_ms) in loads.items():
        made.of(name).report(Load(busy, queued, 2, service_ms, True, 1))
    return made


def chosen(known: Views, zone_cost_s: float = 0.0, **zones: str) -> str:
    candidates = [instance(name, zone=zone) for name, zone in zones.items()]
    return choose(candidates, known, "a", zone_cost_s, Random(1), 5.0).instance_id


def test_the_instance_that_answers_first_is_chosen():
    """Guards against a queue at one instance while another is idle or quicker."""
    assert chosen(views(x=(2, 3, 100.0), y=(0, 0, 100.0)), x="a", y="a") == "y"
    assert chosen(views(x=(0, 0, 100.0), y=(0, 0, 300.0)), x="a", y="a") == "x"


def test_the_own_zone_is_preferred_until_it_is_late():
    """Guards against paid traffic between zones, and against a full zone beside an idle one."""
    assert chosen(views(x=(1, 0, 100.0), y=(0, 0, 100.0)), 0.05, x="a", y="b") == "x"
    assert chosen(views(x=(2, 4, 100.0), y=(0, 0, 100.0)), 0.05, x="a", y="b") == "y"


def test_large_answers_come_from_the_own_zone_though_they_are_late():
    """Guards against large answers that cross zones because the own zone is a little busier."""
    known = views(x=(2, 2, 200.0), y=(0, 0, 200.0))
    known.note_size("plans", 90_000)
    known.note_size("lookups", 5_000)
    target_s = 0.6
    assert chosen(known, known.zone_cost("plans") * target_s, x="a", y="b") == "x"
    assert chosen(known, known.zone_cost("lookups") * target_s, x="a", y="b") == "y"


def test_an_instance_that_failed_is_avoided_for_a_while():
    """Guards against the attraction of an instance that fails fast."""
    known = views(x=(0, 0, 1.0), y=(2, 9, 100.0))
    known.failed("x", 4.5)
    assert chosen(known, x="a", y="a") == "y"
    assert chosen(known, x="a") == "x"


def test_requests_since_the_last_report_count():
    """Guards against a burst to the instance that looked idle last."""
    known = views(x=(0, 0, 100.0), y=(1, 0, 100.0))
    known.of("x").sent_since = 6
    assert chosen(known, x="a", y="a") == "y"


def test_a_stop_refuses_only_what_it_would_cut_off():
    """Guards against a request that the end of the process cuts off."""
    stop = Stop(accepts_until_s=2.5, ends_at_s=5.6)
    assert not stop.is_too_late(2.0, 10.0)
    assert stop.is_too_late(2.6, 10.0)
    assert not stop.is_too_late(2.6, 4.0)


load_tests = function_tests(__name__)
