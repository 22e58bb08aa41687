"""Choice of the instance for a call: power of two choices, the own zone first.

Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.

What this node saw itself counts more than what an instance reports: its own calls in flight, the
answer times, failures and refusals.  Reports age, because they arrive only with answers.
"""

from collections.abc import Sequence
from random import Random

import attrs

from ibisrack.calls.messages import LoadReport
from ibisrack.calls.outcomes import Reason
from ibisrack.membership.records import Liveness, MemberRecord

REPORT_LIFE_S = 2.0  # A report's weight falls to zero over this time.
SLOWNESS_LIFE_S = 10.0  # A slow instance is tried again as if it were average after this time.
SLOWNESS_WEIGHT = 0.2  # Weight of the newest answer time.
MAX_SLOWNESS = 16.0
FAILURE_SLOWNESS = 4.0  # A failed call counts as an answer that took this much longer.
SPILL_PRESSURE = 1.0  # Other zones are considered when calls wait in the own zone.
LEAVING_S = 3.0  # The leaving record arrives within this time.
DEFAULT_AVOID_S = 0.1

# How long an instance is avoided after a refusal that this node saw itself.
AVOID_S = {
    Reason.UPSTREAM_UNREACHABLE: 2.0,
    Reason.DRAINING: LEAVING_S,
    Reason.NOT_SERVING: 1.0,
    Reason.NO_VERSION: 1.0,
    Reason.SHED: 0.5,
}

# These say something about the call, not about the instance.
NEUTRAL_REASONS = frozenset((Reason.DEADLINE, Reason.NO_ROUTE, Reason.KEY_TOO_OLD))


@attrs.define
class InstanceView:
    """What this node knows of one instance.

    Attributes:
      in_flight: Calls of this node that the instance has not answered.
      others: Calls of other nodes there, by the last report.
      slots: Slots by the last report.
      reported_at_s: Time of the last report.
      slowness: Answer time in units of what calls of the same rank take elsewhere.
      timed_at_s: Time of the last change of the slowness.
      avoid_until_s: Time until which other instances are preferred.
    """

    in_flight: int = 0
    others: int = 0
    slots: int = 1
    reported_at_s: float = 0.0
    slowness: float = 1.0
    timed_at_s: float = 0.0
    avoid_until_s: float = 0.0

    def pressure(self, now_s: float) -> float:
        """Returns the expected calls for each slot."""
        age_s = now_s - self.reported_at_s
        weight = max(0.0, 1.0 - age_s / REPORT_LIFE_S)
        return (self.in_flight + self.others * weight) / self.slots

    def cost(self, now_s: float) -> float:
        """Returns the relative time that one more call is expected to take."""
        fading = max(0.0, 1.0 - (now_s - self.timed_at_s) / SLOWNESS_LIFE_S)
        slowness = 1.0 + (self.slowness - 1.0) * fading
        return (self.pressure(now_s) + 1 / self.slots) * slowness

    def slow_by(self, ratio: float, now_s: float) -> None:
        """Learns from one answer time."""
        ratio = min(MAX_SLOWNESS, ratio)
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT
        self.timed_at_s = now_s


@attrs.define
class LoadView:
    """What this node knows of the instances that it sends calls to.

    Attributes:
      instances: View by node id.
      typical_s: Usual answer time by service and rank.
    """

    instances: dict[str, InstanceView] = attrs.field(factory=dict)
    typical_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def of(self, node_id: str) -> InstanceView:
        """Returns the view of an instance."""
        view = self.instances.get(node_id)
        if view is None:
            view = self.instances[node_id] = InstanceView()
        return view

    def sent(self, node_id: str) -> None:
        """Notes a call that is sent to an instance."""
        self.of(node_id).in_flight += 1

    def ended(self, node_id: str) -> None:
        """Notes the end of a call, however it ended."""
        self.of(node_id).in_flight -= 1

    def report(self, node_id: str, load: LoadReport, now_s: float) -> None:
        """Keeps a report that came with an answer; the call it came with still counts."""
        view = self.of(node_id)
        view.slots = max(1, load.slots)
        view.others = max(0, load.busy + load.queued - view.in_flight)
        view.reported_at_s = now_s

    def answered(self, node_id: str, kind: tuple[str, str], took_s: float, now_s: float) -> None:
        """Learns from the answer time of a call.

        Args:
          node_id: The instance.
          kind: Service and rank of the call.
          took_s: Time from the choice to the answer.
          now_s: Present time.
        """
        typical_s = self.typical_s.get(kind, took_s)
        self.typical_s[kind] = typical_s + (took_s - typical_s) * SLOWNESS_WEIGHT / 4
        view = self.of(node_id)
        view.slow_by(took_s / typical_s if typical_s > 0 else 1.0, now_s)
        view.avoid_until_s = 0.0

    def failed(self, node_id: str, now_s: float) -> None:
        """Notes a call whose outcome is unknown."""
        view = self.of(node_id)
        view.slow_by(view.slowness * FAILURE_SLOWNESS, now_s)

    def refused(self, node_id: str, reason: str, now_s: float) -> None:
        """Notes a refusal."""
        if reason not in NEUTRAL_REASONS:
            self.of(node_id).avoid_until_s = now_s + AVOID_S.get(reason, DEFAULT_AVOID_S)

    def forget_except(self, node_ids: frozenset[str]) -> None:
        """Drops views of hosts that are no longer listed and answer nothing."""
        kept = self.instances.items()
        self.instances = {n: view for n, view in kept if n in node_ids or view.in_flight}


def eligible(
    instances: Sequence[MemberRecord], view: LoadView, tried: frozenset[str], now_s: float
) -> list[MemberRecord]:
    """Returns the instances that may take new work, those that are not avoided first.

    Suspected and avoided instances are used only when no other is left: a short fault of the
    last instance is no reason to refuse calls.
    """
    open_to_work = [
        m
        for m in instances
        if not m.leaving and m.liveness is not Liveness.DEAD and m.node_id not in tried
    ]
    alive = [m for m in open_to_work if m.liveness is Liveness.ALIVE]
    preferred = [m for m in alive if view.of(m.node_id).avoid_until_s <= now_s]
    return preferred or alive or open_to_work


def choose(
    candidates: Sequence[MemberRecord], own_zone: str, view: LoadView, rng: Random, now_s: float
) -> MemberRecord | None:
    """Chooses the cheaper of two random candidates, of the own zone if it has room.

    Args:
      candidates: Instances that may take new work.
      own_zone: Zone of this node.
      view: Known loads.
      rng: Source of the choice.
      now_s: Present time.
    """
    near = [m for m in candidates if m.zone == own_zone]
    best = _cheaper_of_two(near, view, rng, now_s)
    if best is not None and view.of(best.node_id).pressure(now_s) < SPILL_PRESSURE:
        return best
    far = _cheaper_of_two([m for m in candidates if m.zone != own_zone], view, rng, now_s)
    if best is None or far is None:
        return best or far
    return min(best, far, key=lambda member: view.of(member.node_id).cost(now_s))


def _cheaper_of_two(
    pool: Sequence[MemberRecord], view: LoadView, rng: Random, now_s: float
) -> MemberRecord | None:
    if len(pool) < 2:
        return pool[0] if pool else None
    first, second = rng.sample(pool, 2)
    if view.of(second.node_id).cost(now_s) < view.of(first.node_id).cost(now_s):
        return second
    return first
