"""Whether the instance beside this node is cold, from what its entry and its health answers say.

After some events an instance may be cold without having said so: its process may be another one
than before.  It then counts as cold until it has said otherwise after the event.
"""

import math
from enum import StrEnum

import attrs

from ibisrack.instances.model import Instance
from ibisrack.routing.model import MAX_TIME_S

# An entry takes up to this long from the instance to a node.  One that arrives earlier after an
# event may have been written before it.
ENTRY_TRANSIT_S = 2.0
# Health checks cost the instance as much as requests: this many at once, and one more each
# CHECK_REFILL_S.
MAX_CHECKS = 3
CHECK_REFILL_S = 5.0
CHECK_INTERVAL_S = 0.2  # Between two attempts, also of those that reach no instance.
# A higher bound holds nothing back and would only cost memory.
MAX_BOUND = 10_000
# A bound or a token that falls short of a whole number by less does so by rounding.
_ROUNDING = 1e-9


class Doubt(StrEnum):
    """Events after which the instance may be cold."""

    NODE_STARTED = "node-started"
    INSTANCE_STARTED = "instance-started"
    REPLACED = "replaced"
    REFUSED = "connections-refused"
    CRASHED = "crashed"
    CONNECTIONS_CLOSED = "connections-closed"
    EVACUATION_ENDED = "evacuation-ended"
    COLD_TIME_OVER = "cold-time-over"


class Source(StrEnum):
    """Where a statement of the instance comes from."""

    NONE = "none"
    ENTRY = "entry"
    HEALTH = "health"


@attrs.frozen
class HealthAnswer:
    """Result of a health check.

    Attributes:
      reached: Whether the instance accepted the connection.
      cold_s: How much longer it is cold, None without a valid answer.
    """

    reached: bool
    cold_s: float | None = None


def cold_bound(rate_per_s: float, factor: float, slack: float) -> int | None:
    """Returns the number of starts in a second that a cold instance tolerates, None for any.

    Args:
      rate_per_s: Requests per second that its service states, 0 for any number.
      factor: Multiple of this rate that is allowed.
      slack: Requests that are allowed beyond that.
    """
    bound = rate_per_s * factor + slack
    return math.floor(bound + _ROUNDING) if rate_per_s > 0 and bound < MAX_BOUND else None


@attrs.define
class Coldness:
    """What is known of whether the instance is cold.

    Attributes:
      doubt: Last event after which it may be cold.
      doubt_at_s: Monotonic time of this event.
      in_doubt: Whether the instance has not said since whether it is cold.
      source: Where its last statement comes from.
      heard_at_s: Monotonic time of this statement.
      cold_until_s: Monotonic time until which it is cold as it said.
    """

    doubt: Doubt = Doubt.NODE_STARTED
    doubt_at_s: float = -math.inf
    in_doubt: bool = True
    source: Source = Source.NONE
    heard_at_s: float = -math.inf
    cold_until_s: float = -math.inf
    _last_entry: Instance | None = None

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the instance is cold or may be cold."""
        return self.in_doubt or now_s < self.cold_until_s

    def record_event(self, doubt: Doubt, now_s: float) -> None:
        """Records an event after which the instance may be cold."""
        self.doubt, self.doubt_at_s, self.in_doubt = doubt, now_s, True

    def observe_entry(self, instance: Instance, now_s: float) -> bool:
        """Applies the entry of the instance; returns whether it is of another start than before."""
        known, self._last_entry = self._last_entry, instance
        is_known_start = known is not None and known.start == instance.start
        if is_known_start and known.sequence == instance.sequence:
            return False
        is_other_start = known is not None and not is_known_start
        if is_other_start:
            self.record_event(Doubt.INSTANCE_STARTED, now_s)
        if instance.cold_left_s > 0:
            self._record_statement(Source.ENTRY, instance.cold_left_s, now_s)
        elif is_known_start and self._is_newer_entry(now_s):
            self._record_statement(Source.ENTRY, 0.0, now_s)
        return is_other_start

    def observe_health(self, cold_s: float, requested_at_s: float, now_s: float) -> None:
        """Applies a health answer unless it was requested before the last event."""
        if requested_at_s >= self.doubt_at_s:
            self._record_statement(Source.HEALTH, cold_s, now_s)

    def advance(self, now_s: float) -> None:
        """Begins to doubt when the stated time is over, in which it may have become cold again."""
        if not self.in_doubt and -math.inf < self.cold_until_s <= now_s:
            self.cold_until_s = -math.inf
            self.record_event(Doubt.COLD_TIME_OVER, now_s)

    def _is_newer_entry(self, now_s: float) -> bool:
        """Returns whether an entry that arrives now was written after the last event or check."""
        known_at_s = self.doubt_at_s if self.in_doubt else -math.inf
        if self.source is Source.HEALTH:
            known_at_s = max(known_at_s, self.heard_at_s)
        return now_s >= known_at_s + ENTRY_TRANSIT_S

    def _record_statement(self, source: Source, cold_s: float, now_s: float) -> None:
        self.source, self.heard_at_s, self.in_doubt = source, now_s, False
        self.cold_until_s = now_s + min(cold_s, MAX_TIME_S) if cold_s > 0 else -math.inf


@attrs.define
class CheckBudget:
    """Limits the health checks: token bucket with one token for each check."""

    _tokens: float = MAX_CHECKS
    _counted_at_s: float = 0.0
    _next_at_s: float = -math.inf

    def allows(self, now_s: float) -> bool:
        """Returns whether a health check may be sent now."""
        return now_s >= self._next_at_s and self._available(now_s) >= 1 - _ROUNDING

    def record_attempt(self, now_s: float) -> None:
        """Counts an attempt to send a health check."""
        self._tokens, self._counted_at_s = self._available(now_s) - 1, now_s
        self._next_at_s = now_s + CHECK_INTERVAL_S

    def give_back(self) -> None:
        """Forgets a check that reached no instance."""
        self._tokens += 1

    def _available(self, now_s: float) -> float:
        elapsed_s = now_s - self._counted_at_s
        return min(MAX_CHECKS, self._tokens + elapsed_s / CHECK_REFILL_S)
