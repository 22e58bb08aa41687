"""Tests of the table of submitted requests."""

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.hosting.runs import (
    MAX_KEPT_ANSWER_BYTES,
    ORPHAN_TIMEOUT_S,
    REFUSAL_TTL_S,
    RESULT_TTL_S,
    Run,
    RunTable,
)
from ibisrack.links.codec_test import SUBMIT
from ibisrack.testing.functions import function_tests


def test_a_submission_that_was_resumed_before_it_arrived_is_refused():
    """Guards against a request that runs after its sender received a final refusal."""
    run_table = RunTable()
    assert isinstance(run_table.find_or_refuse(SUBMIT.key, 1.0), NotRunError)
    assert isinstance(run_table.add(SUBMIT), NotRunError)
    run_table.drop_expired(1.0 + REFUSAL_TTL_S)
    assert isinstance(run_table.add(SUBMIT), Run)


def test_a_submission_is_added_once():
    """Guards against a second run of the same submission."""
    run_table = RunTable()
    run = run_table.add(SUBMIT)
    assert isinstance(run_table.add(SUBMIT), UnknownOutcomeError)
    assert run_table.find_or_refuse(SUBMIT.key, 1.0) is run


def test_dropped_results_are_remembered_as_long_as_refusals():
    """Guards against a statement about a run that the table no longer knows, and against a leak."""
    run_table = RunTable()
    lodgement = attrs.evolve(SUBMIT, request_id="lodge")
    ran, refused = run_table.add(SUBMIT), run_table.add(lodgement)
    ran.ended_at_s = refused.ended_at_s = 5.0
    refused.refusal = Reason.TOO_BUSY
    run_table.drop_expired(5.0 + RESULT_TTL_S)
    assert isinstance(run_table.find_or_refuse(SUBMIT.key, 9.0), UnknownOutcomeError)
    assert isinstance(run_table.find_or_refuse(lodgement.key, 9.0), NotRunError)
    assert isinstance(run_table.add(SUBMIT), UnknownOutcomeError)
    run_table.drop_expired(5.0 + RESULT_TTL_S + REFUSAL_TTL_S)
    assert not run_table.dropped


def test_results_are_kept_for_a_limited_time():
    """Guards against dropping a result before its sender has reconnected, and against a leak."""
    run_table = RunTable()
    run_table.add(SUBMIT).ended_at_s = 5.0
    run_table.drop_expired(5.0 + RESULT_TTL_S - 0.1)
    assert run_table.runs
    run_table.drop_expired(5.0 + RESULT_TTL_S)
    assert not run_table.runs


def test_small_results_are_kept_until_the_deadline():
    """Guards against an answer that is dropped while its sender still asks for it."""
    run_table = RunTable()
    small, large = run_table.add(SUBMIT), run_table.add(attrs.evolve(SUBMIT, attempt=2))
    small.ended_at_s = large.ended_at_s = 5.0
    small.deadline_at_s = large.deadline_at_s = 9.0
    large.answer_bytes = MAX_KEPT_ANSWER_BYTES + 1
    run_table.drop_expired(8.9)
    assert list(run_table.runs.values()) == [small]
    run_table.drop_expired(9.0)
    assert not run_table.runs


def test_running_requests_that_may_run_once_do_not_become_expired_orphans():
    """Guards against cancelling a request that may run only once, and against a refusal of it."""
    run_table = RunTable()
    lodgement = attrs.evolve(SUBMIT, request_id="lodge", idempotent=False)
    lookup, lodged = run_table.add(SUBMIT), run_table.add(lodgement)
    lookup.orphaned_at_s = lodged.orphaned_at_s = 1.0
    lookup.started_at_s = lodged.started_at_s = 0.5
    assert run_table.expired_orphans(1.0 + ORPHAN_TIMEOUT_S) == [lookup]
    assert run_table.expired_orphans(1.0 + ORPHAN_TIMEOUT_S - 0.1) == []
    lodged.started_at_s = None
    assert run_table.expired_orphans(1.0 + ORPHAN_TIMEOUT_S) == [lookup, lodged]


load_tests = function_tests(__name__)
