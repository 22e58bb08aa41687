"""Simulated fleet that runs the decision code of many nodes without sockets, tasks or clocks.

Frames are encoded and decoded.  They are delivered, delayed, dropped or reordered by a seeded
random source; hosts and the network are not modelled beyond that.
"""

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Any

import attrs

import ibisrack.exchange.registry  # noqa: F401
from ibisrack.clocks import Instant
from ibisrack.errors import MessageError
from ibisrack.exchange.codec import decode_frame, encode_frame
from ibisrack.exchange.dispatch import handle_messages, header_messages
from ibisrack.exchange.exchanger import MAX_EXCHANGE_ROUNDS
from ibisrack.node.joining import Step
from ibisrack.node.lifecycle import JOINING, SERVING
from ibisrack.node.state import NodeState
from ibisrack.platform.messages import PlatformValue
from ibisrack.versions.platform_reader import accept, is_reader
from ibisrack.versions.read_budget import ReadBudget

TIME_STEP_S = 0.25  # Simulated time between two ticks of a node.


class Delivery(Enum):
    """How the simulated network treats a frame in a step."""

    DELIVER = "deliver"
    DELAY = "delay"
    DROP = "drop"


@attrs.define
class SteppedNode:
    """A simulated node and the state of its process.

    Attributes:
      node: The state under test; a restart replaces it.
      restarts: Number of restarts.
      up: Whether the process exists.
      paused: Whether the process is suspended.
      pending_peers: Peers to exchange with in the next step.
      bytes_sent: Bytes of all frames sent, also those before a restart.
    """

    node: NodeState
    restarts: int = 0
    up: bool = True
    paused: bool = False
    pending_peers: set[str] = attrs.field(factory=set)
    bytes_sent: int = 0

    @property
    def running(self) -> bool:
        """Whether the process exists and is not paused."""
        return self.up and not self.paused


@attrs.frozen
class Envelope:
    """A frame in transit.

    Attributes:
      source: Sender.
      target: Receiver.
      frame: The encoded frame.
      frame_number: Position of the frame in its exchange, from 0.
      is_reply: Whether the frame answers a request.
      opener_restarts: Restarts of the node that opened the exchange, at that time.  Its restart
        closes the connection.
    """

    source: str
    target: str
    frame: bytes
    frame_number: int
    is_reply: bool
    opener_restarts: int


PlatformRead = Callable[[str], PlatformValue | None]


def _read_no_answer(node_id: str) -> None:
    return None


def _always_deliver(envelope: Envelope) -> Delivery:
    return Delivery.DELIVER


def _observe_nothing(fleet: "SteppedFleet", node_id: str) -> None:
    return None


@attrs.define
class SteppedFleet:
    """Simulated nodes that exchange frames in steps.

    Attributes:
      create: Creates the state of a starting node from its id.
      nodes: Nodes by id.
      rng: Source of every random choice.
      read: Returns the platform's answer to a read by a node, None for no answer.
      decide_delivery: Decides how a frame is treated.
      observe: Called with the fleet and the node id after each tick of a node and after each valid
        frame that it receives.
      seeds: Peers that a starting node contacts.
      sends_member_digests: Whether exchanges open with the digest of the member table.
      now_s: Monotonic time of all nodes.
      node_steps: Ticks and received frames of all nodes.
    """

    create: Callable[[str], NodeState]
    rng: Random
    nodes: dict[str, SteppedNode] = attrs.field(factory=dict)
    read: PlatformRead = _read_no_answer
    decide_delivery: Callable[[Envelope], Delivery] = _always_deliver
    observe: Callable[["SteppedFleet", str], None] = _observe_nothing
    seeds: tuple[str, ...] = ()
    sends_member_digests: bool = True
    now_s: float = 100.0
    node_steps: int = 0
    _in_flight: list[Envelope] = attrs.field(factory=list)

    def now(self) -> Instant:
        """Returns the instant of the current step."""
        return Instant(self.now_s, int(self.now_s * 1000))

    def start(self, node_id: str) -> None:
        """Starts or restarts a node with an empty state."""
        earlier = self.nodes.get(node_id)
        restarts = earlier.restarts + 1 if earlier else 0
        stepped = SteppedNode(self.create(node_id), restarts=restarts)
        if earlier:
            stepped.bytes_sent = earlier.bytes_sent
        self.nodes[node_id] = stepped
        budget = ReadBudget(stepped.node.rng)
        stepped.node.begin_join(
            self.now(), budget.first_read_delay_s(True), budget.first_read_delay_s(False)
        )

    def crash(self, node_id: str) -> None:
        """Ends the process of a node; its state is lost."""
        self.nodes[node_id].up = False

    def step(self) -> None:
        """Advances by TIME_STEP_S, ticks the nodes and delivers frames until none is due."""
        self.now_s += TIME_STEP_S
        for node_id in self._shuffled_node_ids():
            if self.nodes[node_id].running:
                self.tick(node_id)
        self.exchange()

    def tick(self, node_id: str) -> None:
        """Runs the time-driven decisions of a node in the order in which its process does."""
        stepped, now = self.nodes[node_id], self.now()
        node = stepped.node
        self.node_steps += 1
        exchange_due = node.tick(now)
        exchange_due |= node.activate_if_ready(now)
        exchange_due |= node.serve_if_ready(now)
        exchange_due |= node.needs_exchange(now)
        if node.lifecycle.state == JOINING:
            self._step_join(stepped)
        elif is_reader(node) and self.rng.random() < TIME_STEP_S:  # Once a second on average.
            self.read_platform(node_id)
        # Without a change, one exchange a second on average; "x" avoids a division by zero.
        if exchange_due or self.rng.random() < TIME_STEP_S / len(node.links.chosen or "x"):
            self.request_exchanges(node_id)
        self.observe(self, node_id)

    def read_platform(self, node_id: str) -> None:
        """Makes a node read the platform and accept the value, if there is one."""
        node = self.nodes[node_id].node
        value = self.read(node_id)
        if value is None:
            return
        before = node.versions.state()
        accept(value, node, self.now())
        node.activate_if_ready(self.now())
        if node.versions.state() != before:
            self.request_exchanges(node_id)

    def request_exchanges(self, node_id: str) -> None:
        """Schedules exchanges of a node with all its links."""
        stepped = self.nodes[node_id]
        stepped.pending_peers |= stepped.node.links.chosen

    def exchange(self, follow_up: bool = True) -> None:
        """Opens the scheduled exchanges and delivers frames until none is due.

        Args:
          follow_up: Whether exchanges that are scheduled meanwhile open at once.
        """
        delayed: list[Envelope] = []
        self._open_exchanges()
        while self._in_flight:
            self.rng.shuffle(self._in_flight)
            due, self._in_flight = self._in_flight, []
            for envelope in due:
                self._transmit(envelope, delayed)
            if follow_up:
                self._open_exchanges()
        self._in_flight = delayed

    def _shuffled_node_ids(self) -> list[str]:
        node_ids = list(self.nodes)
        self.rng.shuffle(node_ids)
        return node_ids

    def _step_join(self, stepped: SteppedNode) -> None:
        node = stepped.node
        links_view = node.links_view()
        own_id = node.members.own_id
        stepped.pending_peers |= links_view.pending_links
        if not links_view.reported_versions:
            stepped.pending_peers |= {seed for seed in self.seeds if seed != own_id}
        if node.join_step(self.now()) is Step.READ_PLATFORM:
            self.read_platform(own_id)

    def _open_exchanges(self) -> None:
        for node_id, stepped in self.nodes.items():
            if not stepped.running or not stepped.pending_peers:
                continue
            peers, stepped.pending_peers = sorted(stepped.pending_peers), set()
            for peer in peers:
                opening = (stepped.node.members.digest(),) if self.sends_member_digests else ()
                self._send(node_id, peer, opening, 0, False, stepped.restarts)

    def _send(
        self, source: str, target: str, messages: tuple[Any, ...], *envelope_fields: Any
    ) -> None:
        stepped = self.nodes[source]
        frame = encode_frame((*header_messages(stepped.node, self.now()), *messages))
        stepped.bytes_sent += len(frame)
        self._in_flight.append(Envelope(source, target, frame, *envelope_fields))

    def _transmit(self, envelope: Envelope, delayed: list[Envelope]) -> None:
        delivery = self.decide_delivery(envelope)
        target = self.nodes[envelope.target]
        connection_closed = envelope.is_reply and target.restarts != envelope.opener_restarts
        if delivery is Delivery.DELAY:
            delayed.append(envelope)
        elif delivery is Delivery.DROP or not target.running or connection_closed:
            self._fail_exchange(envelope)
        else:
            self._deliver(envelope)

    def _fail_exchange(self, envelope: Envelope) -> None:
        """Records a failed exchange on the node that opened it, as its link task does."""
        opener, peer = envelope.source, envelope.target
        if envelope.is_reply:
            opener, peer = peer, opener
        stepped = self.nodes[opener]
        if stepped.running and stepped.restarts == envelope.opener_restarts:
            stepped.node.versions.transfer.source_failed(peer)
            stepped.node.links.record_failure(peer)

    def _deliver(self, envelope: Envelope) -> None:
        stepped = self.nodes[envelope.target]
        node = stepped.node
        self.node_steps += 1
        if node.paused(self.now()):
            node.tick(self.now())
        before = node.versions.state()
        try:
            replies = handle_messages(decode_frame(envelope.frame), node, self.now())
        except MessageError:
            self._fail_exchange(envelope)
            return
        node.activate_if_ready(self.now())
        if node.versions.state() != before:
            self.request_exchanges(envelope.target)
        self.observe(self, envelope.target)
        self._reply(envelope, replies)

    def _reply(self, envelope: Envelope, replies: tuple[Any, ...]) -> None:
        envelope_fields = (
            envelope.frame_number + 1,
            not envelope.is_reply,
            envelope.opener_restarts,
        )
        if envelope.is_reply:
            self.nodes[envelope.target].node.links.record_success(envelope.source)
        if not envelope.is_reply or (replies and envelope.frame_number < 2 * MAX_EXCHANGE_ROUNDS):
            self._send(envelope.target, envelope.source, replies, *envelope_fields)


def all_serving(fleet: SteppedFleet) -> bool:
    """Returns whether every running node takes calls."""
    return all(s.node.lifecycle.state == SERVING for s in fleet.nodes.values() if s.running)
