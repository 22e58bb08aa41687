"""Tests of the soak's checks on made-up histories, each with one broken promise."""

import attrs

from bench.sidecars import GRACE_S
from bench.soak.bounds import CONFIG_APPLY_S, DRAIN_S, EVACUATE_S, RECOVER_S, STABLE_WINDOW_S
from bench.soak.checks import find_violations
from bench.soak.history import (
    Crash,
    Disturbance,
    Drain,
    Evacuation,
    Failure,
    History,
    Kind,
    Limit,
    Outcome,
    Recovery,
    Request,
    Run,
    UnexpectedExit,
    VersionProbe,
)
from ibisrack.testing.functions import function_tests

REQUEST = Request("q", 1, "/lodge/1", False, "sent", 10.0, 2.5)
RUN = Run("q", "i-2", 2, "/lodge/1", "sent", 10.1, 200, "signed", "answered")
OUTCOME = Outcome("q", 10.4, None, 200, "q", "signed", "answered")
REFUSED = attrs.evolve(OUTCOME, status=503, signature="", body_digest="not run")
FAILED = attrs.evolve(REFUSED, status=502)
CLOSED = Outcome("q", 10.4, Failure.CLOSED)


def history_of(outcome: Outcome = OUTCOME, *runs: Run, **fields) -> History:
    """Returns the history of one request."""
    return History({"q": REQUEST}, [outcome], list(runs), **fields)


def broken(history: History) -> list[tuple[str, str]]:
    """Returns the violations as pairs of promise and subject."""
    return [(v.promise, v.subject) for v in find_violations(history)]


def disturbance(
    kind: Kind, node: int, started_at_s: float, ended_at_s: float, stops_process: bool = False
) -> Disturbance:
    """Returns a disturbance of one sidecar."""
    nodes = frozenset((node,))
    return Disturbance(kind, "fault", nodes, started_at_s, ended_at_s, stops_process)


def test_undisturbed_history_is_clean():
    """Guards against checks that report a request which was served, refused or not connected."""
    not_connected = Outcome("q", 10.4, Failure.NOT_CONNECTED)
    assert broken(history_of(OUTCOME, RUN)) == []
    assert broken(history_of(REFUSED)) == []
    assert broken(history_of(not_connected)) == []


def test_second_run_of_a_non_idempotent_request_is_found():
    """Guards against a soak that misses duplicate executions, also on the same instance."""
    assert broken(history_of(OUTCOME, RUN, RUN)) == [("non_idempotent_runs_twice", "q")]
    history = history_of(OUTCOME, RUN, RUN)
    history.requests["q"] = attrs.evolve(REQUEST, idempotent=True)
    assert broken(history) == []


def test_run_of_a_refused_request_is_found():
    """Guards against a refusal that is taken as true although the request ran, or runs later."""
    later = attrs.evolve(RUN, started_at_s=14.0)
    for status in (408, 421, 429, 503):
        refused = attrs.evolve(REFUSED, status=status)
        assert ("refused_but_ran", "q") in broken(history_of(refused, RUN))
        assert ("refused_but_ran", "q") in broken(history_of(refused, later))


def test_answer_that_is_not_the_instances_own_is_found():
    """Guards against accepting a truncated, mixed-up, unsigned or re-labelled answer."""
    for field, value in (
        ("body_digest", "truncated"),
        ("signature", "of another answer"),
        ("signature", ""),
        ("echoed_id", "other"),
        ("status", 500),
    ):
        wrong = attrs.evolve(OUTCOME, **{field: value})
        assert ("wrong_answer", "q") in broken(history_of(wrong, RUN)), field
    assert ("wrong_answer", "q") in broken(history_of(OUTCOME))


def test_run_of_a_request_in_another_form_is_found():
    """Guards against a request that no caller sent, or whose path or body was changed."""
    for field, value in (("path", "/lodge/2"), ("request_digest", "x"), ("request_id", "s")):
        changed = attrs.evolve(RUN, **{field: value})
        assert ("unsent_request_ran", changed.request_id) in broken(history_of(OUTCOME, changed))


def test_request_cut_in_a_planned_stop_is_found():
    """Guards against a stop, or a failure of the store, that excuses a lost answer."""
    for kind in (Kind.PLANNED, Kind.STORE):
        stop = disturbance(kind, 1, 9.0, 12.0)
        for outcome in (CLOSED, FAILED, attrs.evolve(CLOSED, failure=Failure.CUT)):
            history = history_of(outcome, RUN, disturbances=[stop])
            assert broken(history) == [("cut_without_fault", "q")], outcome


def test_read_request_that_is_closed_without_a_run_is_found():
    """Guards against a connection that is closed long after its request arrived."""
    assert broken(history_of(CLOSED)) == [("cut_without_fault", "q")]
    assert broken(history_of(attrs.evolve(CLOSED, at_s=10.1))) == []


def test_cut_is_excused_only_by_its_instance_its_limit_or_a_fault_of_its_sidecars():
    """Guards against a check that a fault elsewhere, or one that ended long ago, turns off."""
    late = attrs.evolve(FAILED, at_s=REQUEST.sent_at_s + REQUEST.limit_s)
    assert broken(history_of(late, RUN)) == []
    assert broken(history_of(FAILED, attrs.evolve(RUN, broke_off=True))) == []
    for node, ended_at_s, excused in (
        (1, 9.0, True),
        (2, 9.0, True),
        (3, 9.0, False),
        (1, 9.9 - STABLE_WINDOW_S, False),
    ):
        fault = disturbance(Kind.UNPLANNED, node, 5.0, ended_at_s)
        assert (broken(history_of(FAILED, RUN, disturbances=[fault])) == []) is excused


def test_only_the_last_sixth_of_the_grace_excuses_a_cut():
    """Guards against excusing what a stop cuts off earlier, or other planned work at all."""
    for started_at_s, excused in ((10.3 - GRACE_S * 5 / 6, True), (10.5 - GRACE_S * 5 / 6, False)):
        for stops_process in (True, False):
            stop = disturbance(Kind.PLANNED, 1, started_at_s, 12.0, stops_process)
            request = attrs.evolve(REQUEST, sent_at_s=started_at_s + 2.9, limit_s=9.0)
            history = history_of(FAILED, RUN, disturbances=[stop])
            history.requests["q"] = request
            assert (broken(history) == []) is (excused and stops_process)


def test_new_work_of_a_draining_instance_is_found():
    """Guards against requests for an instance that has left."""
    for started_at_s, found in ((10.1, True), (9.1, False)):
        drain = Drain("i-2", 2, 9.0 - DRAIN_S, 11.0)
        run = attrs.evolve(RUN, started_at_s=started_at_s)
        expected = [("draining_instance_got_work", "q")] if found else []
        assert broken(history_of(OUTCOME, run, drains=[drain])) == expected


def test_work_in_an_evacuated_zone_is_found():
    """Guards against requests to an evacuated zone; a fault at the caller's sidecar excuses one."""
    evacuation = Evacuation("north", frozenset((2,)), 10.0 - EVACUATE_S, 10.5)
    for started_at_s, node, found in ((10.1, 2, True), (9.9, 2, False), (10.1, 3, False)):
        run = attrs.evolve(RUN, started_at_s=started_at_s, node=node)
        expected = [("evacuated_zone_got_work", "q")] if found else []
        assert broken(history_of(OUTCOME, run, evacuations=[evacuation])) == expected
    for node, excused in ((1, True), (2, False)):
        for kind in (Kind.UNPLANNED, Kind.STORE):
            history = history_of(
                OUTCOME,
                RUN,
                evacuations=[evacuation],
                disturbances=[disturbance(kind, node, 4.0, 6.0)],
            )
            assert (broken(history) == []) is excused
    ended = attrs.evolve(evacuation, ended_at_s=10.0)
    assert broken(history_of(OUTCOME, RUN, evacuations=[ended])) == []


def test_return_to_an_older_version_is_found():
    """Guards against a sidecar that loses a route again; a new process starts from nothing."""
    applied = VersionProbe(1, 1, 3, 5.0, 5.1, 200)
    lost = VersionProbe(1, 1, 3, 5.5, 5.6, 404)
    assert broken(History(versions={3: 4.9}, probes=[applied, lost])) == [
        ("version_went_back", "sidecar-1:v3")
    ]
    restarted = attrs.evolve(lost, incarnation=2)
    assert broken(History(versions={3: 4.9}, probes=[applied, restarted])) == []


def test_late_version_is_found():
    """Guards against a sidecar that keeps an old version while nothing disturbs it."""
    late = VersionProbe(1, 1, 3, 5.1 + CONFIG_APPLY_S, 8.0, 404)
    late_promise = [("version_late", "sidecar-1:v3")]
    assert broken(History(versions={3: 5.0}, probes=[late])) == late_promise
    outage = disturbance(Kind.STORE, 1, 5.0, 6.0)
    assert broken(History(versions={3: 5.0}, probes=[late], disturbances=[outage])) == []


def test_missing_recovery_is_found():
    """Guards against a sidecar that never serves again, or too late."""
    for serves_after_s in (None, RECOVER_S + 0.1):
        history = History(recoveries=[Recovery(1, 1.0), Recovery(2, serves_after_s)])
        assert broken(history) == [("not_recovered", "sidecar-2")]


def test_process_that_ends_by_itself_is_found():
    """Guards against a crash that a restart hides."""
    history = History(exits=[UnexpectedExit(1, 1, 5.0)])
    assert broken(history) == [("process_ended_by_itself", "sidecar-1:status1")]


def limited_history(starts: int, **fields) -> History:
    """Returns the history of an instance that names a limit of 2 requests a second."""
    numbers = range(starts + 1)
    requests = {f"q-{n}": attrs.evolve(REQUEST, request_id=f"q-{n}") for n in numbers}
    runs = [
        attrs.evolve(RUN, request_id=f"q-{n}", started_at_s=20.0 + n / starts if n else 11.0)
        for n in numbers
    ]
    history = History(requests, [], runs, **fields)
    history.limits.append(Limit("i-2", 2, 2.0, 10.0, 30.0))
    return history


def limit_violations(history: History) -> list[str]:
    return [subject for promise, subject in broken(history) if promise == "limit_exceeded"]


def test_requests_beyond_a_limit_are_found():
    """Guards against a soak that misses an instance in need which gets too many requests."""
    assert limit_violations(limited_history(17)) == []
    assert limit_violations(limited_history(18)) == ["i-2"]
    excused = limited_history(18)
    excused.disturbances.append(disturbance(Kind.UNPLANNED, 1, 12.0, 13.0))
    assert limit_violations(excused) == []
    not_excused = limited_history(18)
    not_excused.disturbances.append(disturbance(Kind.PLANNED, 1, 12.0, 13.0))
    assert limit_violations(not_excused) == ["i-2"]


def deadly_history(late_runs: int, **fields) -> History:
    """Returns the history of a request that crashed three instances and then came again."""
    starts_s = [10.0, 11.0, 12.0] + [12.1 + STABLE_WINDOW_S + n / 10 for n in range(late_runs)]
    requests = {f"q-{n}": attrs.evolve(REQUEST, request_id=f"q-{n}") for n in range(len(starts_s))}
    runs = [
        attrs.evolve(RUN, request_id=f"q-{n}", started_at_s=at_s) for n, at_s in enumerate(starts_s)
    ]
    crashes = [Crash(f"q-{n}", f"i-{n}", 2, starts_s[n]) for n in range(3)]
    return History(requests, [], runs, crashes=crashes, **fields)


def test_deadly_request_that_still_reaches_instances_is_found():
    """Guards against a request that crashes one instance after the other."""
    found = [("deadly_request_passed_on", REQUEST.path)]
    assert broken(deadly_history(3)) == []
    assert broken(deadly_history(4)) == found
    two_crashes = deadly_history(4)
    two_crashes.crashes.pop()
    assert broken(two_crashes) == []
    for field, value in (("body_digest", "x"), ("method", "PUT"), ("caller", "docs")):
        another = deadly_history(4)
        another.requests["q-6"] = attrs.evolve(another.requests["q-6"], **{field: value})
        assert "deadly_request_passed_on" not in dict(broken(another)), field
    for kind, node, stops_process, excused in (
        (Kind.UNPLANNED, 1, False, True),
        (Kind.PLANNED, 1, True, True),
        (Kind.PLANNED, 1, False, False),
        (Kind.STORE, 1, False, False),
        (Kind.UNPLANNED, 2, False, False),
    ):
        fault = disturbance(kind, node, 12.0, 12.5, stops_process)
        history = deadly_history(4, disturbances=[fault])
        assert broken(history) == ([] if excused else found), fault


def test_innocent_request_that_is_refused_for_good_is_found():
    """Guards against a defence that turns away requests which never crashed an instance."""
    for status, found in ((403, True), (404, True), (429, False), (502, False), (503, False)):
        outcome = attrs.evolve(REFUSED, status=status)
        expected = [("innocent_turned_away", "q")] if found else []
        assert broken(history_of(outcome)) == expected, status
    guilty = history_of(attrs.evolve(REFUSED, status=403), crashes=[Crash("q", "i-2", 2, 10.1)])
    assert broken(guilty) == []
    answered = attrs.evolve(OUTCOME, status=404)
    assert broken(history_of(answered, attrs.evolve(RUN, status=404))) == []


def test_crash_of_an_instance_excuses_only_its_own_runs():
    """Guards against crashes that turn off the check of lost answers."""
    for instance_id, at_s, excused in (
        ("i-2", 10.2, True),
        ("i-3", 10.2, False),
        ("i-2", 10.0, False),
        ("i-2", 10.5, False),
    ):
        crash = Crash("other", instance_id, 2, at_s)
        history = history_of(FAILED, RUN, crashes=[crash])
        history.requests["other"] = attrs.evolve(REQUEST, request_id="other")
        assert (broken(history) == []) is excused, crash


load_tests = function_tests(__name__)
