"""Limits the requests for the instance beside this node after its start or recovery.

A cold instance tolerates a stated number of requests in any second.  Beyond that, an instance that
has just started or recovered runs fewer requests at once until it answers like its peers.
"""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from ibisrack.calls.gate import Gate
from ibisrack.calls.start_window import WINDOW_S, StartWindow
from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.coldness import CheckBudget, Coldness, Doubt, HealthAnswer
from ibisrack.hosting.recorder import SubmissionRecorder
from ibisrack.hosting.slow_start import SlowStart
from ibisrack.instances.model import Instance

# Reserved for the health check that ends the doubt, also at a saturated instance.
RESERVED_FOR_CHECK = 1
# A check is worth its cost when less than this part of the bound is free.
CHECK_BELOW_FREE = 0.5
# Events after which the instance has just started or recovered.  A connection that it drops while
# it lives, or closes because it was idle, is none.
RECOVERIES = frozenset((Doubt.CRASHED, Doubt.REFUSED, Doubt.EVACUATION_ENDED))
NO_SLOT_LIMIT = 2**31 - 1
MIN_COLD_LEFT_S = 0.001  # Peers are told the time rounded up, and 0 means that it is not cold.


async def _no_health_check(path: str) -> HealthAnswer:
    return HealthAnswer(False)


@attrs.define(eq=False)
class ColdStarts:
    """Limits on the requests for the instance while it may be cold or has just recovered.

    Attributes:
      gate: Admits requests to the instance.
      recorder: Logs when the instance becomes cold or warm for this node.
      check_health: Sends a health check to a path of the instance.
      coldness: What is known of whether the instance is cold.
      budget: Limits the health checks.
      health_path: Path of the health check, empty for none.
      events: Number of events after which the instance may be cold, by their names.
      checks: Number of health checks sent.
      refused: Number of requests that were refused without a run while the bound was in force.
      slow_start: Limit on what the instance runs at once after a start or recovery.
      peer_service_s: Returns the usual service time of its peers, 0 if it is not known.
      on_change: Called when the instance becomes cold or warm, to tell the senders.
    """

    gate: Gate
    recorder: SubmissionRecorder
    check_health: Callable[[str], Awaitable[HealthAnswer]] = _no_health_check
    coldness: Coldness = attrs.field(factory=Coldness)
    budget: CheckBudget = attrs.field(factory=CheckBudget)
    health_path: str = ""
    events: dict[str, int] = attrs.field(factory=dict)
    checks: int = 0
    refused: int = 0
    slow_start: SlowStart = attrs.field(factory=SlowStart)
    peer_service_s: Callable[[], float] = attrs.field(default=lambda: 0.0)
    on_change: Callable[[], None] = attrs.field(default=lambda: None)
    _instance_id: str = ""
    # The bound, whether it is in force, and what is reserved, as applied last.
    _applied: tuple[int | None, bool, int] | None = None
    _is_bounded: bool = False
    _slot_limit: int | None = None
    _check: asyncio.Task | None = None

    @property
    def window(self) -> StartWindow:
        """Starts of the last second."""
        return self.gate.scheduler.start_window

    def configure(self, bound: int | None, health_path: str, now_s: float) -> None:
        """Applies the number of requests in a second that a cold instance tolerates."""
        self.health_path = health_path
        if bound != self.window.bound:
            self.window.set_bound(bound)
            self.advance(now_s)

    def observe_entry(self, instance: Instance, now_s: float) -> None:
        """Applies what the entry of the instance says."""
        self._instance_id = instance.instance_id
        if self.coldness.observe_entry(instance, now_s):
            self._count(Doubt.INSTANCE_STARTED)
            # Another start may run on other hardware or have other code.
            self._begin_slow_start(instance.slots, 0.0, now_s)
        self._apply(now_s)

    def record_event(self, doubt: Doubt, usual_s: float, now_s: float) -> None:
        """Records an event after which the instance may be cold.

        Args:
          doubt: The event.
          usual_s: Service time of the instance before it.
          now_s: Current time.
        """
        if not self.coldness.in_doubt:
            self._count(doubt)
        self.coldness.record_event(doubt, now_s)
        if doubt in RECOVERIES:
            self._begin_slow_start(self.gate.scheduler.slots, usual_s, now_s)
        self._apply(now_s)

    def record_not_started(self) -> None:
        """Counts a request that was refused before it was sent to the instance."""
        self.refused += self.window.limit is not None

    def record_answer(self, ran_s: float, now_s: float) -> None:
        """Adapts the limit after a start or recovery to the time of an answer."""
        if self.slow_start.limit is not None:
            self.slow_start.record_answer(ran_s, self.peer_service_s(), now_s)
            self._apply_slow_start(now_s)

    def record_refusal(self, now_s: float) -> None:
        """Adapts the limit after a start or recovery to a refusal by the instance."""
        self.slow_start.record_refusal()
        self._apply_slow_start(now_s)

    def advance(self, now_s: float) -> None:
        """Sends the health check that is due, and ends what the instance stated at its time."""
        self.coldness.advance(now_s)
        self._apply(now_s)
        self.slow_start.expire(now_s)
        self._apply_slow_start(now_s)
        if self._is_check_due(now_s):
            self.budget.record_attempt(now_s)
            self._check = asyncio.get_running_loop().create_task(self._check_once(now_s))

    @property
    def paced_per_s(self) -> float | None:
        """Starts a second that the bound allows, None while there is none."""
        limit = self.window.limit
        return None if limit is None else limit / WINDOW_S

    def cold_left_s(self, now_s: float) -> float:
        """Returns how much longer the bound is in force as far as known, 0 if it is not."""
        if self.window.limit is None:
            return 0.0
        # In doubt the next check may end it.
        return max(MIN_COLD_LEFT_S, self.coldness.cold_until_s - now_s)

    def _is_check_due(self, now_s: float) -> bool:
        """Returns whether a health check would tell something that matters now."""
        window, is_running = self.window, self._check is not None and not self._check.done()
        if window.bound is None or not self.health_path or is_running:
            return False
        if not self.coldness.in_doubt or not self.budget.allows(now_s):
            return False
        # What the previous process sent is only assumed, so a check does not wait for it.
        if self.coldness.doubt is Doubt.NODE_STARTED:
            return True
        is_held_back = window.free_starts(now_s) < window.bound * CHECK_BELOW_FREE
        return is_held_back and window.allows_check(now_s)

    async def _check_once(self, now_s: float) -> None:
        start = self.window.record_check(now_s)
        answer = await self.check_health(self.health_path)
        self.checks += answer.reached
        if not answer.reached:
            self.window.give_back(start)
            self.budget.give_back()
        elif answer.cold_s is not None:
            self.coldness.observe_health(answer.cold_s, now_s, read_monotonic_s())
            self._apply(read_monotonic_s())

    def _apply(self, now_s: float) -> None:
        """Puts the bound in force or ends it, and starts what it allows then."""
        window, is_cold = self.window, self.coldness.is_cold(now_s)
        reserved = RESERVED_FOR_CHECK if self.coldness.in_doubt else 0
        applied = (window.bound, is_cold, reserved)
        if applied == self._applied:
            return
        self._applied, window.in_force, window.reserved = applied, is_cold, reserved
        self.gate.start_allowed()
        is_bounded = is_cold and window.bound is not None
        if is_bounded != self._is_bounded:
            self._is_bounded = is_bounded
            self.recorder.record_cold(
                self._instance_id, self.coldness, is_bounded, window.bound, now_s
            )
            self.on_change()

    def _begin_slow_start(self, slots: int, usual_s: float, now_s: float) -> None:
        self.slow_start.begin(slots, usual_s, now_s)
        self._apply_slow_start(now_s)

    def _apply_slow_start(self, now_s: float) -> None:
        """Applies the limit after a start or recovery to the slots."""
        limit = self.slow_start.running_limit
        if limit == self._slot_limit:
            return
        if (limit is None) != (self._slot_limit is None):
            self.recorder.record_slow_start(self._instance_id, limit, self.slow_start, now_s)
        self._slot_limit = limit
        self.gate.limit_slots(NO_SLOT_LIMIT if limit is None else limit)

    def _count(self, doubt: Doubt) -> None:
        self.events[doubt] = self.events.get(doubt, 0) + 1
