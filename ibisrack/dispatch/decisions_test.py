"""Tests of instance selection, retries and the retry budget."""

from collections import Counter
from random import Random

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.dispatch.attempts import Attempts, allows_retry
from ibisrack.dispatch.budget import USABLE_SHARE, ServiceRetryBudgets
from ibisrack.dispatch.choice import InstanceViews, choose_home, choose_instance
from ibisrack.dispatch.verdicts import allows_attempt, reason_without_attempt
from ibisrack.errors import NotRunError, PeerLostError, UnknownOutcomeError
from ibisrack.links.messages import Load
from ibisrack.registry.messages import NO_REVISION
from ibisrack.routing.model import Repeats
from ibisrack.suspects.table import CLEAR, Blocked, Suspected
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance, route

REFUSED_BY_NODE = NotRunError(Reason.TOO_BUSY)
REFUSED_BY_INSTANCE = NotRunError(Reason.SHED)
UNKNOWN_OUTCOME = UnknownOutcomeError(Reason.CONNECTION_LOST)


def attempts(
    repeats: Repeats = Repeats.ALLOWED, slack: float = 100.0, max_attempts: int = 2
) -> Attempts:
    budget = ServiceRetryBudgets(0.0, slack, 10.0)
    return Attempts(route(repeats=repeats, max_attempts=max_attempts), "desk", 100.0, 50.0, budget)


def test_refusals_by_nodes_are_not_charged_to_the_budget():
    """Guards against charging the budget for attempts that reached no instance."""
    request_attempts = attempts(slack=0.0)
    assert all(request_attempts.should_retry(REFUSED_BY_NODE, 1.0) for _ in range(4))
    assert request_attempts.arrivals == 0


def test_an_unknown_outcome_is_not_retried_on_a_route_that_forbids_repeats():
    """Guards against running a request twice on a route that forbids it."""
    request_attempts = attempts(Repeats.FORBIDDEN)
    assert not request_attempts.should_retry(UNKNOWN_OUTCOME, 1.0)
    assert request_attempts.final_result(UNKNOWN_OUTCOME) is UNKNOWN_OUTCOME


def test_a_refusal_after_an_unknown_outcome_is_reported_as_unknown():
    """Guards against reporting not-run for a request that may have run in an earlier attempt."""
    request_attempts = attempts()
    assert request_attempts.should_retry(UNKNOWN_OUTCOME, 1.0)
    assert request_attempts.should_retry(REFUSED_BY_NODE, 1.0)
    assert request_attempts.final_result(REFUSED_BY_NODE) is UNKNOWN_OUTCOME


def test_max_attempts_limits_the_arrivals_at_instances():
    """Guards against a request that reaches more instances than its route allows."""
    request_attempts = attempts(max_attempts=2)
    assert request_attempts.should_retry(REFUSED_BY_INSTANCE, 1.0)
    assert not request_attempts.should_retry(REFUSED_BY_INSTANCE, 1.0)


def test_a_retry_is_charged_once_even_if_nodes_refuse_it():
    """Guards against charging the budget again for each refusal by a node."""
    request_attempts = attempts(slack=1.0 / USABLE_SHARE)
    assert request_attempts.should_retry(UNKNOWN_OUTCOME, 1.0)
    assert request_attempts.should_retry(REFUSED_BY_NODE, 1.0)
    assert request_attempts.should_retry(REFUSED_BY_NODE, 1.0)


def test_leaving_a_lost_peer_is_charged_once():
    """Guards against charging the budget both for the loss of a peer and for the retry after it."""
    request_attempts = attempts(slack=1.0 / USABLE_SHARE)
    assert request_attempts.may_leave(1.0)
    assert request_attempts.should_retry(UNKNOWN_OUTCOME, 1.0)
    assert not attempts(slack=0.0).may_leave(1.0)


def test_a_lost_peer_is_not_left_if_no_other_instance_may_run_the_request():
    """Guards against a second run, and against giving up an attempt that may still be answered."""
    assert not attempts(Repeats.FORBIDDEN).may_leave(1.0)
    assert not attempts(max_attempts=1).may_leave(1.0)
    assert not attempts().may_leave(99.99)


def test_an_open_attempt_that_did_not_run_leaves_a_refusal():
    """Guards against a 502 for a request of which every attempt is known not to have run."""
    request_attempts = attempts()
    lost = PeerLostError(Reason.PEER_UNREACHABLE, None)
    request_attempts.should_retry(lost, 1.0)
    assert request_attempts.final_result(REFUSED_BY_NODE) is lost
    request_attempts.record_refusal(lost)
    assert request_attempts.final_result(REFUSED_BY_NODE) is REFUSED_BY_NODE


def test_a_server_error_is_retried_only_on_a_route_that_allows_repeats():
    """Guards against returning a 500 although a retry is allowed, and against a forbidden retry."""
    server_error = Answer(500, {}, b"")
    assert attempts().should_retry(server_error, 1.0)
    assert not attempts(Repeats.FORBIDDEN).should_retry(server_error, 1.0)
    assert not attempts().should_retry(Answer(200, {}, b""), 1.0)


def test_nothing_is_retried_just_before_the_deadline():
    """Guards against an attempt that can't be answered before the deadline."""
    assert not attempts().should_retry(REFUSED_BY_NODE, 99.99)


def test_the_budget_grows_with_requests_and_nodes_share_the_slack():
    """Guards against nodes that together exceed the budget of a window."""
    budget = ServiceRetryBudgets(ratio=0.2, slack=100.0, window_s=10.0, nodes=10)
    for _ in range(50):
        budget.record_request("desk", 1.0)
    allowed = sum(budget.spend("desk", 1.0) for _ in range(100))
    assert allowed == int(USABLE_SHARE * (0.2 * 50 + 100 / 10))
    assert budget.spend("desk", 1.0 + 10.6)


def test_calls_made_by_retried_requests_are_charged_to_the_budget():
    """Guards against exceeding the budget by calls that retried requests make."""
    budget = ServiceRetryBudgets(ratio=0.0, slack=10.0, window_s=10.0)
    for _ in range(14):
        budget.record_request("docs", 1.0, retry_share=0.5)
    assert not budget.spend("docs", 1.0)
    assert budget.spend("docs", 12.0)


def test_changing_the_window_keeps_the_retries_charged():
    """Guards against a budget that is full again after each change of the settings file."""
    budget = ServiceRetryBudgets(ratio=0.0, slack=10.0 / USABLE_SHARE, window_s=10.0)
    assert sum(budget.spend("desk", 1.0) for _ in range(20)) == 10
    budget.configure(0.0, 10.0 / USABLE_SHARE, 5.0, 2.0)
    assert not budget.spend("desk", 2.0)
    assert budget.spend("desk", 8.0)


def views(**loads: tuple[int, int, float]) -> InstanceViews:
    instance_views = InstanceViews()
    for name, (busy, queued, service_ms) in loads.items():
        load = Load(busy, queued, 2, service_ms, True, NO_REVISION, True, True)
        instance_views.of(name).update_load(load, 5.0)
    return instance_views


def selected(instance_views: InstanceViews, cross_zone_cost_s: float = 0.0, **zones: str) -> str:
    candidates = [instance(name, zone=zone) for name, zone in zones.items()]
    return choose_instance(
        candidates, instance_views, "a", cross_zone_cost_s, Random(1), 5.0
    ).instance_id


def test_the_instance_with_the_shortest_response_time_is_selected():
    """Guards against queueing at one instance while another is idle or faster."""
    assert selected(views(x=(2, 3, 100.0), y=(0, 0, 100.0)), x="a", y="a") == "y"
    assert selected(views(x=(0, 0, 100.0), y=(0, 0, 300.0)), x="a", y="a") == "x"


def test_senders_with_the_same_reports_spread_their_requests():
    """Guards against a fleet that fills the queues of the instance that last reported to be idle.

    Nodes hear of an instance that they rarely use once in a second, and all of them at once.
    """
    names, senders = [f"i-{number}" for number in range(24)], 60
    busy = {name: (1, 0, 100.0) for name in names} | {"i-7": (0, 0, 100.0)}
    candidates = [instance(name, zone="ab"[index % 2]) for index, name in enumerate(names)]
    chosen = Counter(
        choose_instance(candidates, views(**busy), "a", 0.0, Random(seed), 5.0).instance_id
        for seed in range(senders)
    )
    assert max(chosen.values()) <= senders / 4, chosen


def test_the_own_instance_is_always_compared():
    """Guards against a queue at another host while the instance on this one is idle."""
    names = [f"i-{number}" for number in range(24)]
    busy = {name: (2, 0, 100.0) for name in names}
    instance_views = views(**(busy | {"i-7": (0, 0, 100.0)}))
    instance_views.own_host = "10.0.0.7"
    candidates = [instance(name, host=f"10.0.0.{n}", zone="b") for n, name in enumerate(names)]
    for seed in range(60):
        chosen = choose_instance(candidates, instance_views, "a", 0.0, Random(seed), 5.0)
        assert chosen.instance_id == "i-7"


def test_instances_to_be_avoided_are_chosen_only_if_there_is_no_other():
    """Guards against a choice among few instances of which none can serve the request."""
    names = [f"i-{number}" for number in range(24)]
    instance_views = views(**{name: (0, 0, 100.0) for name in names})
    for name in names[1:]:
        instance_views.record_failure(name, 4.9)
    zones = {name: "a" for name in names}
    for seed in range(60):
        candidates = [instance(name, zone=zones[name]) for name in names]
        chosen = choose_instance(candidates, instance_views, "a", 0.0, Random(seed), 5.0)
        assert chosen.instance_id == "i-0"
    del zones["i-0"]
    assert selected(instance_views, **zones) in zones


def test_the_local_zone_is_preferred_until_it_is_overloaded():
    """Guards against needless paid traffic between zones, and against ignoring an idle zone."""
    assert selected(views(x=(1, 0, 100.0), y=(0, 0, 100.0)), 0.05, x="a", y="b") == "x"
    assert selected(views(x=(2, 4, 100.0), y=(0, 0, 100.0)), 0.05, x="a", y="b") == "y"


def test_large_answers_come_from_the_local_zone_even_if_late():
    """Guards against large answers that cross zones because the local zone is slightly busier."""
    instance_views = views(x=(2, 2, 200.0), y=(0, 0, 200.0))
    instance_views.record_answer_size("plans", 90_000)
    instance_views.record_answer_size("lookups", 5_000)
    target_s = 0.6
    assert (
        selected(instance_views, instance_views.zone_cost_ratio("plans") * target_s, x="a", y="b")
        == "x"
    )
    assert (
        selected(instance_views, instance_views.zone_cost_ratio("lookups") * target_s, x="a", y="b")
        == "y"
    )


def test_an_instance_is_avoided_for_a_time_after_a_failure():
    """Guards against sending more requests to an instance that is idle because it fails fast."""
    instance_views = views(x=(0, 0, 1.0), y=(2, 9, 100.0))
    instance_views.record_failure("x", 4.5)
    assert selected(instance_views, x="a", y="a") == "y"
    assert selected(instance_views, x="a") == "x"


def test_requests_sent_since_the_last_report_add_to_the_load():
    """Guards against a burst to the instance that last reported to be idle."""
    instance_views = views(x=(0, 0, 100.0), y=(1, 0, 100.0))
    instance_views.of("x").sent_since_report = 6
    assert selected(instance_views, x="a", y="a") == "y"


def test_an_instance_whose_limit_is_used_up_is_chosen_only_when_others_are_slower():
    """Guards against requests that pile up before the limit of an idle instance."""
    instance_views = views(x=(0, 0, 100.0), y=(0, 0, 150.0))
    limited = attrs.evolve(instance_views.of("x").load, limit_per_s=4.0, free_starts=1)
    instance_views.of("x").update_load(limited, 5.0)
    assert selected(instance_views, x="a", y="a") == "x"
    instance_views.of("x").sent_since_report = 1
    assert selected(instance_views, x="a", y="a") == "y"
    instance_views.of("x").reported_at_s = 4.7
    assert selected(instance_views, x="a", y="a") == "x"


def test_all_nodes_choose_the_same_available_instance_for_a_suspect():
    """Guards against a suspect that ends several instances at a time."""
    instances = [instance(f"i-{n}") for n in range(6)]
    views = InstanceViews()
    home = choose_home(instances, views, b"f" * 16, 10.0)
    views.of("i-0").in_flight = views.of("i-5").in_flight = 9
    assert choose_home(reversed(instances), views, b"f" * 16, 10.0) is home
    assert len({choose_home(instances, views, bytes((n,)), 10.0) for n in range(60)}) == 6
    views.record_failure(home.instance_id, 10.0)
    assert choose_home(instances, views, b"f" * 16, 10.0) is not home
    assert choose_home([home], views, b"f" * 16, 10.0) is home
    assert choose_home([], views, b"f" * 16, 10.0) is None


def test_a_request_that_ran_at_two_crashes_is_not_retried_within_its_attempt():
    """Guards against one attempt of a caller that ends instance after instance."""
    assert allows_attempt(CLEAR, True)
    assert allows_attempt(Suspected(1), True)
    assert allows_attempt(Suspected(2), False)
    assert not allows_attempt(Suspected(2), True)
    assert not allows_attempt(Blocked(2, 40.0), False)
    assert reason_without_attempt(Blocked(2, 40.0)) == Reason.CRASHES_INSTANCES
    assert reason_without_attempt(Blocked(2, 40.0), True) == Reason.CRASHES_INSTANCES
    assert reason_without_attempt(CLEAR) == Reason.NO_INSTANCE
    assert reason_without_attempt(CLEAR, True) == Reason.EVACUATED


def test_a_suspect_that_its_home_instance_turns_away_is_not_retried():
    """Guards against suspects that spread to further instances when one has many of them."""
    for reason in (Reason.QUARANTINE_FULL, Reason.CRASHES_INSTANCES):
        assert not allows_retry(NotRunError(reason), route())
    assert allows_retry(NotRunError(Reason.UPSTREAM_UNREACHABLE), route())


load_tests = function_tests(__name__)
