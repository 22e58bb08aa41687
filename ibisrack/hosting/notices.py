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
    """What the instance beside this node said last.

    Attributes:
      instance_id: Instance that answered last, or of which a peer reported; empty before that.
      limit_per_s: Requests a second that it takes, None for no limit.
      named_at_s: Monotonic time of the last answer that named a limit.
      listed_id: Instance that the registry lists, empty before that.
      listed_start_ms: Start of that instance in Unix milliseconds.
      listed_at_s: Monotonic time at which the registry first listed this start.
      leaving_start_ms: Start of the listed instance if it said that it is about to end, else None.
    """

    instance_id: str = ""
    limit_per_s: float | None = None
    named_at_s: float = -math.inf
    listed_id: str = ""
    listed_start_ms: int = 0
    listed_at_s: float = -math.inf
    leaving_start_ms: int | None = None

    def observe(self, notice: Notice, now_s: float) -> None:
        """Applies what an answer says.

        Answers overtake each other: one that names no limit ends it only if its request was sent
        after the last answer that named it.  A late answer of an instance that is no longer listed
        says nothing about the one that is.
        """
        if self.listed_id and notice.instance_id != self.listed_id:
            return
        if notice.instance_id != self.instance_id:
            self.instance_id, self.named_at_s = notice.instance_id, -math.inf
        if notice.limit_per_s is not None:
            self.limit_per_s, self.named_at_s = notice.limit_per_s, now_s
        elif notice.requested_at_s > self.named_at_s:
            self.limit_per_s = None
        # An answer to an earlier request may come from an earlier start under the same id.
        is_current = notice.requested_at_s >= self.listed_at_s
        if notice.leaving and is_current and self.listed_id:
            self.leaving_start_ms = self.listed_start_ms

    def learn(self, instance_id: str, limit_per_s: float | None) -> None:
        """Applies what a peer heard of the instance before this process started."""
        if not self.instance_id:
            self.instance_id, self.limit_per_s = instance_id, limit_per_s

    def set_listed(self, instance_id: str, start_ms: int, now_s: float) -> None:
        """Records which start of which instance the registry lists; forgets what another said."""
        if (instance_id, start_ms) == (self.listed_id, self.listed_start_ms):
            return
        is_restarted = instance_id == self.listed_id
        self.listed_id, self.listed_start_ms, self.listed_at_s = instance_id, start_ms, now_s
        self.leaving_start_ms = None
        if is_restarted or self.instance_id not in ("", instance_id):
            self.instance_id, self.limit_per_s = "", None
