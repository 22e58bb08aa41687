"""Tells an outage of the registry, in which entries may lapse, from calls that fail.

The registry may cut a call that waits, refuse one, or be out of reach of one node.  None of these
keeps instances from reporting to it.
"""

import math

import attrs

from ibisrack.registry.timing import RegistryTiming


@attrs.define
class RegistryContact:
    """When the registry was last known to answer this node or one that it hears from.

    Attributes:
      timing: Times derived from the bounds of the deployment.
      answered_at_s: Monotonic time of that answer.
    """

    timing: RegistryTiming
    answered_at_s: float = -math.inf

    def may_have_lapsed(self, now_s: float) -> bool:
        """Returns whether entries may have lapsed in an outage since the last answer."""
        return now_s - self.answered_at_s >= self.timing.lapse_s

    def silent_ms(self, now_s: float) -> int | None:
        """Returns the time since the last answer, None before the first."""
        silent_s = now_s - self.answered_at_s
        return None if math.isinf(silent_s) else round(silent_s * 1000)

    def record(self, now_s: float) -> None:
        """Records an answer to this node."""
        self.answered_at_s = now_s

    def record_at_peer(self, now_s: float) -> None:
        """Records that the registry answers a peer, as far as the peer has reported."""
        self.answered_at_s = max(self.answered_at_s, now_s - self.timing.answer_age_s)
