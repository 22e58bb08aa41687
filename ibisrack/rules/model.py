"""Rule classes, one for each keyword of the rules file.

A rule's positional words and its key=value options are the attrs fields of its class, so that the
grammar follows from the classes: to add a keyword, add a class here, list it in KEYWORDS and
register it with ibisrack.rules.ruleset.add_rule.
"""

from typing import Any, ClassVar

import attrs

POSITIONAL = "positional"


def word() -> Any:
    """Declares a positional field."""
    return attrs.field(metadata={POSITIONAL: True})


@attrs.frozen(kw_only=True)
class Rule:
    """Fields of every rule.

    Attributes:
      line: Line number in the file, from 1.
      requester: Person who asked for the rule.
      reason: Why the person asked for it.
    """

    KEYWORD: ClassVar[str] = ""

    line: int
    requester: str
    reason: str


@attrs.frozen(kw_only=True)
class ServiceRule(Rule):
    """Declares a service and the capacity of each of its instances.

    Attributes:
      service: Name of the service.
      slots: Calls that an instance runs at the same time.
      connections: Connections that an instance accepts.
    """

    KEYWORD: ClassVar[str] = "service"

    service: str = word()
    slots: int = 8
    connections: int = 100


@attrs.frozen(kw_only=True)
class RankRule(Rule):
    """Declares a rank of work at a service.

    Attributes:
      service: Service that the rank belongs to.
      rank: Name of the rank.
      order: Precedence; the lowest order is served first.
      share_percent: Guaranteed share of slot time while the rank has work waiting.
      max_slots: Slots of an instance that the rank may hold, or 0 for all.
      max_queue: Calls of the rank that may wait at an instance.
    """

    KEYWORD: ClassVar[str] = "rank"

    service: str = word()
    rank: str = word()
    order: int
    share_percent: int
    max_slots: int = 0
    max_queue: int = 200


@attrs.frozen(kw_only=True)
class RouteRule(Rule):
    """Sends requests to a service under a rank.

    Attributes:
      method: HTTP method, or * for all.
      match: Host and path prefix, HOST/PATH, as the caller addresses it.
      to: Service that serves the route.
      rank: Rank of the calls.
      deadline_ms: Longest time for the whole call.
      idempotent: Whether a call may run more than once without harm.
      tries: Attempts for one call, the first one included.
    """

    KEYWORD: ClassVar[str] = "route"

    method: str = word()
    match: str = word()
    to: str
    rank: str
    deadline_ms: int
    idempotent: bool
    tries: int = 2

    @property
    def host(self) -> str:
        """Host part of the match."""
        return self.match.partition("/")[0]

    @property
    def path_prefix(self) -> str:
        """Path part of the match, with its leading slash."""
        return "/" + self.match.partition("/")[2]


KEYWORDS: dict[str, type[Rule]] = {cls.KEYWORD: cls for cls in (ServiceRule, RankRule, RouteRule)}
