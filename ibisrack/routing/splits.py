"""Selects the service of a request among the parts of its route, in proportion to their weights.

Uses smooth weighted round robin: the shares hold over every short sequence of requests on a node,
and therefore also for the sum over all nodes.
"""

import attrs

from ibisrack.routing.model import Route, RoutePart

MAX_TRACKED_ROUTES = 4096  # The table is cleared when it reaches this size.


@attrs.define
class Splitter:
    """Weighted round robin over the parts of each route.

    Attributes:
      credits: Current credit of each part, by route name and parts.
    """

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
        for index, part in enumerate(parts):
            credits[index] += part.weight
        chosen = max(range(len(parts)), key=credits.__getitem__)
        credits[chosen] -= sum(part.weight for part in parts)
        return parts[chosen].service
