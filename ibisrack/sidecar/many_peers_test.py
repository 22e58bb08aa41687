"""Tests of the work that instances, peers and changes of the registry cause at a node."""

from collections.abc import Iterator

import attrs

from ibisrack.links.messages import Load
from ibisrack.registry.follower import RegistryFollower
from ibisrack.registry.messages import NO_REVISION, Entry, Revision
from ibisrack.routing.model import Configuration, Route, RoutePart
from ibisrack.settings.sidecar import Address, SidecarSettings
from ibisrack.sidecar.node import SidecarNode
from ibisrack.sidecar.run import assemble
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance, instance_entry, route

SETTINGS = SidecarSettings(
    node_id="node-1",
    service="desk",
    zone="a",
    instance=Address("10.0.0.1", 80),
    calls=Address("10.0.0.1", 81),
    links=Address("10.0.0.1", 82),
    ready=Address("10.0.0.1", 83),
    registry=Address("10.0.9.9", 84),
)


class CountingRoutes(tuple):
    """Routes that count how often they are visited one after the other."""

    visits = 0

    def __iter__(self) -> Iterator[Route]:
        CountingRoutes.visits += 1
        return super().__iter__()


class CountingRevision(Revision):
    """A revision that counts how often it is asked whether it is the later one."""

    comparisons = 0

    def __gt__(self, other: Revision) -> bool:
        CountingRevision.comparisons += 1
        return super().__gt__(other)


def node_with_routes(*routes: Route) -> SidecarNode:
    node = assemble(SETTINGS)
    node.follower = RegistryFollower(
        None,
        node.view,
        node.registry_peers.timing,
        node.rng,
        node.tally,
        node.apply_entries,
        node.apply_entries,
        bool,
        node.end_registry_outage,
    )
    node.configurations.offer(Configuration(1, CountingRoutes(routes), {}))
    return node


def apply_instance(node: SidecarNode, number: int, **fields) -> None:
    listed = instance(f"i-{number}", **fields)
    entry = Entry(f"servers/i-{number}", instance_entry(listed), Revision(0, number))
    node.apply_entries((entry,))


def test_change_of_an_instance_does_not_visit_the_routes():
    """Guards against work for each report of an instance that grows with the configuration."""
    node = node_with_routes(*(route(f"r-{n}", prefix=f"/{n}/") for n in range(9)))
    CountingRoutes.visits = 0
    for number in range(1, 5):
        apply_instance(node, number, host=f"10.0.0.{number}")
    assert CountingRoutes.visits == 0


def test_ranks_of_the_own_instance_follow_its_service():
    """Guards against requests refused as without a route after the address changed its service."""
    other = (RoutePart("docs", 1), RoutePart("desk", 0))
    node = node_with_routes(
        route("r-1", priority=2), route("r-2", prefix="/d/", priority=5, parts=other)
    )
    apply_instance(node, 1)
    scheduler = node.instance_runner.gate.scheduler
    assert [rule.rank for rule in scheduler._ranks] == ["priority-2", "priority-5"]
    apply_instance(node, 2, service="docs", started_at_ms=7)
    assert [rule.rank for rule in scheduler._ranks] == ["priority-5"]


async def test_peers_with_the_same_revision_are_not_compared_with_it_in_turn():
    """Guards against work ten times a second that is slow for each of many peers."""
    node = node_with_routes()
    load = Load(0, 0, 2, 1.0, True, NO_REVISION, False, True)
    for number in range(1, 10):
        apply_instance(node, number, host=f"10.0.0.{number}")
    links = [node.destination_of(known) for known in node.directory.all()][1:]
    node.view.revision = CountingRevision(0, 5)
    for link in links:
        link.load = attrs.evolve(load, revision=CountingRevision(0, 5))
    node.registry_peers.request_missing_entries(1.0)
    assert (CountingRevision.comparisons, node.registry_peers._behind_since_s) == (0, None)
    links[0].load = attrs.evolve(load, revision=CountingRevision(0, 6))
    node.registry_peers.request_missing_entries(2.0)
    assert (CountingRevision.comparisons, node.registry_peers._behind_since_s) == (1, 2.0)
    node.close()


@attrs.define(eq=False)
class RecordingLink:
    """A peer's link that keeps the load that it is to send."""

    load: Load | None = None

    def send_load_if_changed(self, load: Load) -> None:
        self.load = load


async def test_load_is_determined_once_for_all_peers():
    """Guards against work each second that is slow for each of many peers."""
    node = node_with_routes()
    links = [RecordingLink() for _ in range(9)]
    node.incoming_links.update(links)
    node.report_load()
    assert links[0].load == node.load()
    assert len({id(link.load) for link in links}) == 1


@attrs.define(eq=False)
class IdleLink:
    """An outgoing link that was not used lately."""

    closed: bool = False

    def is_idle(self, now_s: float) -> bool:
        return True

    def close_idle(self) -> None:
        self.closed = True


async def test_only_idle_links_that_nothing_needs_are_closed():
    """Guards against links that pile up after refusals, and against closing those in use."""
    node = node_with_routes()
    for number in range(1, 100):
        apply_instance(node, number, host=f"10.0.0.{number}", zone="ab"[number % 2])
    selector = node.dispatcher.selector
    subset = selector.subsets.of("desk", node.directory.of_service("desk"), "a")
    node.registry_peers.candidates = ("10.0.0.98",)
    node.outgoing_links.update({f"10.0.0.{n}": IdleLink() for n in range(2, 100)})
    node._close_idle_links(1.0)
    kept = {host for host, link in node.outgoing_links.items() if not link.closed}
    needed = {each.host for each in subset} | {"10.0.0.98"}
    assert kept == needed - {"10.0.0.1"}


load_tests = function_tests(__name__)
