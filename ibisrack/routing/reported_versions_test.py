"""Tests of the versions that peers report."""

from ibisrack.routing.reported_versions import MAX_REPORT_AGE_S, NO_VERSION, ReportedVersions
from ibisrack.testing.functions import function_tests


def test_the_latest_version_counts_while_its_peer_is_heard():
    """Guards against a peer with an old version that hides a later one."""
    reported = ReportedVersions()
    reported.record(18, 5.0)
    reported.record(16, 6.0)
    assert reported.latest(6.0) == 18
    reported.record(18, 9.0)
    reported.record(18, 7.0)
    assert reported.latest(8.9 + MAX_REPORT_AGE_S) == 18


def test_a_report_of_a_silent_peer_lapses():
    """Guards against refusals without end because a peer that is gone had a later version."""
    reported = ReportedVersions()
    assert reported.latest(0.0) == NO_VERSION
    reported.record(18, 5.0)
    assert reported.latest(5.0 + MAX_REPORT_AGE_S) == NO_VERSION
    reported.record(16, 5.0 + MAX_REPORT_AGE_S)
    assert reported.latest(5.0 + MAX_REPORT_AGE_S) == 16


def test_an_old_report_does_not_replace_a_later_version():
    """Guards against a silent peer's version that is taken for the latest one."""
    reported = ReportedVersions()
    reported.record(18, 20.0)
    reported.record(16, 1.0)
    assert reported.latest(20.0) == 18


load_tests = function_tests(__name__)
