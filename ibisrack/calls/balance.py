"""Choice of the instance for a call: power of two choices, the own zone first.

Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
"""

from collections.abc import Sequence
from random import Random

import attrs

from ibisrack.calls.messages import LoadReport
from ibisrack.membership.records import Liveness, MemberRecord

LOCAL_FAILURE_S = 2.0  # An instance that this node could not reach is avoided for this long.


@attrs.define
class LoadView:
    """What this node knows of the load and reachability of instances.

    Attributes:
      reports: Last load report by node id.
      avoid_until_s: Monotonic time until which an instance is avoided.
    """

    reports: dict[str, LoadReport] = attrs.field(factory=dict)
    avoid_until_s: dict[str, float] = attrs.field(factory=dict)

    def report(self, node_id: str, load: LoadReport) -> None:
        """Keeps a report that came with an answer."""
        self.reports[node_id] = load
        self.avoid_until_s.pop(node_id, None)

    def unreachable(self, node_id: str, now_s: float) -> None:
        """Notes that this node could not reach an instance."""
        self.avoid_until_s[node_id] = now_s + LOCAL_FAILURE_S

    def pressure(self, node_id: str) -> float:
        """Returns the last known pressure of an instance, 0 when unknown."""
        report = self.reports.get(node_id)
        return report.pressure if report else 0.0


def eligible(
    instances: Sequence[MemberRecord], view: LoadView, tried: frozenset[str], now_s: float
) -> list[MemberRecord]:
    """Returns the instances that may take new work."""
    return [
        m
        for m in instances
        if m.liveness is Liveness.ALIVE
        and not m.leaving
        and m.node_id not in tried
        and view.avoid_until_s.get(m.node_id, 0.0) <= now_s
    ]


def choose(
    candidates: Sequence[MemberRecord], own_zone: str, view: LoadView, rng: Random
) -> MemberRecord | None:
    """Chooses the less loaded of two random candidates, of the own zone if it has room.

    Args:
      candidates: Instances that may take new work.
      own_zone: Zone of this node.
      view: Known loads.
      rng: Source of the choice.
    """
    near = [m for m in candidates if m.zone == own_zone and view.pressure(m.node_id) < 1.0]
    pool = near or candidates
    if not pool:
        return None
    pair = rng.sample(pool, min(2, len(pool)))
    return min(pair, key=lambda member: view.pressure(member.node_id))
