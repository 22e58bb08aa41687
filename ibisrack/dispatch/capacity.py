"""Estimates when the instances of a service have capacity for a request.

The node beside each instance reports its load with every answer, and at least once in a second.
The estimate falls at once and rises with the next report or with time:

- A request that this node has sent since the report counts as waiting there.
- A refusal for want of room counts against requests of the same or a less urgent priority that have
  no more time left.  It ends with a report of fewer requests at the instance, at the latest after
  REFUSAL_LIFETIME_S.
- The weight of a report falls linearly with its age, to none after REPORT_LIFETIME_S.  The rest of
  the weight is the mean of the other instances.
"""

import math
from collections.abc import Iterable
from enum import Enum

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.calls.targets import POSSIBLE_MEAN_FACTOR, UNREACHABLE_MEAN_FACTOR
from ibisrack.dispatch.choice import InstanceView, InstanceViews, slot_wait_s
from ibisrack.dispatch.transfer import Transfer
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Load

# Reasons of refusals by a node whose instance has no capacity for the request.
WANT_OF_ROOM = frozenset((Reason.TOO_BUSY, Reason.QUEUE_FULL))
REPORT_LIFETIME_S = 1.0  # An idle link carries a report each second.
# Certainty above which a report of a full instance is believed.  A full instance of the deployments
# of docs/design/hard-load.md ends several requests in the half second in which a report has it.
MIN_CERTAINTY = 0.5
REFUSAL_LIFETIME_S = 0.5
# Certainty above which a request is refused without any attempt.  A report has it for a fifth of a
# second, in which a wait that exceeds the time to the deadline changes little.
MIN_CERTAINTY_WITHOUT_ATTEMPT = 0.8
MAX_TRACKED_INSTANCES = 4096  # The table of refusals is cleared when it reaches this size.


class Prospect(Enum):
    """Whether an instance would admit a request that is sent to it now."""

    LIKELY = "likely"
    UNKNOWN = "unknown"
    UNLIKELY = "unlikely"


@attrs.frozen
class Need:
    """What a request needs of an instance.

    Attributes:
      priority: Priority of its route; 0 is the most urgent.
      transfer: Its times, and what its bodies mean for the links.
      is_nested: Whether a running request makes it; it goes before others of its priority.
    """

    priority: int
    transfer: Transfer
    is_nested: bool = False

    @property
    def urgency(self) -> tuple[int, bool]:
        """Order among requests, the most urgent first."""
        return self.priority, not self.is_nested

    def left_s(self, service_s: float) -> float:
        """Returns the time by which it must be answered, as admission counts it.

        Args:
          service_s: Mean service time of the instance.
        """
        is_reachable = service_s * UNREACHABLE_MEAN_FACTOR <= self.transfer.target_s
        return self.transfer.target_left_s if is_reachable else self.transfer.deadline_left_s


@attrs.frozen
class CapacityEstimate:
    """Expected capacity of a service for a request that is sent now.

    Attributes:
      wait_s: Expected wait at the best instance.
      service_s: Mean service time there.
      certainty: Mean weight of the reports, from 0 (all are old) to 1.
      age_s: Age of the report of the best instance.
    """

    wait_s: float
    service_s: float
    certainty: float
    age_s: float


@attrs.frozen
class _Refusal:
    """A refusal for want of room.

    Attributes:
      at_s: Monotonic time of the refusal.
      left_s: Time that the request had left, as admission counts it.
      held: Running and waiting requests of the instance.
    """

    at_s: float
    left_s: float
    held: int


@attrs.define
class RoomSearch:
    """What the attempts of one request have shown about the capacity of its service.

    Attributes:
      refusals: Refusals for want of room.
      unknown_id: Instance chosen although its capacity is not known, None if there was none.
      spared_attempts: Attempts that were not made because no instance was likely to admit it.
      estimate: Estimate at the time at which the request was refused, None for another reason.
    """

    refusals: int = 0
    unknown_id: str | None = None
    spared_attempts: int = 0
    estimate: CapacityEstimate | None = None


@attrs.define(eq=False)
class CapacityEstimator:
    """Estimates the capacity of the instances that a node sends requests to.

    Attributes:
      views: Views of the instances.
      refused_until_s: Monotonic time until which the last refusal for want of room counts.
    """

    views: InstanceViews
    refused_until_s: float = -math.inf
    # The last refusals by instance and urgency.
    _refusals: dict[str, dict[tuple[int, bool], _Refusal]] = attrs.field(factory=dict)

    def record_refusal(self, instance_id: str, need: Need, load: Load | None, now_s: float) -> None:
        """Records a refusal for want of room.

        Args:
          instance_id: The instance whose node refused.
          need: What the request needed.
          load: Last report of the instance; without one, it could not be seen when room appears.
          now_s: Current time.
        """
        if load is None:
            return
        self.refused_until_s = now_s + REFUSAL_LIFETIME_S
        if len(self._refusals) >= MAX_TRACKED_INSTANCES:
            self._refusals.clear()
        left_s = need.left_s(load.service_ms / 1000)
        refusal = _Refusal(now_s, left_s, load.busy + load.queued)
        self._refusals.setdefault(instance_id, {})[need.urgency] = refusal

    def has_refusals(self, now_s: float) -> bool:
        """Returns whether any instance has refused a request for want of room lately."""
        return now_s < self.refused_until_s

    def prospect(self, instance: Instance, need: Need, now_s: float) -> Prospect:
        """Returns whether an instance would admit a request that is sent to it now."""
        view = self.views.of(instance.instance_id)
        if view.load is None:
            return Prospect.UNKNOWN
        service_s = view.load.service_ms / 1000
        left_s = need.left_s(service_s)
        if self._has_refused(instance.instance_id, view.load, need, left_s, now_s):
            return Prospect.UNLIKELY
        wait_s = self._wait_s(instance, view, need, now_s)
        # Admission asks for more than the mean of the priority, which may be shorter than this one.
        if not wait_s or wait_s + service_s <= left_s:
            return Prospect.LIKELY
        is_certain = _certainty(view, now_s) >= MIN_CERTAINTY
        return Prospect.UNLIKELY if is_certain else Prospect.UNKNOWN

    def misses_deadline(self, instance: Instance, need: Need, now_s: float) -> bool:
        """Returns whether an instance is certain not to answer a request before its deadline."""
        view = self.views.of(instance.instance_id)
        if view.load is None or _certainty(view, now_s) < MIN_CERTAINTY_WITHOUT_ATTEMPT:
            return False
        wait_s = self._wait_s(instance, view, need, now_s) - (now_s - view.reported_at_s)
        # Hardly any run is shorter than this part of the mean.
        run_s = view.load.service_ms / 1000 * POSSIBLE_MEAN_FACTOR
        return wait_s > 0 and wait_s + run_s > need.transfer.deadline_left_s

    def estimate(
        self, instances: Iterable[Instance], need: Need, now_s: float
    ) -> CapacityEstimate | None:
        """Returns the capacity of some instances together, None if none of them has reported."""
        reported = []
        for instance in instances:
            view = self.views.of(instance.instance_id)
            if view.load is not None:
                wait_s = self._wait_s(instance, view, need, now_s)
                reported.append((view, _certainty(view, now_s), wait_s))
        if not reported:
            return None
        weight = sum(certainty for _, certainty, _ in reported)
        mean_s = sum(certainty * wait_s for _, certainty, wait_s in reported) / (weight or 1.0)
        best_s, best = min(
            ((c * wait_s + (1 - c) * mean_s, view) for view, c, wait_s in reported),
            key=lambda waits: waits[0],
        )
        service_s, age_s = best.load.service_ms / 1000, now_s - best.reported_at_s
        return CapacityEstimate(best_s, service_s, weight / len(reported), age_s)

    def _has_refused(
        self, instance_id: str, load: Load, need: Need, left_s: float, now_s: float
    ) -> bool:
        """Returns whether a refusal for want of room still counts against a request."""
        refusals = self._refusals.get(instance_id)
        if not refusals:
            return False
        held = load.busy + load.queued
        return any(
            urgency <= need.urgency
            and left_s <= refusal.left_s
            and held >= refusal.held
            and now_s - refusal.at_s < REFUSAL_LIFETIME_S
            for urgency, refusal in refusals.items()
        )

    def _wait_s(self, instance: Instance, view: InstanceView, need: Need, now_s: float) -> float:
        """Returns how long a request that is sent now waits at an instance that has reported."""
        load = view.load
        ahead = _queued_ahead(load, need) + view.sent_since_report
        slots_s = slot_wait_s(load.service_ms / 1000, load.busy + ahead, max(1, load.slots))
        wait_s = max(slots_s, view.paced_wait_s(ahead, now_s))
        if instance.host != self.views.own_host and need.transfer.is_large_for(load):
            wait_s = max(wait_s, view.link_wait(now_s).backlog_s)
        return wait_s


def _certainty(view: InstanceView, now_s: float) -> float:
    """Returns the weight of a report, which falls with its age."""
    return max(0.0, 1 - (now_s - view.reported_at_s) / REPORT_LIFETIME_S)


def _queued_ahead(load: Load, need: Need) -> int:
    """Returns the waiting requests of an instance that go before a request.

    Reports don't tell the nested requests of a priority from the others, which are nearly all that
    wait in an overload.
    """
    reported = load.queued_by_priority
    if need.is_nested:
        return sum(queued for priority, queued in reported if priority < need.priority)
    if not reported or need.priority >= reported[-1][0]:
        return load.queued
    return sum(queued for priority, queued in reported if priority <= need.priority)
