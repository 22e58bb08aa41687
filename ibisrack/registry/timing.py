"""How fast a change of the registry reaches every node of a zone, whichever node fails meanwhile.

The deployment bounds the time from the registry's acknowledgement of a change to its effect on all
nodes.  In the worst case the path of the zone's reader is cut, without a reset, when its call for
changes has just begun, or is about to.  The bound is then shared by, in this order:

1. the delay before the call (``batch_delay_s``) and the call itself, together ``watch_s``,
2. the time in which its answer is late (``answer_slack_s``),
3. the next host in order: it reads at once, or, if it does not respond either, the other nodes read
   after ``takeover_s``,
4. the report of the new reader, the transfer and the application of the changes (HANDOVER_S).

If the path is slow instead, the next host reads too when an answer has begun and is not complete
after ``transfer_s``.
"""

from functools import cached_property

import attrs

# A registry that has not answered a call for this long is not waited for, however slow it was.
RESPONSE_TIMEOUT_S = 1.5
# Longer waits save calls, which are billed.  However, peers rely on a reader, and only the end of
# the wait shows that a registry no longer responds, or that it dropped its history and left the
# call without changes.
MAX_WATCH_S = 1.0
HANDOVER_S = 0.4
MAX_BATCH_DELAY_S = 0.25
# An entry is removed after three heartbeats of silence, and an instance that reached the registry
# until an outage began was heard one heartbeat before it at most, and a little more: heartbeats
# come at about their interval.
LAPSE_HEARTBEATS = 1.75
MAX_TAKEOVER_S = 1.0
MIN_TAKEOVER_S = 0.2


@attrs.frozen
class RegistryTiming:
    """Times of a node's calls, derived from the bound of the deployment.

    Attributes:
      apply_s: Time within which a change of the registry must have effect on every node.
      heartbeat_s: Interval at which instances report to the registry.
    """

    apply_s: float
    heartbeat_s: float

    @cached_property
    def batch_delay_s(self) -> float:
        """Delay after changes, so that a burst of them takes fewer calls."""
        return min(MAX_BATCH_DELAY_S, self.apply_s / 8)

    @cached_property
    def transfer_s(self) -> float:
        """Time in which an answer arrives whole on a path that is not slow."""
        return self.apply_s / 4

    @cached_property
    def watch_s(self) -> float:
        """Maximum wait of a call for changes, with the delay before it."""
        return min(MAX_WATCH_S, self.apply_s / 2)

    @cached_property
    def answer_slack_s(self) -> float:
        """Time after the wait of a call in which a responsive registry has answered."""
        return min(RESPONSE_TIMEOUT_S, self.apply_s / 8)

    @property
    def answer_age_s(self) -> float:
        """Maximum age of the last answer to a node that reads and reports no late one."""
        return self.watch_s + self.answer_slack_s

    @cached_property
    def lapse_s(self) -> float:
        """Shortest time without an answer to any node in which entries may have lapsed."""
        return max(LAPSE_HEARTBEATS * self.heartbeat_s, 2 * self.answer_age_s)

    @cached_property
    def takeover_s(self) -> float:
        """Time without a peer that delivers after which a node reads the registry itself."""
        left_s = self.apply_s - self.watch_s - self.answer_slack_s - HANDOVER_S
        return min(MAX_TAKEOVER_S, max(MIN_TAKEOVER_S, left_s))

    def response_s(self, last_delay_s: float) -> float:
        """Returns how long after the wait of a call its answer counts as late.

        Args:
          last_delay_s: Time by which the last answer exceeded the wait of its call.  A registry
            that is slow is not taken for one that is cut off.
        """
        return min(RESPONSE_TIMEOUT_S, max(self.answer_slack_s, 2 * last_delay_s))
