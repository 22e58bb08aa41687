"""Tests of staging, confirmation and the swap."""

import random

from ibisrack.errors import MessageError
from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.testing.fixtures import PILBARA_RULES, many_services_rules
from ibisrack.testing.functions import function_tests
from ibisrack.versions.chunks import VersionId, chunked, pack, split, unpack
from ibisrack.versions.messages import VersionState
from ibisrack.versions.store import Candidate, Interest, Refusal, VersionStore


def _stage(store: VersionStore, revision: int, content: bytes, now_s: float = 0.0):
    version = chunked(revision, content)
    return store.stage(version.manifest, version.chunks, now_s)


def _store_at(revision: int) -> VersionStore:
    store = VersionStore()
    _stage(store, revision, PILBARA_RULES)
    store.activate()
    return store


def test_lower_revision_never_comes_in_force():
    """Guards against a stale platform that takes a node back."""
    store = _store_at(5)
    assert _stage(store, 4, CHANGED) is None
    assert store.activate() is None
    assert store.in_force.version_id.revision == 5


def test_late_lower_stage_does_not_replace_a_higher_one():
    """Guards against updates that cross in flight."""
    store = _store_at(5)
    _stage(store, 8, CHANGED)
    assert _stage(store, 7, PILBARA_RULES) is None
    assert store.activate().version_id.revision == 8


def test_staged_lower_revision_does_not_replace_the_one_in_force():
    """Guards the swap itself, should a lower revision ever get past the staging."""
    store = _store_at(5)
    lower = _store_at(4).in_force
    store.staged = lower
    assert store.activate() is None
    assert store.in_force.version_id.revision == 5


def test_bad_version_leaves_the_former_in_force_and_names_the_line():
    store = _store_at(5)
    refusal = _stage(store, 6, PILBARA_RULES + b"route GET x/ to=none rank=a  # Ana: broken\n")
    assert isinstance(refusal, Refusal)
    assert refusal.faults[0].line == PILBARA_RULES.count(b"\n") + 1
    assert store.activate() is None
    assert store.in_force.version_id.revision == 5
    assert isinstance(_stage(store, 7, CHANGED), Candidate)


def test_verdict_does_not_depend_on_history():
    """Guards against nodes that disagree because one reused parsed chunks."""
    cached = _store_at(5)
    staged = _stage(cached, 6, CHANGED)
    assert staged.rules == parse_rule_set(CHANGED)


def test_same_revision_with_other_content_keeps_the_first():
    store = _store_at(5)
    other = chunked(5, CHANGED).manifest.version_id
    assert store.interest(other) is Interest.CONFLICT
    assert _stage(store, 5, CHANGED) is None


def test_content_that_does_not_match_its_digest_changes_nothing():
    """Guards against truncated or altered chunks."""
    store = _store_at(5)
    version = chunked(6, CHANGED)
    truncated = {digest: chunk[:-1] for digest, chunk in version.chunks.items()}
    try:
        store.stage(version.manifest, truncated, 0.0)
    except MessageError:
        assert store.staged is None
    else:
        raise AssertionError("accepted altered chunks")


def test_activation_waits_for_two_holders_or_the_timeout():
    """Guards against a revision known to one node only, which a crash would take back."""
    store = _store_at(5)
    _stage(store, 6, CHANGED, now_s=10.0)
    peer_state = VersionState(staged=store.staged.version_id)
    assert not store.may_activate(10.1, LINKS)
    store.confirm("a", peer_state)
    store.confirm("a", peer_state)
    assert not store.may_activate(10.2, LINKS)
    assert store.may_activate(11.0, LINKS)
    store.confirm("b", peer_state)
    assert store.may_activate(10.2, LINKS)


def test_holder_that_died_or_lost_its_memory_does_not_confirm():
    """Guards against an activation whose only witnesses are gone."""
    store = _store_at(5)
    _stage(store, 6, CHANGED, now_s=10.0)
    holds = VersionState(staged=store.staged.version_id)
    for peer_id in ("a", "b"):
        store.confirm(peer_id, holds)
    assert store.may_activate(10.1, LINKS)
    assert not store.may_activate(10.1, LINKS - {"b"})
    store.confirm("b", VersionState())
    assert not store.may_activate(10.1, LINKS)


def test_peer_with_other_content_or_outside_the_links_does_not_confirm():
    """Guards against witnesses that a restarted node would not ask."""
    store = _store_at(5)
    _stage(store, 6, CHANGED, now_s=10.0)
    store.confirm("a", VersionState(staged=VersionId(6, b"x" * 16)))
    store.confirm("b", VersionState(staged=store.staged.version_id))
    store.confirm("stranger", VersionState(staged=store.staged.version_id))
    assert not store.may_activate(10.1, LINKS)


def test_links_are_asked_once_more_for_confirmations():
    """Guards against a node that waits the whole second for links that hold the version."""
    store = _store_at(5)
    assert not store.needs_confirmations(9.0)
    _stage(store, 6, CHANGED, now_s=10.0)
    assert not store.needs_confirmations(10.2)
    assert store.needs_confirmations(10.25)
    assert not store.needs_confirmations(10.3)


def test_isolated_node_activates_alone_after_the_timeout():
    """Guards against a node that has just started and does not know its peers yet."""
    store = _store_at(5)
    _stage(store, 6, CHANGED, now_s=10.0)
    assert not store.may_activate(10.9, frozenset())
    assert store.may_activate(11.0, frozenset())


def test_one_inserted_line_changes_few_chunks():
    base = many_services_rules(250)
    lines = base.splitlines(keepends=True)
    rng = random.Random(1)
    for _ in range(20):
        at = rng.randrange(len(lines))
        changed = b"".join([*lines[:at], b"# note\n", *lines[at:]])
        new = set(split(changed)) - set(split(base))
        assert len(new) <= 2
        assert b"".join(split(changed)) == changed


def test_only_one_source_transfers_a_version():
    store = _store_at(5)
    manifest = chunked(6, CHANGED).manifest
    assert store.offer(manifest, "a", 0.0) is not None
    assert store.offer(manifest, "b", 0.1) is None
    assert store.offer(manifest, "b", 5.0) is not None


def test_failed_or_lapsed_transfer_asks_for_another_source_once():
    """Guards against a dead source that blocks a version until the next regular exchange."""
    store = _store_at(5)
    manifest = chunked(6, CHANGED).manifest
    store.offer(manifest, "a", 0.0)
    store.offer(manifest, "b", 0.1)
    assert not store.needs_source(0.2)
    store.source_failed("b")
    assert not store.needs_source(0.2)
    store.source_failed("a")
    assert store.needs_source(0.3)
    assert not store.needs_source(0.4)
    assert store.offer(manifest, "b", 0.5) is not None
    assert store.needs_source(2.6)
    assert not store.needs_source(2.7)


def test_higher_revision_takes_over_a_transfer():
    """Guards against a node that finishes an old transfer first, or fails on its late chunks."""
    store = _store_at(5)
    older, newer = chunked(6, CHANGED).manifest, chunked(7, CHANGED + b"# note\n").manifest
    store.offer(older, "a", 0.0)
    assert store.offer(newer, "b", 0.1) is not None
    assert store.offer(older, "c", 0.2) is None
    assert store.offered(older.version_id) is None
    assert store.offered(newer.version_id) == newer
    store.end_transfer(older.version_id)
    assert store.offered(newer.version_id) == newer


def test_refused_revision_with_other_content_is_judged_by_that_content():
    """Guards against nodes that disagree because one of them saw a bad version first."""
    store = _store_at(5)
    _stage(store, 6, PILBARA_RULES + b"junk\n")
    assert isinstance(_stage(store, 6, CHANGED), Candidate)


def test_one_line_change_parses_one_chunk_and_keeps_line_numbers():
    """Guards against rules that keep the line numbers of an earlier version."""
    store = _store_at(5)
    for revision, content in enumerate((b"# note\n" + CHANGED, CHANGED, PILBARA_RULES), start=6):
        assert _stage(store, revision, content).rules == parse_rule_set(content)
        store.activate()


def test_malformed_packed_chunks_are_message_errors():
    good = pack([b"line\n", b"other\n"])
    assert list(unpack(good).values()) == [b"line\n", b"other\n"]
    for data in (b"", b"junk", good[:-3], pack([b"x" * 3_000_000])):
        try:
            unpack(data)
        except MessageError:
            continue
        raise AssertionError(f"accepted {data[:20]!r}")


LINKS = frozenset("abcd")
CHANGED = PILBARA_RULES.replace(b"share_percent=40", b"share_percent=35")

load_tests = function_tests(__name__)
