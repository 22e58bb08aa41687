"""Finds the rules that apply to a request, with their requesters and reasons."""

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
      route: The route that applies, or None if the request would be refused with 404.
      rank: The rank that the route assigns.
      service: The service that the route sends the request to.
      passed_over: Other routes of the host that match the path, not chosen because of a shorter
        prefix or another method.
      known_hosts: Hosts that have routes if the request's host has none, otherwise empty.
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
    """Returns the rules of a rule set that apply to a request.

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
        passed_over=tuple(r for r in routes if r is not route and _matches_path(r, path)),
        known_hosts=() if host in rules.routes else tuple(sorted(rules.routes)),
    )


def _matches_path(route: RouteRule, path: str) -> bool:
    prefix = route.path_prefix.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")
