"""Holds the requests for the instance beside this node to what it tolerates while it is cold."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from ibisrack.calls.gate import Gate
from ibisrack.calls.start_window import StartWindow
from ibisrack.clocks import read_monotonic_s
from ibisrack.hosting.coldness import CheckBudget, Coldness, Doubt, HealthAnswer
from ibisrack.hosting.recorder import SubmissionRecorder
from ibisrack.instances.model import Instance

# Reserved for the health check that ends the doubt, also at a saturated instance.
RESERVED_FOR_CHECK = 1
# A check is worth its cost when less than this part of the bound is free.
CHECK_BELOW_FREE = 0.5


async def _no_health_check(path: str) -> HealthAnswer:
    return HealthAnswer(False)


@attrs.define(eq=False)
class ColdStarts:
    """Bound on the requests that the instance gets in a second while it is or may be cold.

    Attributes:
      gate: Admits requests to the instance.
      recorder: Logs when the instance becomes cold or warm for this node.
      check_health: Sends a health check to a path of the instance.
      coldness: What is known of whether the instance is cold.
      budget: Limits the health checks.
      health_path: Path of the health check, empty for none.
      events: Number of events after which the instance may be cold, by their names.
      checks: Number of health checks sent.
    """

    gate: Gate
    recorder: SubmissionRecorder
    check_health: Callable[[str], Awaitable[HealthAnswer]] = _no_health_check
    coldness: Coldness = attrs.field(factory=Coldness)
    budget: CheckBudget = attrs.field(factory=CheckBudget)
    health_path: str = ""
    events: dict[str, int] = attrs.field(factory=dict)
    checks: int = 0
    _instance_id: str = ""
    _check: asyncio.Task | None = None

    @property
    def window(self) -> StartWindow:
        """Starts of the last second."""
        return self.gate.scheduler.start_window

    def configure(self, bound: int | None, health_path: str) -> None:
        """Applies the number of requests in a second that a cold instance tolerates."""
        self.health_path = health_path
        if bound != self.window.bound:
            self.window.set_bound(bound)
            self.gate.start_allowed()
            self.advance(read_monotonic_s())

    def observe_entry(self, instance: Instance) -> None:
        """Applies what the entry of the instance says."""
        now_s = read_monotonic_s()
        self._instance_id = instance.instance_id
        if self.coldness.observe_entry(instance, now_s):
            self._count(Doubt.INSTANCE_STARTED)
        self._apply(now_s)

    def record_event(self, doubt: Doubt, now_s: float) -> None:
        """Records an event after which the instance may be cold."""
        if not self.coldness.in_doubt:
            self._count(doubt)
        self.coldness.record_event(doubt, now_s)
        self._apply(now_s)

    def advance(self, now_s: float) -> None:
        """Sends the health check that is due, and ends what the instance stated at its time."""
        self.coldness.advance(now_s)
        self._apply(now_s)
        if self._is_check_due(now_s):
            self.budget.record_attempt(now_s)
            self._check = asyncio.get_running_loop().create_task(self._check_once(now_s))

    def cold_left_s(self, now_s: float) -> float:
        """Returns how much longer the bound is in force as far as known, 0 if it is not."""
        if not self.window.in_force or self.window.bound is None:
            return 0.0
        # In doubt the next check may end it.
        return max(0.001, self.coldness.cold_until_s - now_s)

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
        self.checks += 1
        self.window.record_check(now_s)
        answer = await self.check_health(self.health_path)
        if not answer.reached:
            self.checks -= 1
            self.budget.give_back()
        elif answer.cold_s is not None:
            self.coldness.observe_health(answer.cold_s, now_s, read_monotonic_s())
            self._apply(read_monotonic_s())

    def _apply(self, now_s: float) -> None:
        """Puts the bound in force or ends it, and starts what it allows then."""
        window, is_cold = self.window, self.coldness.is_cold(now_s)
        reserved = RESERVED_FOR_CHECK if self.coldness.in_doubt else 0
        if (window.in_force, window.reserved) == (is_cold, reserved):
            return
        changed = window.in_force != is_cold
        window.in_force, window.reserved = is_cold, reserved
        if window.bound is None:
            return
        if changed:
            self.recorder.record_cold(
                self._instance_id, self.coldness, is_cold, window.bound, now_s
            )
        self.gate.start_allowed()

    def _count(self, doubt: Doubt) -> None:
        self.events[doubt] = self.events.get(doubt, 0) + 1
