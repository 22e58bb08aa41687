"""Tells which rule a request meets, who asked for it and why."""

import attrs

from ibisrack.calls.match import match
from ibisrack.rules.model import RankRule, RouteRule, ServiceRule
from ibisrack.rules.ruleset import RuleSet


@attrs.frozen
class Explanation:
    """The rules that apply to a request.

    Attributes:
      method: HTTP method of the request.
      host: Host header of the request.
      path: Path of the request.
      route: The route that applies, None when the request would be refused with 404.
      rank: The rank of the calls of the route.
      service: The service that serves the route.
      passed_over: Routes of the host that match the path with a shorter prefix or another method.
      known_hosts: Hosts that have routes, when the request's host has none.
    """

    method: str
    host: str
    path: str
    route: RouteRule | None
    rank: RankRule | None
    service: ServiceRule | None
    passed_over: tuple[RouteRule, ...]
    known_hosts: tuple[str, ...]


def explain(rules: RuleSet, method: str, host: str, path: str) -> Explanation:
    """Explains what a request meets in a rule set.

    Args:
      rules: The rule set.
      method: HTTP method.
      host: Host header without its port.
      path: Path without its query.
    """
    route = match(rules, method, host, path)
    service = rules.services[route.to] if route else None
    rank = next((r for r in service.ranks if r.rank == route.rank), None) if service else None
    routes = rules.routes.get(host, ())
    return Explanation(
        method=method,
        host=host,
        path=path,
        route=route,
        rank=rank,
        service=service.rule if service else None,
        passed_over=tuple(r for r in routes if r is not route and _covers(r, path)),
        known_hosts=() if host in rules.routes else tuple(sorted(rules.routes)),
    )


def _covers(route: RouteRule, path: str) -> bool:
    prefix = route.path_prefix.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")
