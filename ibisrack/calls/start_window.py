"""Bound on the requests that an upstream gets in any second, counted when they are sent.

A call that has a slot may still wait for a connection, and an upstream that stalls reads it late.
A start therefore counts from its admission until it is sent, and for ``WINDOW_S`` after that.  A
call that has no answer by then may arrive at any time until it ends: it counts until ``WINDOW_S``
after its end.
"""

import math
from collections import deque

import attrs

# The bound holds for any second at the upstream.  The rest is a margin for different delays between
# sending and arrival on the loopback interface of a busy machine.
WINDOW_S = 1.1
_ROUNDING_S = 1e-9


@attrs.define(eq=False)
class Start:
    """Start of one call.

    Attributes:
      within_bound: Whether the bound was in force, so that no earlier start is missing.
      sent_at_s: Latest monotonic time at which the call may have arrived, None before it is sent.
      is_running: Whether the call has not ended.
      is_overdue: Whether it ran when it left the window.
    """

    within_bound: bool
    sent_at_s: float | None = None
    is_running: bool = True
    is_overdue: bool = False


@attrs.define
class StartWindow:
    """Sliding window over the starts of the last second.

    The starts are counted also while the bound is not in force, because an upstream may become
    cold at any moment.

    Attributes:
      assumed_at_s: Time up to which the whole bound is assumed to have been used, by an earlier
        process or before the bound was known.
      bound: Number of starts in a window, None if the upstream states none.
      in_force: Whether the bound holds back starts.
      reserved: Part of the bound that is kept for health checks.
    """

    assumed_at_s: float = -math.inf
    bound: int | None = None
    in_force: bool = False
    reserved: int = 0
    _unsent: int = 0
    _overdue: int = 0
    _sent: deque[Start] = attrs.field(factory=lambda: deque(maxlen=0))

    def set_bound(self, bound: int | None) -> None:
        """Changes the bound; starts that were not counted are assumed to fill it."""
        if bound == self.bound:
            return
        known = () if self.bound is None else tuple(self._sent)
        self._sent = deque(known, maxlen=bound or 0)
        if bound is not None and len(known) == (self.bound or 0):
            oldest_s = known[0].sent_at_s if known else self.assumed_at_s
            missing = bound - len(self._sent)
            assumed = (Start(False, oldest_s, is_running=False) for _ in range(missing))
            self._sent.extendleft(assumed)
        self.bound = bound

    @property
    def limit(self) -> int | None:
        """Number of starts that are possible in a window, None for any number."""
        if not self.in_force or self.bound is None:
            return None
        return max(min(1, self.bound), self.bound - self.reserved)

    def record_start(self) -> Start:
        """Counts the start of a call that is sent next."""
        self._unsent += 1
        return Start(self.limit is not None)

    def record_sent(self, start: Start, now_s: float) -> None:
        """Records that a call is sent now."""
        if start.sent_at_s is None:
            self._unsent -= 1
            self._append(start, now_s)

    def record_check(self, now_s: float) -> Start:
        """Counts a health check that is sent now, if it displaces no other start."""
        start = Start(self.limit is not None, is_running=False)
        if self.allows_check(now_s):
            self._append(start, now_s)
        return start

    def finish(self, start: Start, now_s: float) -> None:
        """Records the end of a call; one that was not sent counts no longer."""
        start.is_running = False
        if start.sent_at_s is None:
            self._unsent -= 1
        elif start.is_overdue:
            self._overdue -= 1
            self._append(start, now_s)

    def give_back(self, start: Start) -> None:
        """Forgets a call that the upstream did not count.

        Before the bound was in force, a start may have displaced another one that counts.
        """
        if start.within_bound and start in self._sent:
            self._sent.remove(start)
            start.is_running = False

    def free_starts(self, now_s: float) -> float:
        """Returns the number of starts that are possible now, infinite without a bound."""
        limit = self.limit
        return math.inf if limit is None else max(0, limit - self._counted(now_s))

    def allows_start(self, now_s: float) -> bool:
        """Returns whether a call may start now."""
        limit = self.limit
        return limit is None or self._counted(now_s) < limit

    def allows_check(self, now_s: float) -> bool:
        """Returns whether a health check fits into the bound, the reserved part included."""
        return self.bound is None or self._counted(now_s) < self.bound

    def delay_s(self, now_s: float) -> float:
        """Returns the time until a start is possible, infinite if a call must be sent first."""
        excess = self._excess(0, now_s)
        if excess <= 0:
            return 0.0
        return self._leaves_at_s(excess) - now_s if excess <= len(self._sent) else math.inf

    def expected_wait_s(self, ahead: int, now_s: float) -> float:
        """Returns the least wait of a call that starts after a number of others."""
        excess = self._excess(ahead, now_s)
        if excess <= 0:
            return 0.0
        if not self.limit:
            return math.inf
        # Each start makes room for another one when it leaves the window.
        windows, position = divmod(excess - 1, self.limit)
        leaves_at_s = now_s + WINDOW_S
        if position < len(self._sent):
            leaves_at_s = self._leaves_at_s(position + 1)
        return leaves_at_s - now_s + windows * WINDOW_S

    def _append(self, start: Start, now_s: float) -> None:
        start.sent_at_s = now_s
        self.assumed_at_s = now_s
        if self._sent and len(self._sent) == self.bound:
            self._drop_oldest()
        self._sent.append(start)

    def _drop_oldest(self) -> None:
        start = self._sent.popleft()
        if start.is_running:
            start.is_overdue = True
            self._overdue += 1

    def _counted(self, now_s: float) -> int:
        while self._sent and self._sent[0].sent_at_s + WINDOW_S <= now_s + _ROUNDING_S:
            self._drop_oldest()
        return len(self._sent) + self._unsent + self._overdue

    def _excess(self, ahead: int, now_s: float) -> int:
        """Returns how many counted starts must leave the window before one more is possible."""
        limit = self.limit
        return 0 if limit is None else self._counted(now_s) + ahead + 1 - limit

    def _leaves_at_s(self, number: int) -> float:
        """Returns when the window loses its oldest starts, up to the one with a number from 1."""
        return self._sent[number - 1].sent_at_s + WINDOW_S
