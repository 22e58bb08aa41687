"""Matching of requests to the routes of a rule set."""

from ibisrack.rules.model import RouteRule
from ibisrack.rules.ruleset import RuleSet


def match(rules: RuleSet, method: str, host: str, path: str) -> RouteRule | None:
    """Returns the route with the longest matching path prefix, or None.

    A prefix matches whole path segments: ``/notices`` matches ``/notices/7``, not ``/noticesx``.

    Args:
      rules: The rules in force.
      method: HTTP method.
      host: Host header without its port.
      path: Path without its query.
    """
    for route in rules.routes.get(host, ()):
        if route.method not in ("*", method):
            continue
        prefix = route.path_prefix.rstrip("/")
        if path == prefix or path.startswith(prefix + "/"):
            return route
    return None
