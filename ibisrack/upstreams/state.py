"""Decides how many calls the local upstream gets, from call results and endpoint reports.

Call results take precedence over the health and load endpoints, whose reports may be late or wrong.
An unhealthy report is ignored if a call was answered since the last read of the health endpoint,
and a load report counts only while the upstream sheds calls.
"""

from functools import singledispatch

import attrs

from ibisrack.upstreams.lifecycle import COLD, DRAINING, FAILING, READY, UpstreamLifecycle
from ibisrack.upstreams.messages import (
    Answered,
    Broken,
    HealthRead,
    LoadRead,
    Observation,
    Shed,
    Unreachable,
)

INITIAL_SLOTS = 1.0
FAILURES_UNTIL_FAILING = 3  # Consecutive failures; a single broken connection is weak evidence.
SHEDS_UNTIL_DRAINING = 3  # Consecutive sheds, without a success between them.
MIN_REDUCTION_INTERVAL_S = 0.1  # A burst of sheds halves the slots only once.
INITIAL_BLOCK_S = 0.25
MAX_BLOCK_S = 2.0


@attrs.define
class UpstreamState:
    """State of the local upstream as observed by its node; no I/O.

    Attributes:
      slots: Slots of the service rule.
      allowed_slots: Current number of usable slots, with the fraction of a slot gained so far.
      failures: Number of consecutive failures.
      sheds: Number of consecutive sheds.
      blocked_until_s: Monotonic time until which no call is sent.
      lifecycle: State machine of the upstream.
      next_block_s: Duration of the next block.
      reduced_at_s: Monotonic time of the last slot reduction after a shed.
      answered_since_health_read: Whether a call was answered since the last health read.
    """

    slots: int = 1
    allowed_slots: float = INITIAL_SLOTS
    failures: int = 0
    sheds: int = 0
    blocked_until_s: float = 0.0
    lifecycle: UpstreamLifecycle = attrs.field(factory=UpstreamLifecycle)
    next_block_s: float = INITIAL_BLOCK_S
    reduced_at_s: float = float("-inf")
    answered_since_health_read: bool = False

    def configure(self, slots: int) -> None:
        """Applies the slots of the version in force."""
        self.slots = slots
        full = self.lifecycle.state == READY and not self.sheds
        self.allowed_slots = float(slots) if full else min(self.allowed_slots, slots)

    def current_slots(self) -> int:
        """Returns the number of usable slots; at least one, so that calls can still probe."""
        return max(1, min(self.slots, int(self.allowed_slots)))

    def may_call(self, now_s: float) -> bool:
        """Returns whether calls may be sent."""
        return now_s >= self.blocked_until_s

    def observe(self, observation: Observation, now_s: float) -> None:
        """Updates the state with an observation.

        Args:
          observation: Call result or endpoint report.
          now_s: Current monotonic time.
        """
        _apply(observation, self, now_s)

    def count_failure(self) -> None:
        """Counts a failure; after several consecutive ones the upstream is failing."""
        self.failures += 1
        if self.failures >= FAILURES_UNTIL_FAILING:
            self.lifecycle.trigger("fail")
            self.allowed_slots = INITIAL_SLOTS

    def block(self, now_s: float) -> None:
        """Blocks calls; each block lasts twice as long as the one before, up to ``MAX_BLOCK_S``."""
        self.blocked_until_s = now_s + self.next_block_s
        self.next_block_s = min(MAX_BLOCK_S, self.next_block_s * 2)

    def recover(self) -> None:
        """Restarts the upstream as cold."""
        self.lifecycle.trigger("recover")
        self.allowed_slots = INITIAL_SLOTS


@singledispatch
def _apply(observation: Observation, upstream: UpstreamState, now_s: float) -> None:
    raise TypeError(f"unknown observation {type(observation).__name__}")


@_apply.register
def _(observation: Answered, upstream: UpstreamState, now_s: float) -> None:
    upstream.failures = 0
    upstream.sheds = 0
    upstream.answered_since_health_read = True
    upstream.blocked_until_s = 0.0
    upstream.next_block_s = INITIAL_BLOCK_S
    state = upstream.lifecycle.state
    if state == READY and upstream.allowed_slots >= upstream.slots:
        return
    if state in (FAILING, DRAINING):
        upstream.recover()
    # Adds one slot after as many successes as there are slots, that is once per round of calls.
    upstream.allowed_slots = min(
        float(upstream.slots), upstream.allowed_slots + 1.0 / max(1.0, upstream.allowed_slots)
    )
    if upstream.allowed_slots >= upstream.slots and upstream.lifecycle.state == COLD:
        upstream.lifecycle.trigger("warm")


@_apply.register
def _(observation: Shed, upstream: UpstreamState, now_s: float) -> None:
    upstream.sheds += 1
    if now_s - upstream.reduced_at_s >= MIN_REDUCTION_INTERVAL_S:
        upstream.reduced_at_s = now_s
        upstream.allowed_slots = max(INITIAL_SLOTS, upstream.allowed_slots / 2)
    if upstream.sheds >= SHEDS_UNTIL_DRAINING and upstream.allowed_slots <= INITIAL_SLOTS:
        upstream.lifecycle.trigger("drain")
        upstream.block(now_s)


@_apply.register
def _(observation: Unreachable, upstream: UpstreamState, now_s: float) -> None:
    upstream.count_failure()
    upstream.block(now_s)


@_apply.register
def _(observation: Broken, upstream: UpstreamState, now_s: float) -> None:
    upstream.count_failure()


@_apply.register
def _(observation: HealthRead, upstream: UpstreamState, now_s: float) -> None:
    if observation.healthy and upstream.lifecycle.state in (FAILING, DRAINING):
        # Unblocks calls; the result of the next call confirms or refutes the report.
        upstream.blocked_until_s = now_s
    elif not observation.healthy and not upstream.answered_since_health_read:
        upstream.allowed_slots = INITIAL_SLOTS
    upstream.answered_since_health_read = False


@_apply.register
def _(observation: LoadRead, upstream: UpstreamState, now_s: float) -> None:
    if upstream.sheds and observation.slots > 0:
        # Without sheds, the node's own count of running calls is more accurate.
        free_slots = observation.slots - observation.busy
        upstream.allowed_slots = max(INITIAL_SLOTS, min(upstream.allowed_slots, float(free_slots)))
