"""Finds the route of a request: the longest matching prefix among the routes of its host."""

import attrs

from ibisrack.routing.model import Configuration, Route


@attrs.frozen
class RouteTable:
    """Routes by host and prefix.

    Attributes:
      by_host: Routes by host name and prefix.
    """

    by_host: dict[str, dict[str, Route]]

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None if no route matches.

        Prefixes end with a slash, so only the prefixes of the path up to each slash are looked up.

        Args:
          host: Value of the Host header, with or without a port.
          path: Path of the request without its query, unchanged.
        """
        prefixes = self.by_host.get(host)
        if prefixes is None:
            prefixes = self.by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def build_table(configuration: Configuration) -> RouteTable:
    """Builds the route table of a configuration."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return RouteTable(by_host)


def priorities_by_service(configuration: Configuration) -> dict[str, frozenset[int]]:
    """Returns the priorities of the routes that use each service, by its name."""
    priorities: dict[str, set[int]] = {}
    for route in configuration.routes:
        for part in route.parts:
            priorities.setdefault(part.service, set()).add(route.priority)
    return {service: frozenset(values) for service, values in priorities.items()}
