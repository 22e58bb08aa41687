"""Tests of what a node remembers of submitted requests."""

import attrs

from ibisrack.hosting.runs import KEPT_S, ORPHAN_S, SEALED_S, RunLedger
from ibisrack.links.codec_test import SUBMIT
from ibisrack.testing.functions import function_tests


def test_a_submission_that_was_asked_for_first_is_refused_when_it_arrives():
    """Guards against a request that runs after its sender was told that it never will."""
    ledger = RunLedger()
    assert ledger.find(SUBMIT.key, 1.0) is None
    assert ledger.admit(SUBMIT) is None
    ledger.forget(1.0 + SEALED_S)
    assert ledger.admit(SUBMIT) is not None


def test_a_submission_is_admitted_once():
    """Guards against a second run of the same submission."""
    ledger = RunLedger()
    run = ledger.admit(SUBMIT)
    assert ledger.admit(SUBMIT) is None
    assert ledger.find(SUBMIT.key, 1.0) is run


def test_results_are_kept_for_a_sender_whose_link_broke():
    """Guards against a result that is gone before its sender can ask for it, and against a leak."""
    ledger = RunLedger()
    ledger.admit(SUBMIT).ended_at_s = 5.0
    ledger.forget(5.0 + KEPT_S - 0.1)
    assert ledger.runs
    ledger.forget(5.0 + KEPT_S)
    assert not ledger.runs


def test_only_repeatable_requests_are_abandoned():
    """Guards against cancelling a lodgement that may run only once."""
    ledger = RunLedger()
    lodgement = attrs.evolve(SUBMIT, request_id="lodge", repeatable=False)
    lookup, lodged = ledger.admit(SUBMIT), ledger.admit(lodgement)
    lookup.orphaned_at_s = lodged.orphaned_at_s = 1.0
    assert ledger.abandoned(1.0 + ORPHAN_S) == [lookup]
    assert ledger.abandoned(1.0 + ORPHAN_S - 0.1) == []


load_tests = function_tests(__name__)
