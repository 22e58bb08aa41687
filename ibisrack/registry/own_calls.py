"""What a node knows of the registry from the answers to its own calls.

Peers rely on a node that reads.  It tells them when its calls fail, or take long, before it knows
whether the registry is down, cut off from this node, or only slow.
"""

import math

import attrs

from ibisrack.registry.timing import RESPONSE_TIMEOUT_S, RegistryTiming

# A registry that has not answered for this long is not relied on: a long poll and the transfer of a
# large entry over a congested link fit in.
MAX_ANSWER_AGE_S = 3.0
RECOVERY_POLL_S = 0.001  # Wait of calls after a failure, so that a recovery is detected at once.
# A registry counts as answering until so many calls in a row have failed: it may cut a call that
# waits, and an answer may be late once.
MAX_FAILURES = 2


@attrs.define
class OwnCalls:
    """How the registry answers the calls of this node.

    Attributes:
      timing: Times of the calls.
      answering: Whether the registry answers, as far as it is known.
      failures: Number of consecutive failed calls.
      answered_at_s: Monotonic time of the last answer since this node has to read.
      answer_delay_s: Time by which the last answer without changes exceeded the wait of its call.
      transfer_began_at_s: Monotonic time since which the registry has sent what this node lacks,
        None while it sends nothing.
    """

    timing: RegistryTiming
    answering: bool = False
    failures: int = 0
    answered_at_s: float = -math.inf
    answer_delay_s: float = 0.0
    transfer_began_at_s: float | None = None

    @property
    def is_first(self) -> bool:
        """Whether the registry has not answered since this node has to read."""
        return self.answered_at_s == -math.inf

    def is_answered(self, now_s: float) -> bool:
        """Returns whether the registry answers this node, or did until a short time ago."""
        return self.answering and now_s - self.answered_at_s < MAX_ANSWER_AGE_S

    def is_timely(self, now_s: float) -> bool:
        """Returns whether the last call succeeded and the current one is not slow."""
        began_at_s = self.transfer_began_at_s
        is_slow = began_at_s is not None and now_s - began_at_s >= self.timing.transfer_s
        return self.answering and not self.failures and not is_slow

    def wait_s(self, delay_s: float) -> float:
        """Returns the wait of the next call, which begins ``delay_s`` after the last answer."""
        # The first answer tells peers at once that this node reads.
        if not self.answering or self.failures or self.is_first:
            return RECOVERY_POLL_S
        return self.timing.watch_s - delay_s

    def response_s(self) -> float:
        """Returns how long after the wait of the next call its answer is late."""
        if self.failures:  # Peers rely on others meanwhile, and the registry may be slow.
            return RESPONSE_TIMEOUT_S
        return self.timing.response_s(self.answer_delay_s)

    def reset(self) -> None:
        """Forgets the answers, because peers deliver the registry's content."""
        self.answered_at_s, self.failures, self.answering = -math.inf, 0, True

    def begin_transfer(self, now_s: float) -> None:
        """Records that what this node lacks begins to arrive."""
        if self.transfer_began_at_s is None:
            self.transfer_began_at_s = now_s

    def end_transfer(self) -> None:
        """Records the end of a call."""
        self.transfer_began_at_s = None

    def record_answer(self, now_s: float, has_to_read: bool) -> bool:
        """Records an answer; returns whether peers should learn that this node reads again."""
        was_reading = self.is_timely(now_s) and not self.is_first
        self.failures, self.transfer_began_at_s, self.answering = 0, None, True
        if has_to_read:
            self.answered_at_s = now_s
        return not was_reading

    def record_failure(self) -> bool:
        """Records a failed call; returns whether it changes what is known."""
        self.failures += 1
        self.answering = self.answering and self.failures < MAX_FAILURES
        return self.failures <= MAX_FAILURES
