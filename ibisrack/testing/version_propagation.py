"""Propagates one version through a large simulated fleet and counts rounds and bytes.

In a round every node whose versions changed exchanges once with each of its links.  A round takes
0.1 s and a node also queries a random link once a second on average, so about one node in ten does
in each round.  Member tables hold only a node's links, and exchanges open without the member
digest, so the bytes are those of the Hello and version messages.
"""

from random import Random

import attrs

from ibisrack.membership.election import elect_readers
from ibisrack.membership.overlay import choose_links
from ibisrack.node.state import NodeState
from ibisrack.platform.messages import PlatformValue
from ibisrack.testing.fixtures import bare_node
from ibisrack.testing.stepped_fleet import SteppedFleet
from ibisrack.versions.chunks import chunk_version
from ibisrack.versions.platform_reader import accept
from ibisrack.versions.store import VersionStore

REGION_COUNT = 3
ROUND_S = 0.1
QUERY_INTERVAL_S = 1.0
MAX_ROUNDS = 200


@attrs.frozen
class Propagation:
    """Cost of the propagation of one version.

    Attributes:
      rounds: Rounds until the version was in force on every running node; MAX_ROUNDS if it never
        was.
      bytes_per_node: Bytes sent by all running nodes, divided by their number.
      nodes: Number of running nodes.
    """

    rounds: int
    bytes_per_node: float
    nodes: int


def _active_store(content: bytes) -> VersionStore:
    store = VersionStore()
    version = chunk_version(1, content)
    store.stage(version.manifest, version.chunks, 0.0)
    store.activate()
    return store


def create_propagation_fleet(
    node_count: int, zone_count: int, content: bytes, seed: int
) -> SteppedFleet:
    """Returns a fleet of serving nodes that all have a content in force as revision 1."""
    nodes: dict[str, NodeState] = {}
    for number in range(node_count):
        zone = number % zone_count
        node_id = f"node-{number:04d}"
        nodes[node_id] = bare_node(node_id, f"zone-{zone}", f"region-{zone % REGION_COUNT}")
    fleet = SteppedFleet(nodes.__getitem__, Random(seed), sends_member_digests=False)
    records = [node.members.own() for node in nodes.values()]
    store = _active_store(content)
    for node_id, node in nodes.items():
        for link in choose_links(node.members.own(), records):
            node.members.apply(link)
        node.refresh_links()
        node.versions = attrs.evolve(store)
        fleet.start(node_id)
        node.fire_trigger("serve", fleet.now())
    return fleet


def propagate(fleet: SteppedFleet, content: bytes, dead_share: float = 0.0) -> Propagation:
    """Propagates a content as revision 2 from one running reader in each zone.

    Args:
      fleet: A fleet of create_propagation_fleet.
      content: The content of the new version.
      dead_share: Share of the nodes that crash before the propagation.
    """
    crashed = fleet.rng.sample(sorted(fleet.nodes), int(dead_share * len(fleet.nodes)))
    for node_id in crashed:
        fleet.crash(node_id)
    running = [stepped for stepped in fleet.nodes.values() if stepped.up]
    records = [stepped.node.members.own() for stepped in running]
    for zone in {record.zone for record in records}:
        reader = fleet.nodes[elect_readers(zone, records)[0].node_id]
        accept(PlatformValue("rules", 2, content), reader.node, fleet.now())
        fleet.request_exchanges(reader.node.members.own_id)
    rounds = 0
    while rounds < MAX_ROUNDS and not all(_has_new_version(stepped.node) for stepped in running):
        rounds += 1
        fleet.now_s += ROUND_S
        for stepped in running:
            node, now = stepped.node, fleet.now()
            if node.activate_if_ready(now) or node.needs_exchange(now):
                fleet.request_exchanges(stepped.node.members.own_id)
            if fleet.rng.random() < ROUND_S / QUERY_INTERVAL_S:
                stepped.pending_peers.add(fleet.rng.choice(sorted(stepped.node.links.chosen)))
        fleet.exchange(follow_up=False)
    sent_bytes = sum(stepped.bytes_sent for stepped in running)
    return Propagation(rounds, sent_bytes / len(running), len(running))


def _has_new_version(node: NodeState) -> bool:
    return node.versions.in_force.version_id.revision == 2
