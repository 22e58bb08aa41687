"""Conversations with peers: the asynchronous shell around the handlers of the slices."""

from collections.abc import Callable
from typing import Any

import attrs

import ibisrack.exchange.registry  # noqa: F401
from ibisrack.clocks import read_clocks
from ibisrack.errors import MessageError, PeerError
from ibisrack.exchange.carrier import Channel, send_frame
from ibisrack.exchange.codec import decode_frame, encode_frame
from ibisrack.exchange.dispatch import greeting, process
from ibisrack.exchange.messages import Hello
from ibisrack.membership.maintenance import mark_updates_sent, pending_updates
from ibisrack.node.state import NodeState

MAX_ROUNDS = 8  # An offer takes four; more means that the peers talk past each other.


def _sender(messages: list[Any]) -> Hello:
    if not messages or not isinstance(messages[0], Hello):
        raise MessageError("the frame does not start with Hello")
    return messages[0]


@attrs.define
class Exchanger:
    """Exchanges frames for one node.

    Attributes:
      node: The node's state.
      on_change: Called after an exchange that changed versions or members.
    """

    node: NodeState
    on_change: Callable[[], None]

    def serve(self, frame: bytes) -> bytes:
        """Answers a frame of a peer.

        Raises:
          MessageError: The frame is not valid.
        """
        traffic = self.node.traffic
        messages = decode_frame(traffic.received(frame))
        replies = self._process(messages)
        peer_id = _sender(messages).sender.node_id
        news = pending_updates(self.node, peer_id)
        mark_updates_sent(self.node, peer_id, news)
        return traffic.sent(encode_frame((*greeting(self.node, read_clocks()), *replies, *news)))

    async def converse(
        self, channel: Channel, timeout_s: float, opening: tuple[Any, ...] = ()
    ) -> Hello:
        """Exchanges with a peer until neither side has anything to add.

        Args:
          channel: Connection to the peer.
          timeout_s: Time for each answer.
          opening: Messages of the first frame; the digest of the member table when empty.

        Returns:
          The peer's greeting.

        Raises:
          PeerError: The peer did not answer.
          MessageError: The peer's answer is not valid.
        """
        traffic = self.node.traffic
        to_send: tuple[Any, ...] = opening or (self.node.members.digest(),)
        for _ in range(MAX_ROUNDS):
            frame = encode_frame((*greeting(self.node, read_clocks()), *to_send))
            answer = await send_frame(channel, traffic.sent(frame), timeout_s)
            messages = decode_frame(traffic.received(answer))
            hello = _sender(messages)
            to_send = self._process(messages)
            if not to_send:
                break
        return hello

    def _process(self, messages: list[Any]) -> tuple[Any, ...]:
        _sender(messages)
        now = read_clocks()
        before = (self.node.versions.state(), self.node.members.digest())
        try:
            replies = process(messages, self.node, now)
        finally:
            self.node.activate_if_ready(now)
            if before != (self.node.versions.state(), self.node.members.digest()):
                self.on_change()
        return replies


async def try_converse(
    exchanger: Exchanger, channel: Channel, timeout_s: float, opening: tuple[Any, ...] = ()
) -> Hello | None:
    """Converses with a peer; returns None when it failed."""
    try:
        return await exchanger.converse(channel, timeout_s, opening)
    except (PeerError, MessageError):
        return None
