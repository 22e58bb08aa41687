"""Dispatches control messages to the handlers of the slices.

An exchange is symmetric: both sides pass every received message to ``handle`` and send the
messages that it returns.  Each slice registers a handler for each of its message classes.
"""

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

from ibisrack.clocks import Instant
from ibisrack.exchange.messages import Hello
from ibisrack.node.state import NodeState


@singledispatch
def handle(message: Any, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    """Handles a message and returns the messages to send back.

    Args:
      message: The received message.
      node: The state of this node.
      peer: Hello of the sender.
      now: The current instant.

    Raises:
      MessageError: The message is not valid now; versions and members are unchanged.
    """
    raise TypeError(f"no handler for {type(message).__name__}")


def header_messages(node: NodeState, now: Instant) -> tuple[Any, ...]:
    """Returns the messages with which every frame of this node starts."""
    stamp = node.log.clock.tick(now.wall_ms)
    return (Hello(node.members.own(), stamp), node.versions.state())


def handle_messages(messages: Iterable[Any], node: NodeState, now: Instant) -> tuple[Any, ...]:
    """Handles the messages of a frame, of which the first has to be a Hello.

    Returns:
      The messages to send back, without the header messages.

    Raises:
      MessageError: A message is not valid now.
    """
    peer, *rest = messages
    replies = list(handle(peer, node, peer, now))
    for message in rest:
        replies += handle(message, node, peer, now)
    return tuple(replies)
