"""Selects the instance for a request by expected response time and availability zone.

The node beside each instance reports its load with every answer.  Requests that this node has sent
since the last report are added, so that it does not send a burst to the same instance.

A node hears only once in a second of an instance that it rarely uses, and all nodes of a large
fleet hear the same.  If each chose the best of all instances, all would send to the same one until
its next report.  A node therefore chooses among a few random instances.  Source: Mitzenmacher,
"How Useful Is Old Information?", 2000.  Only of the instance on its own host does it always know
the load, so that one is compared too.
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b
from random import Random

import attrs

from ibisrack.calls.outcomes import Reason
from ibisrack.calls.pace import MIN_RATE_PER_S
from ibisrack.dispatch.transfer import NO_TRANSFER, LinkWait, Transfer, answer_transfer_s
from ibisrack.instances.model import Instance
from ibisrack.links.messages import Load

DEFAULT_SERVICE_TIME_S = 0.1  # Assumed until an instance has reported its service time.
COLD_START_FACTOR = 2.0  # Slowdown that is assumed for a recently started instance.
# Part of a service time added for an instance whose slots are all busy, before requests queue.
OCCUPANCY_WEIGHT = 0.3
# Weight of a reported service time against the mean of the compared instances, in log units.  A
# report is often a second old, and slow spells are shorter: the difference has partly passed.
REPORT_WEIGHT = 0.7
COST_JITTER = 0.05  # Random part of a cost, so that nodes with the same view choose differently.
# Instances compared in the own zone, and in the other zones together.  With two, no instance gets
# more than about twice its share, however old the reports are; with one, the load does not matter.
COMPARED_INSTANCES = 2
# Weight of the newest answer in the moving average of a route's answer sizes.
ANSWER_SIZE_WEIGHT = 0.1

# Cost of another zone, relative to the route's target time.  Traffic between zones is paid by the
# byte, so a large answer comes from the local zone even if it takes longer, but not if the links of
# that zone would deliver it late (dispatch/transfer.py).
MIN_ZONE_COST_RATIO = 0.08
MAX_ZONE_COST_RATIO = 1.5
MAX_ZONE_COST_BYTES = 120_000  # Answers of this size or more incur the maximum cost.

AVOID_AFTER_FAILURE_S = 1.0
AVOID_AFTER_REFUSAL_S = {
    Reason.UPSTREAM_UNREACHABLE: 0.7,
    Reason.DRAINING: 0.5,
    Reason.EVACUATED: 0.5,
    Reason.NO_INSTANCE: 0.5,
    Reason.SHED: 0.1,
}


def slot_wait_s(service_s: float, ahead: int, slots: int) -> float:
    """Returns how long a request waits for a slot behind running and waiting requests.

    Args:
      service_s: Mean service time of the instance.
      ahead: Requests that run or start before it.
      slots: Slots of the instance, at least 1.
    """
    return service_s * max(0, ahead + 1 - slots) / slots


def _start_wait_s(ahead: int, free_starts: int, rate_per_s: float, age_s: float) -> float:
    """Returns how long a limit on starts delays a request, by a report of an age."""
    rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    allowed = free_starts + age_s * rate_per_s
    return max(0.0, ahead + 1 - allowed) / rate_per_s


def current_service_s(reported_s: float, peers_s: float) -> float:
    """Returns the service time to expect of an instance, given its report and that of its peers."""
    return peers_s * (reported_s / peers_s) ** REPORT_WEIGHT


@attrs.define
class InstanceView:
    """Runtime state of an instance as this node sees it; the registry does not hold it.

    Attributes:
      load: Last load report from the instance's node.
      in_flight: Unanswered requests from this node.
      sent_since_report: Requests that this node sent after the last report.
      sent_bytes_since_report: Expected size of the answers to these requests.
      reported_at_s: Monotonic time of the last report.
      avoid_until_s: Monotonic time until which other instances are preferred.
      cold_until_s: Monotonic time until which it is expected to be slow after its start.
    """

    load: Load | None = None
    in_flight: int = 0
    sent_since_report: int = 0
    reported_at_s: float = 0.0
    avoid_until_s: float = 0.0
    cold_until_s: float = 0.0
    sent_bytes_since_report: float = 0.0

    def record_sent(self, answer_bytes: float) -> None:
        """Counts a request that this node sends now, whose answer has an expected size."""
        self.sent_since_report += 1
        self.sent_bytes_since_report += answer_bytes

    def update_load(self, load: Load, now_s: float) -> None:
        """Replaces the load by a newer report."""
        if load is not self.load:
            self.load, self.sent_since_report, self.reported_at_s = load, 0, now_s
            self.sent_bytes_since_report = 0.0

    def expected_response_s(self, slots: int, mean_service_s: float, now_s: float) -> float:
        """Returns the expected response time of a request sent now.

        Args:
          slots: Slots of the instance that the registry lists.
          mean_service_s: Mean of the service times that the compared instances report.
          now_s: Current time.
        """
        service_s, busy = mean_service_s, self.in_flight
        if self.load is not None:
            slots = self.load.slots or slots
            busy = self.load.busy + self.load.queued + self.sent_since_report
            if self.load.service_ms:
                service_s = current_service_s(self.load.service_ms / 1000, mean_service_s)
        if now_s < self.cold_until_s:
            service_s *= COLD_START_FACTOR
        slots = max(1, slots)
        wait_s = slot_wait_s(service_s, busy, slots)
        if self.load is not None:
            ahead = self.load.queued + self.sent_since_report
            wait_s = max(wait_s, self.paced_wait_s(ahead, now_s))
        return service_s * (1 + OCCUPANCY_WEIGHT * busy / slots) + wait_s

    def arrival_s(self, transfer: Transfer, response_s: float, now_s: float) -> float:
        """Returns when an answer that has an expected response time arrives over the link."""
        return transfer.arrival_s(self.load, self.link_wait(now_s).backlog_s, response_s)

    def link_wait(self, now_s: float) -> LinkWait:
        """Returns the backlog of the link now, with the answers requested since the report."""
        age_s = now_s - self.reported_at_s
        reported_s = self.load.link_backlog_ms / 1000 if self.load else 0.0
        sent_s = answer_transfer_s(self.load, self.sent_bytes_since_report)
        return LinkWait(max(0.0, reported_s - age_s) + sent_s, age_s)

    def paced_wait_s(self, ahead: int, now_s: float) -> float:
        """Returns how long the limits on starts delay a request at an instance that has reported.

        These are the limit that the instance names and the bound while it is cold.

        Args:
          ahead: Requests that start before it.
          now_s: Current time.
        """
        load, age_s, wait_s = self.load, now_s - self.reported_at_s, 0.0
        if load.limit_per_s is not None:
            wait_s = _start_wait_s(ahead, load.free_starts, load.limit_per_s, age_s)
        if load.paced_per_s is not None:
            cold_s = _start_wait_s(ahead, load.cold_free_starts, load.paced_per_s, age_s)
            wait_s = max(wait_s, cold_s)
        return wait_s


@attrs.define
class InstanceViews:
    """Runtime state of all instances, and the answer sizes of all routes.

    Attributes:
      instances: View of each instance by its id.
      answer_bytes: Moving average of the size of answers by route name.
      own_host: IP number of this host.
    """

    instances: dict[str, InstanceView] = attrs.field(factory=dict)
    answer_bytes: dict[str, float] = attrs.field(factory=dict)
    own_host: str = ""

    def of(self, instance_id: str) -> InstanceView:
        """Returns the view of an instance, which is created if it does not exist."""
        view = self.instances.get(instance_id)
        if view is None:
            view = self.instances[instance_id] = InstanceView()
        return view

    def record_refusal(self, instance_id: str, reason: str, now_s: float) -> None:
        """Avoids an instance for a time that depends on the reason of its refusal."""
        view = self.of(instance_id)
        view.avoid_until_s = max(view.avoid_until_s, now_s + AVOID_AFTER_REFUSAL_S.get(reason, 0.0))

    def record_failure(self, instance_id: str, now_s: float) -> None:
        """Avoids an instance after a request of unknown outcome."""
        view = self.of(instance_id)
        view.avoid_until_s = max(view.avoid_until_s, now_s + AVOID_AFTER_FAILURE_S)

    def record_answer_size(self, route: str, size: int) -> None:
        """Adds an answer to the moving average of its route."""
        mean = self.answer_bytes.get(route)
        if mean is None:
            self.answer_bytes[route] = float(size)
        else:
            self.answer_bytes[route] = mean + (size - mean) * ANSWER_SIZE_WEIGHT

    def zone_cost_ratio(self, route: str) -> float:
        """Returns the cost of another zone, relative to the target time of a route."""
        size = self.answer_bytes.get(route, 0.0)
        return min(
            MAX_ZONE_COST_RATIO,
            max(MIN_ZONE_COST_RATIO, size / MAX_ZONE_COST_BYTES * MAX_ZONE_COST_RATIO),
        )


def choose_instance(
    candidates: Iterable[Instance],
    views: InstanceViews,
    zone: str,
    cross_zone_cost_s: float,
    rng: Random,
    now_s: float,
    transfer: Transfer = NO_TRANSFER,
) -> Instance | None:
    """Returns the instance with the lowest expected cost among a few random ones.

    Args:
      candidates: Instances that may take the request.
      views: Views of the instances.
      zone: Availability zone of this node.
      cross_zone_cost_s: Cost added to instances in other zones.
      rng: Source of jitter.
      now_s: Current time.
      transfer: The bodies that go over the links of the hosts.

    Returns:
      The selected instance, or None without candidates.  An instance that is to be avoided is
      selected only if all others are to be avoided too.
    """
    preferred, avoided = [], []
    for candidate in candidates:
        is_avoided = now_s < views.of(candidate.instance_id).avoid_until_s
        (avoided if is_avoided else preferred).append(candidate)
    available = preferred or avoided
    compared = _draw_instances([c for c in available if c.host != views.own_host], zone, rng)
    compared += [c for c in available if c.host == views.own_host]
    loads = [load for c in compared if (load := views.of(c.instance_id).load) is not None]
    reported_ms = [load.service_ms for load in loads if load.service_ms]
    mean_service_s = (
        sum(reported_ms) / len(reported_ms) / 1000 if reported_ms else DEFAULT_SERVICE_TIME_S
    )
    is_large = any(transfer.is_large_for(load) for load in loads)
    best, best_cost = None, 0.0
    for instance in compared:
        view = views.of(instance.instance_id)
        cost_s = view.expected_response_s(instance.slots, mean_service_s, now_s)
        if instance.host != views.own_host:
            cost_s = view.arrival_s(transfer, cost_s, now_s)
        if is_large:
            cost_s += transfer.lateness_cost_s(cost_s)
        if instance.zone != zone:
            cost_s += cross_zone_cost_s
        cost_s *= 1 + COST_JITTER * rng.random()
        if best is None or cost_s < best_cost:
            best, best_cost = instance, cost_s
    return best


def _draw_instances(candidates: Sequence[Instance], zone: str, rng: Random) -> list[Instance]:
    """Returns random instances of the own zone and of the others, as many of each."""
    own = [c for c in candidates if c.zone == zone]
    other = [c for c in candidates if c.zone != zone]
    return [
        drawn
        for group in (own, other)
        for drawn in rng.sample(group, min(COMPARED_INSTANCES, len(group)))
    ]


def choose_home(
    candidates: Iterable[Instance], views: InstanceViews, fingerprint: bytes, now_s: float
) -> Instance | None:
    """Returns the instance that runs a suspect, the same one for all nodes with the same view.

    Args:
      candidates: Instances that may take the request.
      views: Views of the instances.
      fingerprint: Fingerprint of the request.
      now_s: Current time.

    Returns:
      The selected instance, or None without candidates.  An instance that is to be avoided is
      selected only if all others are to be avoided too.
    """
    return min(
        candidates,
        key=lambda candidate: (
            now_s < views.of(candidate.instance_id).avoid_until_s,
            blake2b(fingerprint + candidate.instance_id.encode()).digest(),
        ),
        default=None,
    )
