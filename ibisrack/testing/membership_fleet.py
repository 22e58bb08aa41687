"""Simulated fleet for membership: many nodes in one process, without sockets, encoding or clocks.

Exchanges call the same message handlers as the exchanger does.  Time advances in fixed steps and
every random choice comes from one seeded source, so a run repeats exactly.
"""

from collections.abc import Collection
from random import Random

import attrs

import ibisrack.exchange.registry  # noqa: F401
from ibisrack.clocks import Instant
from ibisrack.exchange.dispatch import handle_messages, header_messages
from ibisrack.exchange.exchanger import MAX_EXCHANGE_ROUNDS
from ibisrack.membership.maintenance import (
    expire_members,
    mark_updates_sent,
    pending_updates,
    record_exchange_failure,
)
from ibisrack.membership.overlay import choose_links
from ibisrack.membership.reconnection import reconnect_candidates
from ibisrack.membership.records import MemberRecord
from ibisrack.membership.table import MemberTable
from ibisrack.node.state import NodeState
from ibisrack.testing.fixtures import bare_node

TIME_STEP_S = 0.25
RECONNECT_PROBABILITY = TIME_STEP_S / 5.0  # Every 5 s on average.


@attrs.define
class MembershipFleet:
    """The states of all nodes and the faults in effect.

    Attributes:
      nodes: Node states by node id.
      rng: Source of every random choice.
      loss_rate: Share of the exchanges that get no answer.
      now_s: Monotonic time of all nodes.
      stopped: Nodes that do not run: killed or paused.
      partition: Nodes that reach only each other.
    """

    nodes: dict[str, NodeState]
    rng: Random
    loss_rate: float = 0.0
    now_s: float = 100.0
    stopped: set[str] = attrs.field(factory=set)
    partition: set[str] = attrs.field(factory=set)
    _link_cache: dict[str, tuple[object, tuple[MemberRecord, ...]]] = attrs.field(factory=dict)

    @property
    def now(self) -> Instant:
        """The current instant."""
        return Instant(self.now_s, int(self.now_s * 1000))

    def running(self) -> list[NodeState]:
        """Returns the nodes that run."""
        return [node for node_id, node in self.nodes.items() if node_id not in self.stopped]

    def links(self, node: NodeState) -> tuple[MemberRecord, ...]:
        """Returns the links of a node, which depend only on its member table."""
        digest = node.members.digest()
        cached = self._link_cache.get(node.members.own_id)
        if cached is None or cached[0] != digest:
            cached = (digest, choose_links(node.members.own(), node.members.all()))
            self._link_cache[node.members.own_id] = cached
        return cached[1]

    def exchange(self, node: NodeState, peer_id: str, regular: bool) -> bool:
        """Exchanges once as a link task does; returns whether the peer answered.

        Args:
          node: The node that opens the exchange.
          peer_id: The other node.
          regular: Whether to compare the member tables even if member updates are pending.
        """
        if not self._is_reachable(node.members.own_id, peer_id):
            return False
        peer = self.nodes[peer_id]
        updates = pending_updates(node, peer_id)
        digest = (node.members.digest(),) if regular or not updates else ()
        to_send = (*updates, *digest)
        for _ in range(MAX_EXCHANGE_ROUNDS):
            answer = self._serve(peer, (*header_messages(node, self.now), *to_send))
            to_send = handle_messages(answer, node, self.now)
            if not to_send:
                break
        mark_updates_sent(node, peer_id, updates)
        node.links.record_success(peer_id)
        return True

    def step(self) -> None:
        """Advances the time by TIME_STEP_S: runs timers, then the exchanges that are due."""
        self.now_s += TIME_STEP_S
        for node in self.running():
            if node.tick(self.now):
                node.fire_trigger("serve", self.now)
            expire_members(node, self.now)
        for node in self.running():
            self._step_links(node)
            self._reconnect(node)

    def run(self, duration_s: float) -> None:
        """Advances the time by a duration."""
        for _ in range(round(duration_s / TIME_STEP_S)):
            self.step()

    def send_updates(self) -> None:
        """Runs one round of gossip: every node sends its pending updates to its links."""
        due = [(n, link) for n in self.running() for link in self.links(n) if n.gossip.pending]
        for node, link in due:
            if node.gossip.unsent_to(link.node_id):
                self.exchange(node, link.node_id, regular=False)

    def _serve(self, peer: NodeState, messages: tuple) -> tuple:
        sender_id = messages[0].sender.node_id
        replies = handle_messages(messages, peer, self.now)
        updates = pending_updates(peer, sender_id)
        mark_updates_sent(peer, sender_id, updates)
        return (*header_messages(peer, self.now), *replies, *updates)

    def _step_links(self, node: NodeState) -> None:
        links = self.links(node)
        for link in links:
            regular = self.rng.random() < TIME_STEP_S / max(1, len(links))
            retried = link.node_id in node.links.failed and self.rng.random() < 0.5
            if regular or retried or node.gossip.unsent_to(link.node_id):
                if not self.exchange(node, link.node_id, regular):
                    record_exchange_failure(node, link.node_id, self.now)

    def _reconnect(self, node: NodeState) -> None:
        if self.rng.random() >= RECONNECT_PROBABILITY:
            return
        candidates = reconnect_candidates(node.members.all(), ())
        if candidates:
            address = self.rng.choice(candidates)
            record = next(m for m in node.members.all() if m.peer_address == address)
            self.exchange(node, record.node_id, regular=True)

    def _is_reachable(self, node_id: str, peer_id: str) -> bool:
        if peer_id in self.stopped or peer_id not in self.nodes:
            return False
        same_side = (node_id in self.partition) == (peer_id in self.partition)
        return same_side and self.rng.random() >= self.loss_rate


def zone_and_region(index: int, zone_count: int) -> tuple[str, str]:
    """Returns the zone and the region of the node with this index; there are three regions."""
    return f"zone-{index % zone_count:02d}", f"region-{index % zone_count % 3}"


def create_serving_node(index: int, zone_count: int, seed: int) -> NodeState:
    """Returns a serving node whose member table holds only itself."""
    zone, region = zone_and_region(index, zone_count)
    node = bare_node(f"node-{index:04d}", zone, region, seed + index, peer_port=1 + index)
    for trigger in ("join", "serve"):
        node.fire_trigger(trigger, Instant(0.0, 0))
    return node


def create_converged_fleet(
    node_count: int, zone_count: int, seed: int, loss_rate: float = 0.0
) -> MembershipFleet:
    """Returns a fleet in which every node knows all others.

    Args:
      count: Number of nodes.
      zones: Number of zones.
      seed: Seed of every random choice.
      loss_rate: Share of the exchanges that get no answer.
    """
    nodes = {
        n.members.own_id: n
        for n in (create_serving_node(i, zone_count, seed) for i in range(node_count))
    }
    records = {node_id: node.members.own() for node_id, node in nodes.items()}
    complete_table = MemberTable(next(iter(nodes)))
    for record in records.values():
        complete_table.apply(record)
    for node_id, node in nodes.items():
        node.members = complete_table.copy_for(node_id)
    return MembershipFleet(nodes, Random(seed), loss_rate)


def create_starting_fleet(node_count: int, zone_count: int, seed: int) -> MembershipFleet:
    """Returns a fleet that has just started, in which every node knows only itself."""
    nodes = {
        n.members.own_id: n
        for n in (create_serving_node(i, zone_count, seed) for i in range(node_count))
    }
    return MembershipFleet(nodes, Random(seed))


def contact_seeds(fleet: MembershipFleet, zone_count: int) -> None:
    """Makes every node exchange with six random seeds; the seeds are two nodes of each zone."""
    seeds = list(fleet.nodes)[: 2 * zone_count]
    for node_id, node in fleet.nodes.items():
        for peer_id in fleet.rng.sample([s for s in seeds if s != node_id], 6):
            fleet.exchange(node, peer_id, regular=True)


def node_ids_of_zone(fleet: MembershipFleet, zone: str) -> Collection[str]:
    """Returns the node ids of a zone."""
    return {node_id for node_id, n in fleet.nodes.items() if n.members.own().zone == zone}
