"""Rule classes, one for each keyword of the rules file.

The attrs fields of a rule class define the positional words and key=value options of its keyword,
so the grammar needs no code of its own for each keyword.  To add a keyword, add a class here, list
it in KEYWORDS and register it with add_rule of ibisrack.rules.ruleset and with the singledispatch
functions of ibisrack.rules.diff and ibisrack.ctl.files.
"""

from typing import Any, ClassVar

import attrs

POSITIONAL = "positional"


def positional() -> Any:
    """Declares a field that is given as a positional word instead of a key=value option."""
    return attrs.field(metadata={POSITIONAL: True})


@attrs.frozen(kw_only=True)
class Rule:
    """Base class of all rules.

    Attributes:
      line: Line number, from 1.
      requester: Person who asked for the rule.
      reason: Reason that the requester gave.
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
      slots: Maximum number of calls that an instance runs concurrently.
      connections: Maximum number of connections that an instance accepts.
    """

    KEYWORD: ClassVar[str] = "service"

    service: str = positional()
    slots: int = 8
    connections: int = 100


@attrs.frozen(kw_only=True)
class RankRule(Rule):
    """Declares a rank, a priority class of the calls to a service.

    Attributes:
      service: Service that the rank belongs to.
      rank: Name of the rank.
      order: Priority; the rank with the lowest order is served first.
      share_percent: Share of slot time guaranteed to the rank while it has calls waiting.
      max_slots: Maximum number of slots that the rank may use at an instance, or 0 for all.
      max_queue: Maximum number of calls of the rank that may wait at an instance.
    """

    KEYWORD: ClassVar[str] = "rank"

    service: str = positional()
    rank: str = positional()
    order: int
    share_percent: int
    max_slots: int = 0
    max_queue: int = 200


@attrs.frozen(kw_only=True)
class RouteRule(Rule):
    """Routes matching requests to a service and assigns them a rank.

    Attributes:
      method: HTTP method, or * for any.
      match: Host and path prefix that callers request, in the form HOST/PATH.
      to: Service that the requests are sent to.
      rank: Rank of the calls.
      deadline_ms: Maximum duration of a call in milliseconds, including all attempts.
      idempotent: Whether running a call more than once is harmless.
      tries: Maximum number of attempts for a call, including the first.
    """

    KEYWORD: ClassVar[str] = "route"

    method: str = positional()
    match: str = positional()
    to: str
    rank: str
    deadline_ms: int
    idempotent: bool
    tries: int = 2

    @property
    def host(self) -> str:
        """Host that the route matches."""
        return self.match.partition("/")[0]

    @property
    def path_prefix(self) -> str:
        """Path prefix that the route matches, with its leading slash."""
        return "/" + self.match.partition("/")[2]


KEYWORDS: dict[str, type[Rule]] = {cls.KEYWORD: cls for cls in (ServiceRule, RankRule, RouteRule)}
