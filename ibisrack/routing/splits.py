"""Chooses the service of a request among the parts of its route, in proportion to their weights.

Smooth weighted round robin: the shares hold over any short run of requests, so that the sum over
all nodes keeps them too.
"""

import attrs

from ibisrack.routing.model import Part, Route

MAX_ROUTES = 4096  # Routes whose state is kept; a table this large is cleared.


@attrs.define
class Splitter:
    """State of the choice for each route.

    Attributes:
      credit: Credit of each part by route name.
    """

    credit: dict[tuple[str, tuple[Part, ...]], list[int]] = attrs.field(factory=dict)

    def service(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        key = (route.name, parts)
        credit = self.credit.get(key)
        if credit is None:
            if len(self.credit) >= MAX_ROUTES:
                self.credit.clear()
            credit = self.credit[key] = [0] * len(parts)
        for index, part in enumerate(parts):
            credit[index] += part.weight
        chosen = max(range(len(parts)), key=credit.__getitem__)
        credit[chosen] -= sum(part.weight for part in parts)
        return parts[chosen].service
