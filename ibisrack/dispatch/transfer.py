"""What the network links of the hosts add to the time and the cost of a request.

The node beside each instance reports how long its host's link takes for what it has still to send.
Answers that this node has requested since the report are added.  A request to the instance on the
own host uses no link.
"""

import attrs

from ibisrack.links.messages import Load
from ibisrack.links.pacer import PART_S, paced_bytes_per_s, part_bytes

# Costs of an answer that arrives after the target or the deadline, relative to the target.  Each
# step exceeds the highest cost of another zone: an answer that is late is worth less than the
# traffic that it saves.
LATE_COST_RATIO = 2.0
MISSED_COST_RATIO = 4.0
# Share of the time left from which an expected arrival counts as partly late, because reports are
# old and the sizes of answers differ.  In simulated bursts of 1.5 times the rate, 98.8 to 99.8% of
# the answers arrive within the target, with 0.5 98.2 to 99.8%; 2 to 4% of the bytes cross zones
# with either.
SAFE_SHARE = 0.3


@attrs.frozen
class Transfer:
    """The bodies of a request and its answer, and the times that the answer must keep.

    Attributes:
      answer_bytes: Expected size of the answer.
      target_s: Target of the route, in which the costs of lateness are expressed.
      target_left_s: Time until the target, negative after it.
      deadline_left_s: Time until the deadline.
      uplink_s: Time that the request takes on the link of this host, after its backlog.
    """

    answer_bytes: float = 0.0
    target_s: float = 0.0
    target_left_s: float = 0.0
    deadline_left_s: float = 0.0
    uplink_s: float = 0.0

    def is_large_for(self, load: Load | None) -> bool:
        """Returns whether the answer takes the link of an instance's host for a noticeable time."""
        return answer_transfer_s(load, self.answer_bytes) >= PART_S

    def arrival_s(self, load: Load | None, backlog_s: float, response_s: float) -> float:
        """Returns when the answer of an instance on another host is expected to arrive.

        Args:
          load: Last report of the instance, None before the first.
          backlog_s: Time that its host's link takes for what it has still to send.
          response_s: Expected time until the instance has answered.
        """
        transfer_s = answer_transfer_s(load, self.answer_bytes)
        if not transfer_s:
            return self.uplink_s + response_s
        if self.answer_bytes <= part_bytes(load.link_mbps):  # A short answer passes the others.
            backlog_s = 0.0
        # The link sends what is before this answer while the instance runs the request.
        return self.uplink_s + max(response_s, backlog_s) + transfer_s

    def lateness_cost_s(self, arrival_s: float) -> float:
        """Returns the cost of an answer for arriving late, in the same unit as the other costs."""
        late = _late_share(arrival_s, self.target_left_s) * LATE_COST_RATIO
        missed = _late_share(arrival_s, self.deadline_left_s) * MISSED_COST_RATIO
        return (late + missed) * self.target_s


NO_TRANSFER = Transfer()


@attrs.frozen
class LinkWait:
    """How long a link takes for what it has still to send.

    Attributes:
      backlog_s: The time.
      age_s: Age of the report, 0 for the own link.
    """

    backlog_s: float
    age_s: float = 0.0


def answer_transfer_s(load: Load | None, size_bytes: float) -> float:
    """Returns how long the link of an instance's host sends a size, 0 if it is not known."""
    if load is None or not load.link_mbps:
        return 0.0
    return size_bytes / paced_bytes_per_s(load.link_mbps)


def _late_share(arrival_s: float, left_s: float) -> float:
    """Returns how much an expected arrival counts as late, from 0 to 1."""
    if left_s <= 0:
        return 1.0
    return min(1.0, max(0.0, (arrival_s / left_s - SAFE_SHARE) / (1 - SAFE_SHARE)))
