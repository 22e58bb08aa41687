"""Tests of the decisions to serve after a start and after a pause."""

from ibisrack.clocks import Instant
from ibisrack.node.joining import Joining, LinksView, Resuming, Step
from ibisrack.node.lifecycle import JOINING, RESUMING, SERVING
from ibisrack.node.state import PAUSE_THRESHOLD_S, NodeState
from ibisrack.testing.fixtures import PILBARA_RULES, bare_node, member
from ibisrack.testing.functions import function_tests
from ibisrack.versions.chunks import VersionId, chunk_version
from ibisrack.versions.store import VersionStore

JOIN = Joining(
    started_at_s=100.0, join_timeout_s=3.0, first_read_delay_s=2.0, isolated_read_delay_s=2.0
)
REVISION_4 = VersionId(4, b"x" * 16)
REVISION_6 = VersionId(6, b"x" * 16)


def _store(revision: int = 0) -> VersionStore:
    store = VersionStore()
    if revision:
        version = chunk_version(revision, PILBARA_RULES)
        store.stage(version.manifest, version.chunks, 0.0)
        store.activate()
    return store


def _instant(now_s: float) -> Instant:
    return Instant(now_s, int(now_s * 1000))


def _node_with_link() -> NodeState:
    """Returns a node with revision 4 in force and one member to link to."""
    node = bare_node("own")
    node.apply_record(member("a"), _instant(0.0))
    node.versions = _store(4)
    return node


def test_join_waits_for_every_link():
    """Guards against serving before the link that holds the highest revision has answered."""
    view = LinksView(reported_versions={"a": REVISION_4}, pending_links=frozenset("b"))
    assert JOIN.step(view, _store(4), 110.0) is Step.QUERY_LINKS


def test_join_pulls_the_highest_revision_that_a_link_holds():
    """Guards against a restarted node that serves a lower revision than its links hold."""
    view = LinksView(reported_versions={"a": REVISION_4, "b": REVISION_6, "c": None})
    assert JOIN.step(view, _store(4), 100.1) is Step.PULL
    assert JOIN.step(view, _store(6), 100.1) is Step.SERVE


def test_join_without_answers_reads_the_platform_after_the_timeout():
    """Guards against a node without reachable peers that never joins."""
    view = LinksView(reported_versions={}, pending_links=frozenset("ab"))
    assert JOIN.step(view, _store(), 102.9) is Step.QUERY_LINKS
    assert JOIN.step(view, _store(4), 102.9) is Step.QUERY_LINKS
    assert JOIN.step(view, _store(), 103.0) is Step.READ_PLATFORM
    assert JOIN.step(view, _store(4), 103.0) is Step.SERVE


def test_in_fleet_without_versions_only_elected_nodes_read():
    """Guards against all nodes of a restarted fleet reading the platform at once."""
    for elected, step in ((True, Step.READ_PLATFORM), (False, Step.QUERY_LINKS)):
        view = LinksView(reported_versions={"a": None}, is_elected_reader=elected)
        assert JOIN.step(view, _store(), 101.9) is Step.QUERY_LINKS
        assert JOIN.step(view, _store(), 102.0) is step


def test_resume_compares_with_one_link_or_waits_a_second():
    """Guards against a resumed node that serves an old revision or waits for links forever."""
    resuming = Resuming(resumed_at_s=50.0)
    silent = LinksView(reported_versions={}, pending_links=frozenset("ab"))
    assert not resuming.may_serve(silent, _store(4), 50.9)
    assert resuming.may_serve(silent, _store(4), 51.0)
    equal = LinksView(reported_versions={"a": REVISION_4}, pending_links=frozenset("b"))
    assert resuming.may_serve(equal, _store(4), 50.1)
    higher = LinksView(reported_versions={"a": REVISION_6})
    assert not resuming.may_serve(higher, _store(4), 51.5)
    assert resuming.may_serve(higher, _store(4), 55.0)


def test_pause_is_detected_before_the_next_tick_and_ends_with_a_comparison():
    """Guards against serving calls with the revision from before the pause."""
    node = _node_with_link()
    node.begin_join(_instant(0.0), first_read_delay_s=1.0, isolated_read_delay_s=1.0)
    node.tick(_instant(0.0))
    node.links.reported_versions["a"] = REVISION_4
    assert node.serve_if_ready(_instant(0.1))
    resumed = _instant(PAUSE_THRESHOLD_S + 1.0)
    assert node.paused(resumed)
    assert node.tick(resumed)
    assert node.lifecycle.state == RESUMING
    assert not node.serve_if_ready(resumed)
    node.links.reported_versions["a"] = REVISION_4
    assert node.serve_if_ready(resumed)
    assert node.lifecycle.state == SERVING


def test_pause_does_not_count_as_time_for_confirmations():
    """Guards against activating a version because the confirmation time passed during a pause."""
    node = _node_with_link()
    node.tick(_instant(0.0))
    version = chunk_version(6, PILBARA_RULES + b"# note\n")
    node.versions.stage(version.manifest, version.chunks, 0.0)
    resumed_at_s = PAUSE_THRESHOLD_S + 1.0
    assert not node.activate_if_ready(_instant(resumed_at_s))
    node.tick(_instant(resumed_at_s))
    assert not node.activate_if_ready(_instant(resumed_at_s + 0.9))
    assert node.activate_if_ready(_instant(resumed_at_s + 1.0))


def test_pause_during_the_join_restarts_it():
    """Guards against a join timeout that passes during a pause, when no link can be queried."""
    node = _node_with_link()
    node.begin_join(_instant(0.0), first_read_delay_s=1.0, isolated_read_delay_s=1.0)
    node.tick(_instant(0.0))
    node.tick(_instant(60.0))
    assert not node.serve_if_ready(_instant(60.0))
    assert node.lifecycle.state == JOINING


load_tests = function_tests(__name__)
