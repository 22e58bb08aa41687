"""Decides how many calls the local upstream gets, from what calls and endpoints showed.

What calls showed counts more than what the endpoints claim, because those lag or mislead: a claim
takes effect only while no call since the last read says otherwise.
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

FIRST_SLOTS = 1.0
FAILING_AFTER = 3  # Failures in a row; one broken connection says little about an instance.
DRAINING_AFTER = 3  # Sheds in a row, without a success between them.
REDUCE_INTERVAL_S = 0.1  # Sheds of one burst halve the slots only once.
RETRY_FIRST_S = 0.25
RETRY_MOST_S = 2.0


@attrs.define
class UpstreamState:
    """Owner of what is known of the local upstream; no I/O.

    Attributes:
      slots: Slots of the service rule.
      allowed: Slots that the upstream is given at present, with the fraction gained so far.
      failures: Failures in a row.
      sheds: Sheds in a row.
      blocked_until_s: Monotonic time until which no call is sent.
      lifecycle: The upstream's state machine.
      retry_s: Length of the next block.
      reduced_at_s: Monotonic time of the last reduction for sheds.
      answered_since_read: Whether a call was answered since the last read of the health endpoint.
    """

    slots: int = 1
    allowed: float = FIRST_SLOTS
    failures: int = 0
    sheds: int = 0
    blocked_until_s: float = 0.0
    lifecycle: UpstreamLifecycle = attrs.field(factory=UpstreamLifecycle)
    retry_s: float = RETRY_FIRST_S
    reduced_at_s: float = float("-inf")
    answered_since_read: bool = False

    def configure(self, slots: int) -> None:
        """Takes the slots of the version in force."""
        self.slots = slots
        full = self.lifecycle.state == READY and not self.sheds
        self.allowed = float(slots) if full else min(self.allowed, slots)

    def current_slots(self) -> int:
        """Returns the slots to use at present; at least one, for calls that probe."""
        return max(1, min(self.slots, int(self.allowed)))

    def may_call(self, now_s: float) -> bool:
        """Tells whether calls may be sent now."""
        return now_s >= self.blocked_until_s

    def observe(self, observation: Observation, now_s: float) -> None:
        """Takes in an observation.

        Args:
          observation: What was seen.
          now_s: Monotonic time.
        """
        _apply(observation, self, now_s)

    def note_failure(self) -> None:
        """Counts a failure; several in a row mean that the upstream is failing."""
        self.failures += 1
        if self.failures >= FAILING_AFTER:
            self.lifecycle.trigger("fail")
            self.allowed = FIRST_SLOTS

    def block(self, now_s: float) -> None:
        """Sends no call for a while that doubles each time."""
        self.blocked_until_s = now_s + self.retry_s
        self.retry_s = min(RETRY_MOST_S, self.retry_s * 2)

    def recover(self) -> None:
        """Starts again as a cold upstream."""
        self.lifecycle.trigger("recover")
        self.allowed = FIRST_SLOTS


@singledispatch
def _apply(observation: Observation, upstream: UpstreamState, now_s: float) -> None:
    raise TypeError(f"unknown observation {type(observation).__name__}")


@_apply.register
def _(observation: Answered, upstream: UpstreamState, now_s: float) -> None:
    upstream.failures = 0
    upstream.sheds = 0
    upstream.answered_since_read = True
    upstream.blocked_until_s = 0.0
    upstream.retry_s = RETRY_FIRST_S
    state = upstream.lifecycle.state
    if state == READY and upstream.allowed >= upstream.slots:
        return
    if state in (FAILING, DRAINING):
        upstream.recover()
    # One more slot after as many successes as there are slots: every round of calls adds one.
    upstream.allowed = min(
        float(upstream.slots), upstream.allowed + 1.0 / max(1.0, upstream.allowed)
    )
    if upstream.allowed >= upstream.slots and upstream.lifecycle.state == COLD:
        upstream.lifecycle.trigger("warm")


@_apply.register
def _(observation: Shed, upstream: UpstreamState, now_s: float) -> None:
    upstream.sheds += 1
    if now_s - upstream.reduced_at_s >= REDUCE_INTERVAL_S:
        upstream.reduced_at_s = now_s
        upstream.allowed = max(FIRST_SLOTS, upstream.allowed / 2)
    if upstream.sheds >= DRAINING_AFTER and upstream.allowed <= FIRST_SLOTS:
        upstream.lifecycle.trigger("drain")
        upstream.block(now_s)


@_apply.register
def _(observation: Unreachable, upstream: UpstreamState, now_s: float) -> None:
    upstream.note_failure()
    upstream.block(now_s)


@_apply.register
def _(observation: Broken, upstream: UpstreamState, now_s: float) -> None:
    upstream.note_failure()


@_apply.register
def _(observation: HealthRead, upstream: UpstreamState, now_s: float) -> None:
    if observation.healthy and upstream.lifecycle.state in (FAILING, DRAINING):
        # The next call decides whether the claim is true.
        upstream.blocked_until_s = now_s
    elif not observation.healthy and not upstream.answered_since_read:
        upstream.allowed = FIRST_SLOTS
    upstream.answered_since_read = False


@_apply.register
def _(observation: LoadRead, upstream: UpstreamState, now_s: float) -> None:
    if upstream.sheds and observation.slots > 0:
        # Without sheds the own count of running calls is the better figure.
        room = observation.slots - observation.busy
        upstream.allowed = max(FIRST_SLOTS, min(upstream.allowed, float(room)))
