"""Tests of odd entries of the registry: each costs itself alone, whatever it does to a decoder."""

import asyncio
import json
from collections.abc import Iterable
from random import Random

import attrs
import zstandard
from hypothesis import given
from hypothesis import strategies as st

from ibisrack.dispatch.choice import InstanceViews, choose_instance
from ibisrack.errors import MessageError
from ibisrack.instances.directory import RECOVERY_GRACE_S, InstanceDirectory
from ibisrack.links.bounds import check_bounds
from ibisrack.links.codec import encode
from ibisrack.links.messages import Load, Submit
from ibisrack.metrics.tally import Tally
from ibisrack.platform import entries as platform_entries
from ibisrack.registry.deltas import pack_changes
from ibisrack.registry.follower import RegistryFollower
from ibisrack.registry.messages import (
    NO_REVISION,
    Changes,
    Delta,
    Entry,
    Listing,
    PackedEntry,
    Revision,
)
from ibisrack.registry.view import RegistryView
from ibisrack.routing.holder import ConfigurationHolder
from ibisrack.routing.splits import Splitter
from ibisrack.sidecar.content import RegistryContent
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz
from ibisrack.testing.sidecars import (
    STANDARD_ROUTES,
    TIMING,
    configuration_entry,
    instance,
    instance_entry,
    route_resource,
)

GUARD_S = 5.0
DEPTH = 5000  # Beyond the recursion limit of the interpreter.
NESTED = b"[" * DEPTH + b"]" * DEPTH
NESTED_FIELD = b'{"address":' + NESTED + b"}"
CONFIGURATION = configuration_entry(12, *STANDARD_ROUTES)


class OneListing:
    """A registry with one listing, after which nothing changes."""

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        self.is_applied = asyncio.Event()

    async def list_all(self, on_begin) -> Listing:
        return self.listing

    async def changes(
        self, after: Revision, wait_s: float, max_bytes: int, response_s: float, on_begin
    ) -> Changes:
        self.is_applied.set()
        return await asyncio.Event().wait()


@attrs.define(eq=False)
class Reader:
    """A follower of a registry, with what its node knows."""

    follower: RegistryFollower
    content: RegistryContent

    @property
    def instance_ids(self) -> set[str]:
        return {listed.instance_id for listed in self.content.directory.all()}

    @property
    def version(self) -> int:
        return self.content.configurations.version


def reader_of(registry: OneListing | None) -> Reader:
    content = RegistryContent(
        platform_entries, InstanceDirectory(), ConfigurationHolder(), InstanceViews()
    )
    follower = RegistryFollower(
        registry,
        RegistryView(),
        TIMING,
        Random(1),
        Tally(),
        on_entries=content.apply,
        on_restore=content.apply_restored,
        on_state=lambda answering: None,
        on_outage_end=lambda: None,
    )
    return Reader(follower, content)


def listing_of(contents: dict[str, bytes]) -> Listing:
    revisions = enumerate(contents.items(), 1)
    listed = tuple(Entry(key, content, Revision(1, n)) for n, (key, content) in revisions)
    return Listing(Revision(1, len(listed)), listed)


async def read(contents: dict[str, bytes]) -> Reader:
    """Returns a reader that has followed a registry with these entries; its task must not end."""
    registry = OneListing(listing_of(contents))
    reader = reader_of(registry)
    reader.follower.set_sources(reads=True, answers_peers=False)
    task = asyncio.create_task(reader.follower.follow())
    applied = asyncio.create_task(registry.is_applied.wait())
    await asyncio.wait((task, applied), timeout=GUARD_S, return_when=asyncio.FIRST_COMPLETED)
    if task.done():
        task.result()
    assert applied.done()
    task.cancel()
    return reader


def read_from_peer(contents: dict[str, bytes]) -> Reader:
    """Returns a reader that got these entries in a peer's delta."""
    peer, reader = RegistryView(), reader_of(None)
    peer.replace(listing_of(contents))
    reader.follower.apply_peer_delta(pack_changes(peer, NO_REVISION))
    return reader


def beside(odd: dict[str, bytes]) -> dict[str, bytes]:
    """Returns odd entries, with a configuration and an instance before and after them."""
    first, last = instance("i-1"), instance("i-9", host="10.0.0.9")
    return {
        "servers/i-1": instance_entry(first),
        **odd,
        "op/config": odd.get("op/config", CONFIGURATION),
        "servers/i-9": instance_entry(last),
    }


async def test_deeply_nested_instance_costs_itself_alone():
    """Guards against a nested entry that ends the follower and all entries after it."""
    for nested in (NESTED, NESTED_FIELD):
        contents = beside({"servers/i-2": nested})
        for reader in (await read(contents), read_from_peer(contents)):
            assert reader.instance_ids == {"i-1", "i-9"}
            assert reader.version == 12


async def test_deeply_nested_configuration_costs_itself_alone():
    """Guards against a nested configuration that ends the follower and all entries after it."""
    for nested in (NESTED, b'{"version":"0000000c","resources":' + NESTED + b"}"):
        contents = beside({"op/config": nested})
        for reader in (await read(contents), read_from_peer(contents)):
            assert reader.instance_ids == {"i-1", "i-9"}
            assert reader.version == 0


def test_refused_configuration_is_shown_until_the_next_one_is_read():
    """Guards against a fleet that stays on an older version, which no metric shows."""
    content = reader_of(None).content
    malformed = configuration_entry(13, route_resource(timeout="soon"))
    shown = []
    for revision, listed in enumerate((CONFIGURATION, malformed, configuration_entry(14)), 1):
        content.apply((Entry("op/config", listed, Revision(1, revision)),))
        shown.append((content.latest_refused, content.configurations.version))
    assert shown == [(False, 12), (True, 12), (False, 14)]


def test_draining_report_with_a_long_number_holds_while_the_registry_is_down():
    """Guards against requests to an instance that has reported that it drains."""
    content = reader_of(None).content
    ready, draining = (
        instance_entry(instance("i-1", state=state, sequence=sequence))
        for sequence, state in enumerate(("ready", "draining"))
    )
    body = json.loads(draining)
    body["status"]["cold_remaining"] = "0.3333333333333333s"
    content.apply((Entry("servers/i-1", ready, Revision(1, 1)),))
    content.directory.mark_registry_down(0.0)
    content.apply((Entry("servers/i-1", json.dumps(body).encode(), Revision(1, 2)),))
    assert not any(listed.ready for listed in content.directory.of_service("desk"))


async def test_instance_can_be_chosen_beside_one_with_too_many_slots():
    """Guards against an entry whose slots fail every request of the service."""
    odd = instance_entry(instance("i-2", slots=10**400))
    reader = await read(beside({"servers/i-2": odd}))
    content = reader.content
    for _ in range(20):
        chosen = choose_instance(
            content.directory.of_service("desk"), content.views, "a", 0.1, Random(1), 0.0
        )
        assert chosen.instance_id in ("i-1", "i-9")


ZONE_NAMES = ("north", " ", "a/b", "\0", "op/evacuate/", "\u00e9\U0001f4a5", "z" * 5000)


async def test_keys_of_evacuated_zones_count_whatever_their_names_and_contents():
    """Guards against an evacuation that an odd entry hides, and a follower that one ends."""
    contents = (b"", b"{}", NESTED, b"\xff\x00")
    keys = {f"op/evacuate/{zone}": contents[n % 4] for n, zone in enumerate(ZONE_NAMES)}
    listed = beside(keys | {"op/evacuate/": b"", "op/evacuate": b"", "op/evacuated/a": b""})
    for reader in (await read(listed), read_from_peer(listed)):
        directory = reader.content.directory
        assert directory.evacuated_zones == set(ZONE_NAMES)
        assert reader.version == 12
        assert reader.instance_ids == {"i-1", "i-9"}
        assert len(directory.in_use("desk")) == 2


def test_an_evacuation_and_a_version_that_moves_routes_hold_together():
    """Guards against one of two changes of the registry that is lost beside the other."""
    content = reader_of(None).content
    instances = (instance("i-1"), instance("i-2", service="docs", zone="b", host="10.0.0.2"))
    content.apply(
        tuple(
            Entry(f"servers/{each.instance_id}", instance_entry(each), Revision(1, n))
            for n, each in enumerate(instances, 1)
        )
    )
    moved = configuration_entry(13, route_resource(service="docs"), services=("desk", "docs"))
    changes = (
        Entry("op/config", CONFIGURATION, Revision(1, 3)),
        Entry("op/evacuate/b", b"", Revision(1, 4)),
        Entry("op/config", moved, Revision(1, 5)),
        Entry("op/evacuate/b", None, Revision(1, 6)),
    )
    states = []
    for change in changes:
        content.apply((change,))
        in_use = tuple(len(content.directory.in_use(name)) for name in ("desk", "docs"))
        states.append((content.configurations.version, in_use))
    assert states == [(12, (1, 1)), (12, (1, 0)), (13, (1, 0)), (13, (1, 1))]


def test_a_restored_registry_ends_no_evacuation_at_once_and_brings_back_earlier_ones():
    """Guards against requests to an evacuated zone whose key the copy lacks, and the reverse."""
    reader = reader_of(None)
    view, directory = reader.follower.view, reader.content.directory
    for revision, keys in (((1, 5), ("north", "south")), ((2, 3), ("south", "west"))):
        entries = tuple(Entry(f"op/evacuate/{key}", b"", Revision(*revision)) for key in keys)
        reader.follower._replace_view(Listing(Revision(*revision), entries))
    assert directory.evacuated_zones == {"north", "south", "west"}
    recovered_at_s = directory.registry_recovered_at_s
    assert directory.end_lapsed_evacuations(recovered_at_s + RECOVERY_GRACE_S) == {"north"}
    removed = Entry("op/evacuate/west", None, Revision(2, 4))
    reader.content.apply(view.apply(Changes(Revision(2, 4), (removed,))))
    assert directory.evacuated_zones == {"south"}


def paths_of(value: object) -> list[tuple[str | int, ...]]:
    """Returns the paths of all values in a JSON value, its own path first."""
    items: Iterable[tuple[str | int, object]] = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    return [(), *((name, *path) for name, item in items for path in paths_of(item))]


NESTED_MARK = "@nested@"
# Values that decoders of numbers, addresses and texts have accepted or failed on.
KNOWN_ODD = (
    *(10**400, 2**63, 2**64, -1, 1e308, float("nan"), float("inf"), True, None, NESTED_MARK),
    *("", "\0", "a" * 300, "10.0.0.1:70000", "10.0.0.1:-1", "\u0663s", "1e309s", "9" * 5000),
)
ODD_VALUES = st.sampled_from(KNOWN_ODD) | st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda items: st.lists(items, max_size=3) | st.dictionaries(st.text(max_size=3), items),
    max_leaves=5,
)


@st.composite
def odd_contents(draw: st.DrawFn, valid: bytes) -> bytes:
    """Returns the strategy for contents of an entry: a valid one with odd values in it, or none."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.binary(max_size=40))
    body = json.loads(valid)
    for _ in range(draw(st.sampled_from((1, 1, 1, 2)))):
        path, value = draw(st.sampled_from(paths_of(body)[1:])), draw(ODD_VALUES)
        parent = body
        for name in path[:-1]:
            parent = parent[name]
        parent[path[-1]] = value
    depth = draw(st.sampled_from((10, 900, 1000, DEPTH, 100_000)))
    nested = b"[" * depth + b"]" * depth
    return json.dumps(body).encode().replace(f'"{NESTED_MARK}"'.encode(), nested)


def check_usable(reader: Reader) -> None:
    """Checks that requests can be sent to each instance that is listed."""
    content, rng = reader.content, Random(1)
    for listed in content.directory.all():
        others = content.directory.of_service(listed.service)
        assert choose_instance(others, content.views, "a", 0.1, rng, 1.0) is not None
        load = Load(0, 0, listed.slots, 1.0, True, NO_REVISION, True, True, listed.instance_id)
        reported = attrs.evolve(load, leaving_start_ms=listed.started_at_ms)
        check_bounds(reported)
        encode(reported)
        f"Expected-Instance: {listed.instance_id}\r\n".encode("ascii")


@fuzz(200)
@given(odd_contents(instance_entry(instance("i-2", host="10.0.0.2"))), st.text(max_size=5))
def test_any_instance_costs_itself_alone(odd, suffix):
    """Guards against an entry of an instance that ends the follower, or fails requests."""
    reader = read_from_peer(beside({f"servers/i-2{suffix}": odd}))
    assert {"i-1", "i-9"} <= reader.instance_ids
    assert reader.version == 12
    check_usable(reader)


@fuzz(200)
@given(odd_contents(CONFIGURATION))
def test_any_configuration_costs_itself_alone(odd):
    """Guards against a configuration that ends the follower, or fails requests."""
    reader = read_from_peer(beside({"op/config": odd}))
    assert reader.instance_ids == {"i-1", "i-9"}
    configuration, splitter = reader.content.configurations.current, Splitter()
    if configuration is None:
        return
    assert 0 <= configuration.version < 2**32
    for route in configuration.routes:
        assert splitter.next_service(route) in configuration.services
        times_ms = (round(route.timeout_s * 1000), round(route.target_s * 1000))
        submit = Submit(
            *(1, "q", 1, False, "i-1", "desk", route.rank, True, *times_ms, times_ms[1]),
            *("docs", "GET", "h", "/", (), b""),
        )
        check_bounds(submit)
        encode(submit)


PACKED = zstandard.ZstdCompressor().compress(CONFIGURATION)
KEYS = ("op/config", "servers/i-1", "servers/i-2", "servers/i-9")


@fuzz(300)
@given(
    st.sampled_from(KEYS),
    st.sampled_from((NO_REVISION, Revision(1, 1), Revision(1, 2), Revision(1, 3))),
    st.binary(max_size=30)
    | st.builds(
        lambda at, byte: PACKED[:at] + bytes((byte,)) + PACKED[at + 1 :],
        st.integers(0, len(PACKED) - 1),
        st.integers(0, 255),
    ),
    st.lists(st.sampled_from(KEYS), max_size=6),
)
def test_any_delta_of_a_peer_is_applied_or_malformed(key, base, packed, keys):
    """Guards against a delta that ends the task of a link."""
    reader = read_from_peer(beside({}))
    odd = PackedEntry(key, Revision(1, 9), base, packed)
    try:
        reader.follower.apply_peer_delta(Delta(Revision(1, 9), tuple(keys), (odd,)))
    except MessageError:
        assert reader.instance_ids == {"i-1", "i-9"}
        assert reader.version == 12


load_tests = function_tests(__name__)
