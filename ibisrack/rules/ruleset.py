"""Builds a checked rule set from rules.

The rule set is a pure function of the file's content: every node and ibisctl reach the same
verdict on the same bytes, whatever versions they saw before.
"""

from collections.abc import Iterable, Mapping
from functools import singledispatch

import attrs

from ibisrack.errors import Fault, RulesError
from ibisrack.rules.grammar import parse_lines
from ibisrack.rules.model import RankRule, RouteRule, Rule, ServiceRule

MAX_CONTENT_BYTES = 1_000_000  # The platform holds values of up to a megabyte.


@attrs.frozen
class Service:
    """A declared service with its ranks, ordered by precedence."""

    rule: ServiceRule
    ranks: tuple[RankRule, ...]


@attrs.frozen
class RuleSet:
    """All rules of one version, indexed for the path of a call.

    Attributes:
      services: Services by name.
      routes: Routes by host, longest path prefix first.
      rule_count: Number of rules.
    """

    services: Mapping[str, Service]
    routes: Mapping[str, tuple[RouteRule, ...]]
    rule_count: int


@attrs.define
class RuleSetDraft:
    """Rules gathered while a rule set is built."""

    file: str
    services: dict[str, ServiceRule] = attrs.field(factory=dict)
    ranks: dict[tuple[str, str], RankRule] = attrs.field(factory=dict)
    routes: dict[tuple[str, str], RouteRule] = attrs.field(factory=dict)
    faults: list[Fault] = attrs.field(factory=list)

    def fault(self, rule: Rule, message: str) -> None:
        """Records a problem of a rule."""
        self.faults.append(Fault(self.file, rule.line, f"{message} (asked by {rule.requester})"))


@singledispatch
def add_rule(rule: Rule, draft: RuleSetDraft) -> None:
    """Adds a rule to a draft, recording faults that show without the other rules."""
    raise TypeError(f"no add_rule for {type(rule).__name__}")


@add_rule.register
def _(rule: ServiceRule, draft: RuleSetDraft) -> None:
    if rule.service in draft.services:
        first = draft.services[rule.service].line
        draft.fault(rule, f"service {rule.service} is already declared in line {first}")
        return
    if rule.slots < 1 or rule.connections < rule.slots:
        draft.fault(rule, "slots must be at least 1 and at most connections")
    draft.services[rule.service] = rule


@add_rule.register
def _(rule: RankRule, draft: RuleSetDraft) -> None:
    key = (rule.service, rule.rank)
    if key in draft.ranks:
        draft.fault(rule, f"rank {rule.rank} is already declared in line {draft.ranks[key].line}")
        return
    if rule.share_percent > 100:
        draft.fault(rule, "share_percent must be at most 100")
    draft.ranks[key] = rule


@add_rule.register
def _(rule: RouteRule, draft: RuleSetDraft) -> None:
    key = (rule.method, rule.match)
    if key in draft.routes:
        draft.fault(rule, f"the route is already declared in line {draft.routes[key].line}")
        return
    if rule.deadline_ms < 1:
        draft.fault(rule, "deadline_ms must be at least 1")
    if not 1 <= rule.tries <= 5:
        draft.fault(rule, "tries must be from 1 to 5")
    draft.routes[key] = rule


@singledispatch
def resolve_rule(rule: Rule, draft: RuleSetDraft) -> None:
    """Records faults of a rule's references to other rules."""


@resolve_rule.register
def _(rule: RankRule, draft: RuleSetDraft) -> None:
    service = draft.services.get(rule.service)
    if service is None:
        draft.fault(rule, f"service {rule.service} is not declared")
    elif rule.max_slots > service.slots:
        draft.fault(rule, f"max_slots is more than the {service.slots} slots of the service")


@resolve_rule.register
def _(rule: RouteRule, draft: RuleSetDraft) -> None:
    if rule.to not in draft.services:
        draft.fault(rule, f"service {rule.to} is not declared")
    elif (rule.to, rule.rank) not in draft.ranks:
        draft.fault(rule, f"rank {rule.rank} is not declared for service {rule.to}")


def _check_ranks(service: ServiceRule, ranks: list[RankRule], draft: RuleSetDraft) -> None:
    if sum(rank.share_percent for rank in ranks) > 100:
        draft.fault(service, f"the shares of service {service.service} sum to more than 100")
    by_order: dict[int, RankRule] = {}
    for rank in ranks:
        if rank.order in by_order:
            draft.fault(rank, f"order {rank.order} is already used by {by_order[rank.order].rank}")
        by_order.setdefault(rank.order, rank)


def build(rules: Iterable[Rule], faults: Iterable[Fault] = (), file: str = "") -> RuleSet:
    """Builds the rule set of a version.

    Args:
      rules: The parsed rules with their line numbers in the file.
      faults: Faults found while parsing.
      file: File name for fault messages.

    Raises:
      RulesError: With every fault, ordered by line.
    """
    draft = RuleSetDraft(file)
    draft.faults += faults
    rules = tuple(rules)
    for rule in rules:
        add_rule(rule, draft)
    for rule in rules:
        resolve_rule(rule, draft)
    ranks: dict[str, list[RankRule]] = {}
    for rank in draft.ranks.values():
        ranks.setdefault(rank.service, []).append(rank)
    for name, service in draft.services.items():
        _check_ranks(service, ranks.get(name, []), draft)
    if draft.faults:
        raise RulesError(tuple(sorted(draft.faults, key=lambda fault: fault.line)))
    return RuleSet(_services(draft, ranks), _routes(draft), len(rules))


def _services(draft: RuleSetDraft, ranks: dict[str, list[RankRule]]) -> dict[str, Service]:
    return {
        name: Service(rule, tuple(sorted(ranks.get(name, []), key=lambda rank: rank.order)))
        for name, rule in draft.services.items()
    }


def _routes(draft: RuleSetDraft) -> dict[str, tuple[RouteRule, ...]]:
    by_host: dict[str, list[RouteRule]] = {}
    for route in draft.routes.values():
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(routes, key=lambda r: (-len(r.path_prefix), r.method == "*")))
        for host, routes in by_host.items()
    }


def check(content: bytes, file: str = "") -> RuleSet:
    """Checks a whole rules file.

    Raises:
      RulesError: With every fault of the file.
    """
    if len(content) > MAX_CONTENT_BYTES:
        message = f"the file has {len(content)} bytes, more than {MAX_CONTENT_BYTES}"
        raise RulesError((Fault(file, 0, message),))
    parsed = parse_lines(content, file)
    return build(parsed.rules, parsed.faults, file)
