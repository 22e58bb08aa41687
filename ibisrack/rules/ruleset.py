"""Builds a validated rule set from parsed rules.

The rule set is a pure function of the file's content, so all nodes and ibisctl accept or refuse the
same bytes alike, whatever versions they held before.
"""

from collections.abc import Iterable, Mapping
from functools import singledispatch

import attrs

from ibisrack.errors import Fault, RulesError
from ibisrack.rules.grammar import parse_lines
from ibisrack.rules.model import RankRule, RouteRule, Rule, ServiceRule

MAX_CONTENT_BYTES = 1_000_000  # The platform stores values of up to one megabyte.


@attrs.frozen
class Service:
    """A declared service and its ranks.

    Attributes:
      rule: The declaration of the service.
      ranks: Ranks of the service, lowest order first.
    """

    rule: ServiceRule
    ranks: tuple[RankRule, ...]


@attrs.frozen
class RuleSet:
    """The rules of one version, indexed for routing and admission.

    Attributes:
      services: Services by name.
      routes: Routes by host, longest path prefix first, and a named method before *.
      rule_count: Number of all rules.
    """

    services: Mapping[str, Service]
    routes: Mapping[str, tuple[RouteRule, ...]]
    rule_count: int


@attrs.define
class RuleSetDraft:
    """Rules and faults collected while a rule set is built.

    Attributes:
      file: File name for fault messages.
      services: Services by name.
      ranks: Ranks by service and name.
      routes: Routes by method and match.
      faults: Faults found so far.
    """

    file: str
    services: dict[str, ServiceRule] = attrs.field(factory=dict)
    ranks: dict[tuple[str, str], RankRule] = attrs.field(factory=dict)
    routes: dict[tuple[str, str], RouteRule] = attrs.field(factory=dict)
    faults: list[Fault] = attrs.field(factory=list)

    def add_fault(self, rule: Rule, message: str) -> None:
        """Records a fault at the line of a rule, naming its requester."""
        self.faults.append(Fault(self.file, rule.line, f"{message} (asked by {rule.requester})"))


@singledispatch
def add_rule(rule: Rule, draft: RuleSetDraft) -> None:
    """Adds a rule to a draft and records duplicates and values out of range."""
    raise TypeError(f"no add_rule for {type(rule).__name__}")


@add_rule.register
def _(rule: ServiceRule, draft: RuleSetDraft) -> None:
    if rule.service in draft.services:
        first = draft.services[rule.service].line
        draft.add_fault(rule, f"service {rule.service} is already declared in line {first}")
        return
    if rule.slots < 1 or rule.connections < rule.slots:
        draft.add_fault(rule, "slots must be at least 1 and at most connections")
    draft.services[rule.service] = rule


@add_rule.register
def _(rule: RankRule, draft: RuleSetDraft) -> None:
    key = (rule.service, rule.rank)
    if key in draft.ranks:
        draft.add_fault(
            rule, f"rank {rule.rank} is already declared in line {draft.ranks[key].line}"
        )
        return
    if rule.share_percent > 100:
        draft.add_fault(rule, "share_percent must be at most 100")
    draft.ranks[key] = rule


@add_rule.register
def _(rule: RouteRule, draft: RuleSetDraft) -> None:
    key = (rule.method, rule.match)
    if key in draft.routes:
        draft.add_fault(rule, f"the route is already declared in line {draft.routes[key].line}")
        return
    if rule.deadline_ms < 1:
        draft.add_fault(rule, "deadline_ms must be at least 1")
    if not 1 <= rule.tries <= 5:
        draft.add_fault(rule, "tries must be from 1 to 5")
    draft.routes[key] = rule


@singledispatch
def check_references(rule: Rule, draft: RuleSetDraft) -> None:
    """Records undeclared services and ranks, and limits above those of the service."""


@check_references.register
def _(rule: RankRule, draft: RuleSetDraft) -> None:
    service = draft.services.get(rule.service)
    if service is None:
        draft.add_fault(rule, f"service {rule.service} is not declared")
    elif rule.max_slots > service.slots:
        draft.add_fault(rule, f"max_slots is more than the {service.slots} slots of the service")


@check_references.register
def _(rule: RouteRule, draft: RuleSetDraft) -> None:
    if rule.to not in draft.services:
        draft.add_fault(rule, f"service {rule.to} is not declared")
    elif (rule.to, rule.rank) not in draft.ranks:
        draft.add_fault(rule, f"rank {rule.rank} is not declared for service {rule.to}")


def _check_service_ranks(service: ServiceRule, ranks: list[RankRule], draft: RuleSetDraft) -> None:
    if sum(rank.share_percent for rank in ranks) > 100:
        draft.add_fault(service, f"the shares of service {service.service} sum to more than 100")
    by_order: dict[int, RankRule] = {}
    for rank in ranks:
        if rank.order in by_order:
            draft.add_fault(
                rank, f"order {rank.order} is already used by {by_order[rank.order].rank}"
            )
        by_order.setdefault(rank.order, rank)


def build(rules: Iterable[Rule], faults: Iterable[Fault] = (), file: str = "") -> RuleSet:
    """Builds and validates the rule set of a version.

    Args:
      rules: The parsed rules, with line numbers relative to the file.
      faults: Faults found while parsing.
      file: File name for fault messages.

    Raises:
      RulesError: The rules have faults; the error holds all of them, ordered by line.
    """
    draft = RuleSetDraft(file)
    draft.faults += faults
    rules = tuple(rules)
    for rule in rules:
        add_rule(rule, draft)
    for rule in rules:
        check_references(rule, draft)
    ranks: dict[str, list[RankRule]] = {}
    for rank in draft.ranks.values():
        ranks.setdefault(rank.service, []).append(rank)
    for name, service in draft.services.items():
        _check_service_ranks(service, ranks.get(name, []), draft)
    if draft.faults:
        raise RulesError(tuple(sorted(draft.faults, key=lambda fault: fault.line)))
    return RuleSet(_index_services(draft, ranks), _index_routes(draft), len(rules))


def _index_services(draft: RuleSetDraft, ranks: dict[str, list[RankRule]]) -> dict[str, Service]:
    return {
        name: Service(rule, tuple(sorted(ranks.get(name, []), key=lambda rank: rank.order)))
        for name, rule in draft.services.items()
    }


def _index_routes(draft: RuleSetDraft) -> dict[str, tuple[RouteRule, ...]]:
    by_host: dict[str, list[RouteRule]] = {}
    for route in draft.routes.values():
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(
            sorted(routes, key=lambda route: (-len(route.path_prefix), route.method == "*"))
        )
        for host, routes in by_host.items()
    }


def parse_rule_set(content: bytes, file: str = "") -> RuleSet:
    """Parses and validates a whole rules file.

    Args:
      content: The bytes of the file.
      file: File name for fault messages.

    Raises:
      RulesError: The file has faults; the error holds all of them.
    """
    if len(content) > MAX_CONTENT_BYTES:
        message = f"the file has {len(content)} bytes, more than {MAX_CONTENT_BYTES}"
        raise RulesError((Fault(file, 0, message),))
    parsed = parse_lines(content, file)
    return build(parsed.rules, parsed.faults, file)
