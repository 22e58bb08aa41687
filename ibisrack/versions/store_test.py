"""Tests of chunks and of the transfer, staging, confirmation and activation of versions."""

import random

from ibisrack.errors import MessageError
from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.testing.fixtures import PILBARA_RULES, many_services_rules
from ibisrack.testing.functions import function_tests
from ibisrack.versions.chunks import VersionId, chunk_version, pack, split, unpack
from ibisrack.versions.messages import VersionState
from ibisrack.versions.store import Classification, Refusal, ValidatedVersion, VersionStore


def _stage(store: VersionStore, revision: int, content: bytes, now_s: float = 0.0):
    version = chunk_version(revision, content)
    return store.stage(version.manifest, version.chunks, now_s)


def _store_at(revision: int) -> VersionStore:
    store = VersionStore()
    _stage(store, revision, PILBARA_RULES)
    store.activate()
    return store


def test_lower_revision_is_never_put_in_force():
    """Guards against a stale platform value that reverts a node to an older version."""
    store = _store_at(5)
    assert _stage(store, 4, CHANGED) is None
    assert store.activate() is None
    assert store.in_force.version_id.revision == 5


def test_lower_revision_does_not_replace_a_higher_staged_one():
    """Guards against updates that arrive out of order."""
    store = _store_at(5)
    _stage(store, 8, CHANGED)
    assert _stage(store, 7, PILBARA_RULES) is None
    assert store.activate().version_id.revision == 8


def test_activation_ignores_a_staged_lower_revision():
    """Guards against an activation that lowers the revision if a lower one is ever staged."""
    store = _store_at(5)
    lower = _store_at(4).in_force
    store.staged = lower
    assert store.activate() is None
    assert store.in_force.version_id.revision == 5


def test_invalid_version_keeps_the_one_in_force_and_reports_the_line():
    """Guards against one faulty rule that changes or blocks the configuration."""
    store = _store_at(5)
    refusal = _stage(store, 6, PILBARA_RULES + b"route GET x/ to=none rank=a  # Ana: broken\n")
    assert isinstance(refusal, Refusal)
    assert refusal.faults[0].line == PILBARA_RULES.count(b"\n") + 1
    assert store.activate() is None
    assert store.in_force.version_id.revision == 5
    assert isinstance(_stage(store, 7, CHANGED), ValidatedVersion)


def test_reused_chunks_give_the_rules_of_a_full_parse():
    """Guards against nodes that reach different results because one reused parsed chunks."""
    store = _store_at(5)
    staged = _stage(store, 6, CHANGED)
    assert staged.rules == parse_rule_set(CHANGED)


def test_same_revision_with_other_content_keeps_the_first():
    """Guards against a revision that changes its content after it came into force."""
    store = _store_at(5)
    other = chunk_version(5, CHANGED).manifest.version_id
    assert store.classify(other) is Classification.CONFLICT
    assert _stage(store, 5, CHANGED) is None


def test_content_that_does_not_match_its_digest_changes_nothing():
    """Guards against truncated or altered chunks."""
    store = _store_at(5)
    version = chunk_version(6, CHANGED)
    truncated = {digest: chunk[:-1] for digest, chunk in version.chunks.items()}
    try:
        store.stage(version.manifest, truncated, 0.0)
    except MessageError:
        assert store.staged is None
    else:
        raise AssertionError("accepted altered chunks")


def test_activation_waits_for_two_confirmations_or_the_timeout():
    """Guards against activating a revision that only one node holds and a crash would revert."""
    store = _store_at(5)
    _stage(store, 6, CHANGED, now_s=10.0)
    peer_state = VersionState(staged=store.staged.version_id)
    assert not store.confirmation.is_complete(10.1, LINKS)
    store.confirmation.update("a", peer_state)
    store.confirmation.update("a", peer_state)
    assert not store.confirmation.is_complete(10.2, LINKS)
    assert store.confirmation.is_complete(11.0, LINKS)
    store.confirmation.update("b", peer_state)
    assert store.confirmation.is_complete(10.2, LINKS)


def test_dead_or_restarted_peer_does_not_confirm():
    """Guards against an activation whose confirming peers have since died or restarted."""
    store = _store_at(5)
    _stage(store, 6, CHANGED, now_s=10.0)
    holds = VersionState(staged=store.staged.version_id)
    for peer_id in ("a", "b"):
        store.confirmation.update(peer_id, holds)
    assert store.confirmation.is_complete(10.1, LINKS)
    assert not store.confirmation.is_complete(10.1, LINKS - {"b"})
    store.confirmation.update("b", VersionState())
    assert not store.confirmation.is_complete(10.1, LINKS)


def test_peer_with_other_content_or_outside_the_links_does_not_confirm():
    """Guards against counting peers that hold other content or are not queried after a restart."""
    store = _store_at(5)
    _stage(store, 6, CHANGED, now_s=10.0)
    store.confirmation.update("a", VersionState(staged=VersionId(6, b"x" * 16)))
    store.confirmation.update("b", VersionState(staged=store.staged.version_id))
    store.confirmation.update("stranger", VersionState(staged=store.staged.version_id))
    assert not store.confirmation.is_complete(10.1, LINKS)


def test_linked_peers_are_queried_once_more_for_confirmations():
    """Guards against waiting the whole timeout although the linked peers hold the version."""
    store = _store_at(5)
    assert not store.confirmation.needs_retry(9.0)
    _stage(store, 6, CHANGED, now_s=10.0)
    assert not store.confirmation.needs_retry(10.2)
    assert store.confirmation.needs_retry(10.25)
    assert not store.confirmation.needs_retry(10.3)


def test_isolated_node_activates_after_the_timeout():
    """Guards against a node that never activates, or does so before it could find its peers."""
    store = _store_at(5)
    _stage(store, 6, CHANGED, now_s=10.0)
    assert not store.confirmation.is_complete(10.9, frozenset())
    assert store.confirmation.is_complete(11.0, frozenset())


def test_one_inserted_line_changes_few_chunks():
    """Guards against an insertion that shifts all chunk boundaries, so that all chunks are sent."""
    base = many_services_rules(250)
    lines = base.splitlines(keepends=True)
    rng = random.Random(1)
    for _ in range(20):
        index = rng.randrange(len(lines))
        changed = b"".join([*lines[:index], b"# note\n", *lines[index:]])
        new_chunks = set(split(changed)) - set(split(base))
        assert len(new_chunks) <= 2
        assert b"".join(split(changed)) == changed


def test_only_one_source_transfers_a_version():
    """Guards against every linked peer delivering the same version."""
    store = _store_at(5)
    manifest = chunk_version(6, CHANGED).manifest
    assert store.accept_offer(manifest, "a", 0.0) is not None
    assert store.accept_offer(manifest, "b", 0.1) is None
    assert store.accept_offer(manifest, "b", 5.0) is not None


def test_failed_or_expired_transfer_requests_another_source_once():
    """Guards against a dead source that blocks a version until the next regular exchange."""
    store = _store_at(5)
    manifest = chunk_version(6, CHANGED).manifest
    store.accept_offer(manifest, "a", 0.0)
    store.accept_offer(manifest, "b", 0.1)
    assert not store.transfer.needs_source(0.2)
    store.transfer.source_failed("b")
    assert not store.transfer.needs_source(0.2)
    store.transfer.source_failed("a")
    assert store.transfer.needs_source(0.3)
    assert not store.transfer.needs_source(0.4)
    assert store.accept_offer(manifest, "b", 0.5) is not None
    assert store.transfer.needs_source(2.6)
    assert not store.transfer.needs_source(2.7)


def test_higher_revision_replaces_a_transfer():
    """Guards against completing an outdated transfer first, or failing on its late chunks."""
    store = _store_at(5)
    older, newer = (
        chunk_version(6, CHANGED).manifest,
        chunk_version(7, CHANGED + b"# note\n").manifest,
    )
    store.accept_offer(older, "a", 0.0)
    assert store.accept_offer(newer, "b", 0.1) is not None
    assert store.accept_offer(older, "c", 0.2) is None
    assert store.offered_manifest(older.version_id) is None
    assert store.offered_manifest(newer.version_id) == newer
    store.transfer.end(older.version_id)
    assert store.offered_manifest(newer.version_id) == newer


def test_refused_revision_with_other_content_is_validated_again():
    """Guards against nodes that disagree because one of them received an invalid version first."""
    store = _store_at(5)
    _stage(store, 6, PILBARA_RULES + b"junk\n")
    assert isinstance(_stage(store, 6, CHANGED), ValidatedVersion)


def test_reused_chunks_get_the_line_numbers_of_the_new_version():
    """Guards against reused rules that keep the line numbers of an earlier version."""
    store = _store_at(5)
    for revision, content in enumerate((b"# note\n" + CHANGED, CHANGED, PILBARA_RULES), start=6):
        assert _stage(store, revision, content).rules == parse_rule_set(content)
        store.activate()


def test_malformed_packed_chunks_raise_message_errors():
    """Guards against truncated, corrupt or oversized chunk data from a peer."""
    packed = pack([b"line\n", b"other\n"])
    assert list(unpack(packed).values()) == [b"line\n", b"other\n"]
    for data in (b"", b"junk", packed[:-3], pack([b"x" * 3_000_000])):
        try:
            unpack(data)
        except MessageError:
            continue
        raise AssertionError(f"accepted {data[:20]!r}")


LINKS = frozenset("abcd")
CHANGED = PILBARA_RULES.replace(b"share_percent=40", b"share_percent=35")

load_tests = function_tests(__name__)
