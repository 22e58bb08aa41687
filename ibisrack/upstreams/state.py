"""Decides how many calls the local upstream gets, from what calls and endpoints showed.

What calls showed counts more than what the endpoints claim, because those lag or mislead: a claim
takes effect only while no call since the last read says otherwise.
"""

from functools import singledispatchmethod

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
    """

    slots: int = 1
    allowed: float = FIRST_SLOTS
    failures: int = 0
    sheds: int = 0
    blocked_until_s: float = 0.0
    lifecycle: UpstreamLifecycle = attrs.field(factory=UpstreamLifecycle)
    _retry_s: float = RETRY_FIRST_S
    _reduced_at_s: float = float("-inf")
    _answered_since_read: bool = False

    def configure(self, slots: int) -> None:
        """Takes the slots of the version in force."""
        self.slots = slots
        full = self.lifecycle.state == READY and not self.sheds
        self.allowed = float(slots) if full else min(self.allowed, slots)

    def slots_now(self) -> int:
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
        self._apply(observation, now_s)

    @singledispatchmethod
    def _apply(self, observation: Observation, now_s: float) -> None:
        raise TypeError(f"unknown observation {type(observation).__name__}")

    @_apply.register
    def _(self, observation: Answered, now_s: float) -> None:
        self.failures = 0
        self.sheds = 0
        self._answered_since_read = True
        state = self.lifecycle.state
        if state == READY and self.allowed >= self.slots:
            return
        if state in (FAILING, DRAINING):
            self._recover()
        # One more slot after as many successes as there are slots: every round of calls adds one.
        self.allowed = min(float(self.slots), self.allowed + 1.0 / max(1.0, self.allowed))
        if self.allowed >= self.slots and self.lifecycle.state == COLD:
            self.lifecycle.trigger("warm")

    @_apply.register
    def _(self, observation: Shed, now_s: float) -> None:
        self.sheds += 1
        if now_s - self._reduced_at_s >= REDUCE_INTERVAL_S:
            self._reduced_at_s = now_s
            self.allowed = max(FIRST_SLOTS, self.allowed / 2)
        if self.sheds >= DRAINING_AFTER and self.allowed <= FIRST_SLOTS:
            self.lifecycle.trigger("drain")
            self._block(now_s)

    @_apply.register
    def _(self, observation: Unreachable, now_s: float) -> None:
        self._fail()
        self._block(now_s)

    @_apply.register
    def _(self, observation: Broken, now_s: float) -> None:
        self._fail()

    @_apply.register
    def _(self, observation: HealthRead, now_s: float) -> None:
        if observation.healthy and self.lifecycle.state in (FAILING, DRAINING):
            # The next call decides whether the claim is true.
            self.blocked_until_s = now_s
        elif not observation.healthy and not self._answered_since_read:
            self.allowed = FIRST_SLOTS
        self._answered_since_read = False

    @_apply.register
    def _(self, observation: LoadRead, now_s: float) -> None:
        if self.sheds and observation.slots > 0:
            # Without sheds the own count of running calls is the better figure.
            room = observation.slots - observation.busy
            self.allowed = max(FIRST_SLOTS, min(self.allowed, float(room)))

    def _fail(self) -> None:
        self.failures += 1
        if self.failures >= FAILING_AFTER:
            self.lifecycle.trigger("fail")
            self.allowed = FIRST_SLOTS

    def _block(self, now_s: float) -> None:
        self.blocked_until_s = now_s + self._retry_s
        self._retry_s = min(RETRY_MOST_S, self._retry_s * 2)

    def _recover(self) -> None:
        self.lifecycle.trigger("recover")
        self.allowed = FIRST_SLOTS
        self.blocked_until_s = 0.0
        self._retry_s = RETRY_FIRST_S
