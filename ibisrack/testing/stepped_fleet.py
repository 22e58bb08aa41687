"""Steps the decision objects of many nodes without sockets, tasks or clocks.

Frames pass through the codec and are delivered, delayed, dropped or reordered by a seeded random
source.  There is no model of hosts or of a network beyond that.
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

TICK_S = 0.25


class Delivery(Enum):
    """What happens to a frame in a step."""

    DELIVER = "deliver"
    DELAY = "delay"
    DROP = "drop"


@attrs.define
class SteppedNode:
    """A node with what the driver decides about it.

    Attributes:
      node: The state under test; replaced by a restart.
      life: Number of restarts.
      up: Whether the process exists.
      paused: Whether the process is stopped.
      talk: Peers to exchange with in the next step.
      bytes_sent: Bytes of all frames sent.
    """

    node: NodeState
    life: int = 0
    up: bool = True
    paused: bool = False
    pending_peers: set[str] = attrs.field(factory=set)
    bytes_sent: int = 0

    @property
    def running(self) -> bool:
        """Whether the node processes frames."""
        return self.up and not self.paused


@attrs.frozen
class Envelope:
    """A frame on its way.

    Attributes:
      source: Sender.
      target: Receiver.
      frame: The encoded frame.
      exchange_round: Frames already sent in this conversation.
      answers: Whether the frame answers a request.
      life: Restarts of the node that opened the conversation; its connection ends with it.
    """

    source: str
    target: str
    frame: bytes
    exchange_round: int
    answers: bool
    life: int


Reader = Callable[[str], PlatformValue | None]


def _reads_nothing(node_id: str) -> None:
    return None


def _delivers(envelope: Envelope) -> Delivery:
    return Delivery.DELIVER


def _ignores(fleet: "SteppedFleet", node_id: str) -> None:
    return None


@attrs.define
class SteppedFleet:
    """Nodes that exchange frames in steps.

    Attributes:
      create: Creates the state of a node that starts.
      nodes: Nodes by id.
      rng: Source of every choice.
      read: Returns what the platform answers to a node, None for no answer.
      fate: Decides what happens to a frame.
      observe: Called after each step of a node.
      seeds: Peers that a starting node contacts.
      repairs_members: Whether exchanges open with the digest of the member table.
      now_s: Monotonic time of all nodes.
    """

    create: Callable[[str], NodeState]
    rng: Random
    nodes: dict[str, SteppedNode] = attrs.field(factory=dict)
    read: Reader = _reads_nothing
    decide_delivery: Callable[[Envelope], Delivery] = _delivers
    observe: Callable[["SteppedFleet", str], None] = _ignores
    seeds: tuple[str, ...] = ()
    repairs_members: bool = True
    now_s: float = 100.0
    node_steps: int = 0
    _flying: list[Envelope] = attrs.field(factory=list)

    def now(self) -> Instant:
        """Returns the instant of the current step."""
        return Instant(self.now_s, int(self.now_s * 1000))

    def start(self, node_id: str) -> None:
        """Starts a node without memory, or starts it again."""
        known = self.nodes.get(node_id)
        life = known.life + 1 if known else 0
        stepped = SteppedNode(self.create(node_id), life=life)
        if known:
            stepped.bytes_sent = known.bytes_sent
        self.nodes[node_id] = stepped
        budget = ReadBudget(stepped.node.rng)
        stepped.node.begin_join(
            self.now(), budget.first_read_delay_s(True), budget.first_read_delay_s(False)
        )

    def crash(self, node_id: str) -> None:
        """Ends a process; its memory is lost."""
        self.nodes[node_id].up = False

    def step(self) -> None:
        """Lets time pass by a tick, then delivers frames until none is due."""
        self.now_s += TICK_S
        for node_id in self._shuffled():
            if self.nodes[node_id].running:
                self.tick(node_id)
        self.exchange()

    def tick(self, node_id: str) -> None:
        """Runs the time-driven decisions of a node as its process does."""
        stepped, now = self.nodes[node_id], self.now()
        node = stepped.node
        self.node_steps += 1
        news = node.tick(now)
        news |= node.activate_if_ready(now)
        news |= node.serve_if_ready(now)
        news |= node.needs_exchange(now)
        if node.lifecycle.state == JOINING:
            self._join(stepped)
        elif is_reader(node) and self.rng.random() < TICK_S:
            self.read_platform(node_id)
        if news or self.rng.random() < TICK_S / len(node.links.chosen or "x"):
            self.request_exchanges(node_id)
        self.observe(self, node_id)

    def read_platform(self, node_id: str) -> None:
        """Lets a node take what the platform answers."""
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
        """Makes a node exchange with its links in the next exchange."""
        stepped = self.nodes[node_id]
        stepped.pending_peers |= stepped.node.links.chosen

    def exchange(self, follow_up: bool = True) -> None:
        """Opens the due conversations and delivers frames until none is due.

        Args:
          follow_up: Whether news of this exchange open further conversations at once.
        """
        delayed: list[Envelope] = []
        self._open()
        while self._flying:
            self.rng.shuffle(self._flying)
            due, self._flying = self._flying, []
            for envelope in due:
                self._carry(envelope, delayed)
            if follow_up:
                self._open()
        self._flying = delayed

    def _shuffled(self) -> list[str]:
        node_ids = list(self.nodes)
        self.rng.shuffle(node_ids)
        return node_ids

    def _join(self, stepped: SteppedNode) -> None:
        node = stepped.node
        view = node.view()
        own_id = node.members.own_id
        stepped.pending_peers |= view.unheard
        if not view.told:
            stepped.pending_peers |= {seed for seed in self.seeds if seed != own_id}
        if node.join_step(self.now()) is Step.READ_PLATFORM:
            self.read_platform(own_id)

    def _open(self) -> None:
        for node_id, stepped in self.nodes.items():
            if not stepped.running or not stepped.pending_peers:
                continue
            peers, stepped.pending_peers = sorted(stepped.pending_peers), set()
            for peer in peers:
                opening = (stepped.node.members.digest(),) if self.repairs_members else ()
                self._send(node_id, peer, opening, 0, False, stepped.life)

    def _send(
        self, source: str, target: str, messages: tuple[Any, ...], *conversation: Any
    ) -> None:
        stepped = self.nodes[source]
        frame = encode_frame((*header_messages(stepped.node, self.now()), *messages))
        stepped.bytes_sent += len(frame)
        self._flying.append(Envelope(source, target, frame, *conversation))

    def _carry(self, envelope: Envelope, delayed: list[Envelope]) -> None:
        decide_delivery = self.decide_delivery(envelope)
        target = self.nodes[envelope.target]
        closed = envelope.answers and target.life != envelope.life
        if decide_delivery is Delivery.DELAY:
            delayed.append(envelope)
        elif decide_delivery is Delivery.DROP or not target.running or closed:
            self._fail(envelope)
        else:
            self._deliver(envelope)

    def _fail(self, envelope: Envelope) -> None:
        """Tells the node that opened the conversation that it failed, as its link task does."""
        client, peer = envelope.source, envelope.target
        if envelope.answers:
            client, peer = peer, client
        stepped = self.nodes[client]
        if stepped.running and stepped.life == envelope.life:
            stepped.node.versions.source_failed(peer)
            stepped.node.links.failure(peer)

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
            self._fail(envelope)
            return
        node.activate_if_ready(self.now())
        if node.versions.state() != before:
            self.request_exchanges(envelope.target)
        self.observe(self, envelope.target)
        self._reply(envelope, replies)

    def _reply(self, envelope: Envelope, replies: tuple[Any, ...]) -> None:
        conversation = (envelope.exchange_round + 1, not envelope.answers, envelope.life)
        if envelope.answers:
            self.nodes[envelope.target].node.links.succeeded(envelope.source)
        if not envelope.answers or (replies and envelope.exchange_round < 2 * MAX_EXCHANGE_ROUNDS):
            self._send(envelope.target, envelope.source, replies, *conversation)


def all_serve(fleet: SteppedFleet) -> bool:
    """Tells whether every running node takes calls."""
    return all(s.node.lifecycle.state == SERVING for s in fleet.nodes.values() if s.running)
