"""What the instance beside this node says of itself in its answers.

An instance in need names in each answer the rate of requests that it takes, while the limit
holds.  One that is about to end says so in each answer too, often before its entry does.
"""

import math

import attrs


@attrs.frozen
class Notice:
    """What one answer says of its instance.

    Attributes:
      instance_id: Instance that answered.
      requested_at_s: Monotonic time at which the request was sent to it.
      limit_per_s: Requests a second that it takes from all nodes together, None for no limit.
      leaving: Whether it is about to end.
    """

    instance_id: str
    requested_at_s: float
    limit_per_s: float | None = None
    leaving: bool = False


@attrs.define
class InstanceNotices:
    """The current limit of the instance beside this node.

    Attributes:
      instance_id: Instance that answered last, or of which a peer reported; empty before that.
      limit_per_s: Requests a second that it takes, None for no limit.
      named_at_s: Monotonic time of the last answer that named a limit.
    """

    instance_id: str = ""
    limit_per_s: float | None = None
    named_at_s: float = -math.inf

    def observe(self, notice: Notice, now_s: float) -> None:
        """Applies what an answer says.

        Answers overtake each other: one that names no limit ends it only if its request was sent
        after the last answer that named it.
        """
        if notice.instance_id != self.instance_id:
            self.instance_id, self.named_at_s = notice.instance_id, -math.inf
        if notice.limit_per_s is not None:
            self.limit_per_s, self.named_at_s = notice.limit_per_s, now_s
        elif notice.requested_at_s > self.named_at_s:
            self.limit_per_s = None

    def learn(self, instance_id: str, limit_per_s: float | None) -> None:
        """Applies what a peer heard of the instance before this process started."""
        if not self.instance_id:
            self.instance_id, self.limit_per_s = instance_id, limit_per_s

    def keep_only(self, instance_id: str) -> None:
        """Forgets another instance than the one that the registry lists now."""
        if self.instance_id not in ("", instance_id):
            self.instance_id, self.limit_per_s = "", None
