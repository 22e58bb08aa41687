"""Selects the service of a request among the parts of its route, in proportion to their weights.

Uses smooth weighted round robin: the shares hold over every short sequence of requests on a node,
and therefore also for the sum over all nodes.
"""

import math

import attrs

from ibisrack.routing.model import Route, RoutePart

MAX_TRACKED_ROUTES = 4096  # The table is cleared when it reaches this size.
# Bound on the requests left out at the start: weights in percent repeat after at most 100.
MAX_SKIPPED = 128


@attrs.define
class Splitter:
    """Weighted round robin over the parts of each route.

    Attributes:
      phase: Part of the sequence of services that is left out at its start, at least 0 and below 1.
        Nodes have random phases: if all started with the heaviest part, the other parts of a split
        would get too little from many nodes with few requests each.
      credits: Current credit of each part, by route name and parts.
    """

    phase: float = 0.0
    credits: dict[tuple[str, tuple[RoutePart, ...]], list[int]] = attrs.field(factory=dict)

    def next_service(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        key = (route.name, parts)
        credits = self.credits.get(key)
        if credits is None:
            if len(self.credits) >= MAX_TRACKED_ROUTES:
                self.credits.clear()
            credits = self.credits[key] = [0] * len(parts)
            for _ in range(int(self.phase * _sequence_length(parts))):
                _advance(credits, parts)
        return parts[_advance(credits, parts)].service


def _sequence_length(parts: tuple[RoutePart, ...]) -> int:
    """Returns after how many requests the sequence repeats, at most MAX_SKIPPED."""
    weights = [part.weight for part in parts]
    return min(MAX_SKIPPED, sum(weights) // max(1, math.gcd(*weights)))


def _advance(credits: list[int], parts: tuple[RoutePart, ...]) -> int:
    """Returns the index of the part for the next request."""
    for index, part in enumerate(parts):
        credits[index] += part.weight
    chosen = max(range(len(parts)), key=credits.__getitem__)
    credits[chosen] -= sum(part.weight for part in parts)
    return chosen
