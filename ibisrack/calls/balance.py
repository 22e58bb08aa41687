"""Load balancing over the instances of a service: power of two choices, local zone first.

Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.

Observations of this node (calls in flight, answer times, failures and refusals) weigh more than
the load that instances report.  Reports lose weight with age: they arrive only with answers.
"""

from collections.abc import Sequence
from random import Random

import attrs

from ibisrack.calls.messages import LoadReport
from ibisrack.calls.outcomes import Reason
from ibisrack.membership.records import Liveness, MemberRecord

REPORT_DECAY_S = 2.0  # The weight of a load report falls to zero over this time.
SLOWNESS_DECAY_S = 10.0  # After this time without answers a slow instance counts as average.
SLOWNESS_WEIGHT = 0.2  # Weight of the newest answer time in the moving average.
MAX_SLOWNESS = 16.0
FAILURE_SLOWNESS_FACTOR = 4.0  # A failure counts as an answer this many times slower.
SPILLOVER_PRESSURE = 1.0  # Other zones are considered when calls queue in the local zone.
LEAVING_PROPAGATION_S = 3.0  # Time in which the leaving flag of a member reaches this node.
DEFAULT_AVOIDANCE_S = 0.1

# How long an instance is avoided after it refused a call of this node, by reason.
AVOIDANCE_S = {
    Reason.UPSTREAM_UNREACHABLE: 2.0,
    Reason.DRAINING: LEAVING_PROPAGATION_S,
    Reason.NOT_SERVING: 1.0,
    Reason.NO_VERSION: 1.0,
    Reason.SHED: 0.5,
}

# Reasons that depend on the call and not on the instance.
CALL_SPECIFIC_REASONS = frozenset((Reason.DEADLINE, Reason.NO_ROUTE, Reason.KEY_TOO_OLD))


@attrs.define
class InstanceView:
    """Observed and reported load of one instance.

    Attributes:
      in_flight: Calls of this node that the instance has not answered.
      other_calls: Calls of other nodes at the instance, from the last report.
      slots: Slots of the instance, from the last report.
      reported_at_s: Time of the last report.
      slowness: Moving average of answer times, relative to the mean of the same service and rank.
      slowness_at_s: Time of the last change of the slowness.
      avoid_until_s: Time until which other instances are preferred.
    """

    in_flight: int = 0
    other_calls: int = 0
    slots: int = 1
    reported_at_s: float = 0.0
    slowness: float = 1.0
    slowness_at_s: float = 0.0
    avoid_until_s: float = 0.0

    def pressure(self, now_s: float) -> float:
        """Returns the expected number of calls per slot."""
        age_s = now_s - self.reported_at_s
        weight = max(0.0, 1.0 - age_s / REPORT_DECAY_S)
        return (self.in_flight + self.other_calls * weight) / self.slots

    def cost(self, now_s: float) -> float:
        """Returns the expected relative duration of one more call."""
        weight = max(0.0, 1.0 - (now_s - self.slowness_at_s) / SLOWNESS_DECAY_S)
        slowness = 1.0 + (self.slowness - 1.0) * weight
        return (self.pressure(now_s) + 1 / self.slots) * slowness

    def update_slowness(self, ratio: float, now_s: float) -> None:
        """Adds a relative answer time to the moving average."""
        ratio = min(MAX_SLOWNESS, ratio)
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT
        self.slowness_at_s = now_s


@attrs.define
class LoadView:
    """Load of the instances that this node sends calls to.

    Attributes:
      instances: View of each instance by node id.
      mean_answer_s: Moving average of the answer time by service and rank.
    """

    instances: dict[str, InstanceView] = attrs.field(factory=dict)
    mean_answer_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def instance(self, node_id: str) -> InstanceView:
        """Returns the view of an instance, a new one if there is none yet."""
        view = self.instances.get(node_id)
        if view is None:
            view = self.instances[node_id] = InstanceView()
        return view

    def record_sent(self, node_id: str) -> None:
        """Counts a call as in flight."""
        self.instance(node_id).in_flight += 1

    def record_end(self, node_id: str) -> None:
        """Counts a call as ended, whatever its result."""
        self.instance(node_id).in_flight -= 1

    def record_load(self, node_id: str, load: LoadReport, now_s: float) -> None:
        """Stores a load report that came with an answer.

        The answered call must still be counted as in flight.
        """
        view = self.instance(node_id)
        view.slots = max(1, load.slots)
        view.other_calls = max(0, load.busy + load.queued - view.in_flight)
        view.reported_at_s = now_s

    def record_answer(
        self, node_id: str, kind: tuple[str, str], took_s: float, now_s: float
    ) -> None:
        """Updates the mean answer time and the slowness of the instance.

        Args:
          node_id: Node id of the instance.
          kind: Service and rank of the call.
          took_s: Time from the choice of the instance to the answer.
          now_s: Current monotonic time.
        """
        mean_answer_s = self.mean_answer_s.get(kind, took_s)
        self.mean_answer_s[kind] = mean_answer_s + (took_s - mean_answer_s) * SLOWNESS_WEIGHT / 4
        view = self.instance(node_id)
        view.update_slowness(took_s / mean_answer_s if mean_answer_s > 0 else 1.0, now_s)
        view.avoid_until_s = 0.0

    def record_failure(self, node_id: str, now_s: float) -> None:
        """Raises the slowness of an instance after a failure or a call of unknown outcome."""
        view = self.instance(node_id)
        view.update_slowness(view.slowness * FAILURE_SLOWNESS_FACTOR, now_s)

    def record_refusal(self, node_id: str, reason: str, now_s: float) -> None:
        """Avoids an instance for a time that depends on the reason of its refusal.

        Refusals for a reason that depends on the call have no effect.
        """
        if reason not in CALL_SPECIFIC_REASONS:
            self.instance(node_id).avoid_until_s = now_s + AVOIDANCE_S.get(
                reason, DEFAULT_AVOIDANCE_S
            )

    def retain(self, node_ids: frozenset[str]) -> None:
        """Drops the views of other instances, except those with calls in flight."""
        kept = self.instances.items()
        self.instances = {n: view for n, view in kept if n in node_ids or view.in_flight}


def eligible_instances(
    instances: Sequence[MemberRecord], view: LoadView, tried: frozenset[str], now_s: float
) -> list[MemberRecord]:
    """Returns the instances that may receive a call.

    Avoided instances are returned only when all alive ones are avoided, and suspected instances
    only when none is alive: a short fault of the last instance is no reason to refuse calls.
    """
    available = [
        m
        for m in instances
        if not m.leaving and m.liveness is not Liveness.DEAD and m.node_id not in tried
    ]
    alive = [m for m in available if m.liveness is Liveness.ALIVE]
    preferred = [m for m in alive if view.instance(m.node_id).avoid_until_s <= now_s]
    return preferred or alive or available


def choose_instance(
    candidates: Sequence[MemberRecord], own_zone: str, view: LoadView, rng: Random, now_s: float
) -> MemberRecord | None:
    """Chooses the cheaper of two random candidates, from the local zone while it has free slots.

    Args:
      candidates: Instances that may receive the call.
      own_zone: Zone of this node.
      view: Load of the instances.
      rng: Source of random numbers.
      now_s: Current monotonic time.

    Returns:
      The instance, None without candidates.
    """
    in_zone = [m for m in candidates if m.zone == own_zone]
    local = _cheaper_of_two(in_zone, view, rng, now_s)
    if local is not None and view.instance(local.node_id).pressure(now_s) < SPILLOVER_PRESSURE:
        return local
    remote = _cheaper_of_two([m for m in candidates if m.zone != own_zone], view, rng, now_s)
    if local is None or remote is None:
        return local or remote
    return min(local, remote, key=lambda member: view.instance(member.node_id).cost(now_s))


def _cheaper_of_two(
    pool: Sequence[MemberRecord], view: LoadView, rng: Random, now_s: float
) -> MemberRecord | None:
    if len(pool) < 2:
        return pool[0] if pool else None
    first, second = rng.sample(pool, 2)
    if view.instance(second.node_id).cost(now_s) < view.instance(first.node_id).cost(now_s):
        return second
    return first
