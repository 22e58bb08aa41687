"""Exchanges with peers: runs the message handlers of the slices over asynchronous I/O."""

from collections.abc import Callable
from typing import Any

import attrs

import ibisrack.exchange.registry  # noqa: F401
from ibisrack.clocks import read_clocks
from ibisrack.errors import MessageError, PeerError
from ibisrack.exchange.codec import decode_frame, encode_frame
from ibisrack.exchange.dispatch import handle_messages, header_messages
from ibisrack.exchange.http_transport import Channel, send_frame
from ibisrack.exchange.messages import Hello
from ibisrack.membership.maintenance import mark_updates_sent, pending_updates
from ibisrack.node.state import NodeState

# A version transfer takes four rounds; the limit ends exchanges without progress.
MAX_EXCHANGE_ROUNDS = 8


def _hello_of(messages: list[Any]) -> Hello:
    """Returns the first message of a frame, which identifies its sender."""
    if not messages or not isinstance(messages[0], Hello):
        raise MessageError("the frame does not start with Hello")
    return messages[0]


@attrs.define
class Exchanger:
    """Runs the exchanges of one node.

    Attributes:
      node: The node's state.
      on_change: Called after a received frame changed versions or members.
    """

    node: NodeState
    on_change: Callable[[], None]

    def serve(self, frame: bytes) -> bytes:
        """Returns the answer to a frame of a peer.

        Raises:
          MessageError: The frame is not valid.
        """
        traffic = self.node.traffic
        messages = decode_frame(traffic.count_received(frame))
        replies = self._handle(messages)
        peer_id = _hello_of(messages).sender.node_id
        updates = pending_updates(self.node, peer_id)
        mark_updates_sent(self.node, peer_id, updates)
        return traffic.count_sent(
            encode_frame((*header_messages(self.node, read_clocks()), *replies, *updates))
        )

    async def exchange(
        self, channel: Channel, timeout_s: float, opening: tuple[Any, ...] = ()
    ) -> Hello:
        """Exchanges frames with a peer until this node has nothing more to send.

        Args:
          channel: Connection to the peer.
          timeout_s: Timeout for each answer.
          opening: Messages of the first frame; if empty, the digest of the member table.

        Returns:
          The Hello of the peer's last answer.

        Raises:
          PeerError: The peer did not answer in time or refused a frame.
          MessageError: The peer's answer is not valid.
        """
        traffic = self.node.traffic
        to_send: tuple[Any, ...] = opening or (self.node.members.digest(),)
        for _ in range(MAX_EXCHANGE_ROUNDS):
            frame = encode_frame((*header_messages(self.node, read_clocks()), *to_send))
            answer = await send_frame(channel, traffic.count_sent(frame), timeout_s)
            messages = decode_frame(traffic.count_received(answer))
            hello = _hello_of(messages)
            to_send = self._handle(messages)
            if not to_send:
                break
        return hello

    def _handle(self, messages: list[Any]) -> tuple[Any, ...]:
        _hello_of(messages)
        now = read_clocks()
        before = (self.node.versions.state(), self.node.members.digest())
        try:
            replies = handle_messages(messages, self.node, now)
        finally:
            self.node.activate_if_ready(now)
            if before != (self.node.versions.state(), self.node.members.digest()):
                self.on_change()
        return replies


async def try_exchange(
    exchanger: Exchanger, channel: Channel, timeout_s: float, opening: tuple[Any, ...] = ()
) -> Hello | None:
    """Exchanges frames with a peer; returns None if the exchange failed."""
    try:
        return await exchanger.exchange(channel, timeout_s, opening)
    except (PeerError, MessageError):
        return None
