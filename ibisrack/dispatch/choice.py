"""Chooses the instance for a request: the one expected to answer first, nearness included.

The node beside each instance tells its load with every answer.  What this node sent since then is
added, so that it does not send a burst to the same place.
"""

from collections.abc import Iterable
from random import Random

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Load

DEFAULT_SERVICE_S = 0.1
COLD_FACTOR = 2.0  # An instance that has just started is expected to take this much longer.
BUSY_WEIGHT = 0.3  # Part of a service time that a full instance costs before calls wait there.
JITTER = 0.05  # Random part of a cost, so that nodes with the same view choose differently.
SIZE_WEIGHT = 0.1  # Weight of the newest answer in the mean size of a route's answers.

# Cost of another zone as a part of the target time.  Traffic between zones is paid by the byte, so
# a large answer comes from the own zone even if it is late for that.
LEAST_ZONE_COST = 0.08
MOST_ZONE_COST = 1.5
MOST_COST_BYTES = 120_000

FAILURE_AVOID_S = 1.0
AVOID_S = {
    Reason.UPSTREAM_UNREACHABLE: 0.7,
    Reason.DRAINING: 0.5,
    Reason.NO_INSTANCE: 0.5,
    Reason.SHED: 0.1,
}


@attrs.define
class InstanceView:
    """What this node knows of an instance beyond the registry.

    Attributes:
      load: Last report of its node.
      in_flight: Requests of this node that it has not answered.
      sent_since: Those that were sent after the last report.
      avoid_until_s: Time until which other instances are preferred.
      cold_until_s: Time until which it is expected to be slow.
    """

    load: Load | None = None
    in_flight: int = 0
    sent_since: int = 0
    avoid_until_s: float = 0.0
    cold_until_s: float = 0.0

    def report(self, load: Load) -> None:
        """Takes a report."""
        if load is not self.load:
            self.load, self.sent_since = load, 0

    def expected_s(self, slots: int, usual_s: float, now_s: float) -> float:
        """Returns the time in which a request sent now is expected to be answered."""
        service_s, busy = usual_s, self.in_flight
        if self.load is not None:
            slots = self.load.slots or slots
            busy = self.load.busy + self.load.queued + self.sent_since
            if self.load.service_ms:
                service_s = self.load.service_ms / 1000
        if now_s < self.cold_until_s:
            service_s *= COLD_FACTOR
        slots = max(1, slots)
        waiting = max(0.0, busy + 1 - slots)
        return service_s * (1 + waiting / slots + BUSY_WEIGHT * busy / slots)


@attrs.define
class Views:
    """Views of all instances, and the mean size of the answers of each route."""

    instances: dict[str, InstanceView] = attrs.field(factory=dict)
    answer_bytes: dict[str, float] = attrs.field(factory=dict)

    def of(self, instance_id: str) -> InstanceView:
        """Returns the view of an instance."""
        view = self.instances.get(instance_id)
        if view is None:
            view = self.instances[instance_id] = InstanceView()
        return view

    def avoid(self, instance_id: str, reason: str, now_s: float) -> None:
        """Notes a failure or refusal."""
        view = self.of(instance_id)
        view.avoid_until_s = max(view.avoid_until_s, now_s + AVOID_S.get(reason, 0.0))

    def failed(self, instance_id: str, now_s: float) -> None:
        """Notes a request of unknown outcome."""
        view = self.of(instance_id)
        view.avoid_until_s = max(view.avoid_until_s, now_s + FAILURE_AVOID_S)

    def note_size(self, route: str, size: int) -> None:
        """Learns the size of a route's answers."""
        mean = self.answer_bytes.get(route)
        if mean is None:
            self.answer_bytes[route] = float(size)
        else:
            self.answer_bytes[route] = mean + (size - mean) * SIZE_WEIGHT

    def zone_cost(self, route: str) -> float:
        """Returns the cost of another zone as a part of the target time."""
        size = self.answer_bytes.get(route, 0.0)
        return min(MOST_ZONE_COST, max(LEAST_ZONE_COST, size / MOST_COST_BYTES * MOST_ZONE_COST))


def choose(
    candidates: Iterable[Instance],
    views: Views,
    zone: str,
    zone_cost_s: float,
    rng: Random,
    now_s: float,
) -> Instance | None:
    """Returns the instance that is expected to answer first.

    Args:
      candidates: Instances that may take the request.
      views: What is known of them.
      zone: Own availability zone.
      zone_cost_s: Cost of another zone.
      rng: Source of jitter.
      now_s: Present time.

    Returns:
      An instance, one that is to be avoided only when there is no other; None without candidates.
    """
    candidates = list(candidates)
    known = [v.load.service_ms for c in candidates if (v := views.of(c.instance_id)).load]
    usual_s = sum(known) / len(known) / 1000 if known else DEFAULT_SERVICE_S
    best, best_cost = None, (True, 0.0)
    for instance in candidates:
        view = views.of(instance.instance_id)
        cost_s = view.expected_s(instance.slots, usual_s or DEFAULT_SERVICE_S, now_s)
        if instance.zone != zone:
            cost_s += zone_cost_s
        cost = (now_s < view.avoid_until_s, cost_s * (1 + JITTER * rng.random()))
        if best is None or cost < best_cost:
            best, best_cost = instance, cost
    return best
