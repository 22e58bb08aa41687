"""Decides when a silent peer is pinged, and when its link is given up.

A peer behind a partition sends nothing and no reset.  Only links of which something is expected are
pinged, so that an idle fleet exchanges no messages for it.
"""

from enum import Enum

import attrs

PING_AFTER_SILENCE_S = 0.25
PING_TIMEOUT_S = 0.55  # Time without any answer to a ping until the link is opened again.
ABORT_AFTER_SILENCE_S = PING_AFTER_SILENCE_S + PING_TIMEOUT_S
# A peer that has not answered a ping for this long is not relied on for changes of the registry.
MAX_DELIVERY_SILENCE_S = 0.55


class SilenceAction(Enum):
    """What to do about the silence of a peer."""

    NONE = "none"
    PING = "ping"
    ABORT = "abort"


@attrs.define
class PeerSilence:
    """Times at which a peer was last heard and pinged.

    Attributes:
      heard_at_s: Monotonic time of the last bytes from the peer.
      pinged_at_s: Monotonic time of the last ping.
    """

    heard_at_s: float = 0.0
    pinged_at_s: float = 0.0

    def next_action(self, has_requests: bool, now_s: float) -> SilenceAction:
        """Returns what to do about a peer of which something is expected, and records a ping.

        Args:
          has_requests: Whether the peer has unanswered requests.  Without them the link stays, and
            the peer is not relied on.
          now_s: Current time.
        """
        if self.pinged_at_s > self.heard_at_s:
            is_lost = has_requests and now_s - self.pinged_at_s >= PING_TIMEOUT_S
            return SilenceAction.ABORT if is_lost else SilenceAction.NONE
        if now_s - self.heard_at_s < PING_AFTER_SILENCE_S:
            return SilenceAction.NONE
        self.pinged_at_s = now_s
        return SilenceAction.PING

    def is_unresponsive(self, now_s: float) -> bool:
        """Returns whether the peer has not answered a ping for too long to be relied on."""
        is_pinged = self.pinged_at_s > self.heard_at_s
        return is_pinged and now_s - self.pinged_at_s >= MAX_DELIVERY_SILENCE_S
