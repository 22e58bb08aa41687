"""Tests of the packing of changes for peers."""

import random

from ibisrack.errors import MessageError
from ibisrack.registry.deltas import MissingBaseError, pack_changes, unpack_changes
from ibisrack.registry.messages import (
    MAX_CONTENT_BYTES,
    NO_REVISION,
    Changes,
    Delta,
    Entry,
    Listing,
    PackedEntry,
)
from ibisrack.registry.registry_test import at
from ibisrack.registry.view import RegistryView
from ibisrack.testing.functions import function_tests

CONFIGURATION = "op/config"


def configuration(version: int) -> bytes:
    """Returns a large content of which one line differs between versions."""
    routes = [f"route {n} {n * 7919 % 1009:04d}" for n in range(5000)]
    routes[version] += f" changed in {version}"
    return f"version {version}\n{chr(10).join(routes)}".encode()


def view_at(version: int) -> RegistryView:
    """Returns a view at the revision ``version``, which it reached one version at a time."""
    view = RegistryView()
    view.replace(
        Listing(at(1), (Entry("a", b"1", at(1)), Entry(CONFIGURATION, configuration(1), at(1))))
    )
    for number in range(2, version + 1):
        written = Entry(CONFIGURATION, configuration(number), at(number))
        view.apply(Changes(at(number), (written,)))
    return view


def size(delta: Delta) -> int:
    return sum(len(packed.packed) for packed in delta.changed)


def expect_error(error_type: type, view: RegistryView, delta: Delta) -> None:
    try:
        unpack_changes(view, delta)
    except error_type:
        return
    raise AssertionError("the delta was accepted")


def test_a_peer_receives_only_what_changed():
    """Guards against sending a whole configuration to each peer for each change of a route."""
    ahead, behind = view_at(3), view_at(2)
    delta = pack_changes(ahead, behind.revision)
    assert size(delta) < len(configuration(3)) / 100
    changed = behind.replace(unpack_changes(behind, delta))
    assert changed == (Entry(CONFIGURATION, configuration(3), at(3)),)
    assert (behind.revision, behind.entries) == (ahead.revision, ahead.entries)


def test_a_peer_without_a_common_version_receives_the_whole_content():
    """Guards against a new node, or one far behind, that can't use what a peer sends."""
    ahead, empty = view_at(9), RegistryView()
    empty.replace(unpack_changes(empty, pack_changes(ahead, NO_REVISION)))
    assert empty.entries == ahead.entries
    far_behind = view_at(2)
    far_behind.replace(unpack_changes(far_behind, pack_changes(ahead, at(2))))
    assert far_behind.entries == ahead.entries


def test_removed_entries_are_removed_at_the_peer():
    """Guards against instances that peers keep because a delta only lists what was written."""
    ahead, behind = view_at(2), view_at(2)
    ahead.apply(Changes(at(3), (Entry("a", None, at(3)),)))
    assert behind.replace(unpack_changes(behind, pack_changes(ahead, at(2)))) == (
        Entry("a", None, at(3)),
    )


def test_a_delta_that_does_not_fit_is_refused():
    """Guards against a configuration that is put together from parts of two versions."""
    delta = pack_changes(view_at(3), at(2))
    expect_error(MissingBaseError, RegistryView(), delta)
    expect_error(MissingBaseError, view_at(1), delta)


def test_content_of_a_restored_registry_replaces_that_of_the_era_before():
    """Guards against a peer that keeps lost content because its revisions have higher numbers."""
    behind, ahead = view_at(9), view_at(9)
    restored = Entry(CONFIGURATION, configuration(3), at(2, era=2))
    ahead.replace(Listing(at(2, era=2), (restored,)))
    delta = pack_changes(ahead, behind.revision)
    assert size(delta) < len(configuration(3)) / 100
    changed = behind.replace(unpack_changes(behind, delta))
    assert changed == (restored, Entry("a", None, at(2, era=2)))
    assert (behind.revision, behind.entries) == (ahead.revision, ahead.entries)


def test_content_of_an_earlier_era_is_ignored():
    """Guards against lost content that comes back from a peer that has not noticed the restore."""
    behind, ahead = view_at(9), view_at(9)
    ahead.replace(Listing(at(2, era=2), ()))
    delta = pack_changes(behind, at(3))
    assert ahead.replace(unpack_changes(behind, delta)) == ()
    assert not ahead.entries


def test_contents_up_to_the_limit_fit_into_a_delta():
    """Guards against a follower that refuses an entry which its reader took from the registry."""
    first, second = (random.Random(n).randbytes(MAX_CONTENT_BYTES) for n in (1, 2))
    behind, ahead = RegistryView(), RegistryView()
    for view in (behind, ahead):
        view.replace(Listing(at(1), (Entry(CONFIGURATION, first, at(1)),)))
    ahead.apply(Changes(at(2), (Entry(CONFIGURATION, second, at(2)),)))
    for view in (behind, RegistryView()):
        view.replace(unpack_changes(view, pack_changes(ahead, view.revision)))
        assert view.entries == ahead.entries


def test_content_above_the_limit_is_refused():
    """Guards against a peer's delta that takes all memory of a small host."""
    ahead = RegistryView()
    too_large = Entry(CONFIGURATION, bytes(MAX_CONTENT_BYTES + 1), at(2))
    ahead.replace(Listing(at(2), (too_large,)))
    expect_error(MessageError, RegistryView(), pack_changes(ahead, NO_REVISION))


def test_malformed_content_is_refused():
    """Guards against a peer's malformed bytes that end the process or use all its memory."""
    for packed in (b"", b"junk", pack_changes(view_at(1), NO_REVISION).changed[1].packed[:-9]):
        delta = Delta(
            at(5), (CONFIGURATION,), (PackedEntry(CONFIGURATION, at(5), NO_REVISION, packed),)
        )
        expect_error(MessageError, RegistryView(), delta)


load_tests = function_tests(__name__)
