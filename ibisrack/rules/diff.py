"""Compares two rule sets and describes the effect of each difference on traffic.

The comparison ignores line numbers, requesters and reasons: moving a rule within the file or
rewording its comment affects no call.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from functools import singledispatch

import attrs

from ibisrack.calls.match import match
from ibisrack.rules.model import KEYWORDS, RankRule, RouteRule, Rule, ServiceRule
from ibisrack.rules.ruleset import RuleSet

_IGNORED_FIELDS = frozenset(field.name for field in attrs.fields(Rule))


class Action(StrEnum):
    """How a rule differs between two rule sets."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class FieldChange:
    """The old and the new value of an option."""

    name: str
    old: str
    new: str


@attrs.frozen
class Change:
    """One difference between two rule sets.

    Attributes:
      action: Whether the rule was added, removed or changed.
      keyword: Keyword of the rule: service, rank or route.
      traffic: Description of the traffic that the rule applies to.
      effect: Effect of the difference on that traffic.
      fields: Options that differ; empty for added and removed rules.
      line: Line number of the rule, in the old file if it was removed and in the new one otherwise.
      requester: Person who asked for the rule.
      reason: Reason that the requester gave.
    """

    action: Action
    keyword: str
    traffic: str
    effect: str
    fields: tuple[FieldChange, ...]
    line: int
    requester: str
    reason: str


@singledispatch
def rule_key(rule: Rule) -> tuple[str, ...]:
    """Returns the key by which rules of two rule sets are paired."""
    raise TypeError(f"rule_key is not registered for {type(rule).__name__}")


@rule_key.register
def _(rule: ServiceRule) -> tuple[str, ...]:
    return (rule.KEYWORD, rule.service)


@rule_key.register
def _(rule: RankRule) -> tuple[str, ...]:
    return (rule.KEYWORD, rule.service, rule.rank)


@rule_key.register
def _(rule: RouteRule) -> tuple[str, ...]:
    return (rule.KEYWORD, rule.method, rule.match)


@singledispatch
def describe_traffic(rule: Rule) -> str:
    """Describes the traffic that a rule applies to."""
    raise TypeError(f"describe_traffic is not registered for {type(rule).__name__}")


@describe_traffic.register
def _(rule: ServiceRule) -> str:
    return f"all calls to {rule.service}"


@describe_traffic.register
def _(rule: RankRule) -> str:
    return f"calls of rank {rule.rank} at {rule.service}"


@describe_traffic.register
def _(rule: RouteRule) -> str:
    return f"{rule.method} {rule.match}"


@singledispatch
def describe_effect(rule: Rule, other_rules: RuleSet, action: Action) -> str:
    """Describes the effect of an added or removed rule on traffic.

    Args:
      rule: The added or removed rule.
      other_rules: The rule set that lacks the rule.
      action: Whether the rule was added or removed.
    """
    raise TypeError(f"describe_effect is not registered for {type(rule).__name__}")


@describe_effect.register
def _(rule: ServiceRule, other_rules: RuleSet, action: Action) -> str:
    size = f"{rule.slots} slots and {rule.connections} connections for each instance"
    return f"new service with {size}" if action is Action.ADDED else "the service is gone"


@describe_effect.register
def _(rule: RankRule, other_rules: RuleSet, action: Action) -> str:
    terms = f"order {rule.order}, share {rule.share_percent}%"
    return f"new rank with {terms}" if action is Action.ADDED else f"the rank is gone ({terms})"


@describe_effect.register
def _(rule: RouteRule, other_rules: RuleSet, action: Action) -> str:
    other_route = route_for(other_rules, rule)
    with_rule = _describe_route(rule)
    without_rule = _describe_route(other_route) if other_route else "refused, no route (404)"
    old, new = (without_rule, with_rule) if action is Action.ADDED else (with_rule, without_rule)
    return f"was {old}; now {new}"


def route_for(rules: RuleSet, route: RouteRule) -> RouteRule | None:
    """Returns the route of a rule set that matches the method, host and path prefix of a route."""
    return match(rules, route.method, route.host, route.path_prefix)


def _describe_route(route: RouteRule) -> str:
    repeats = "may run again" if route.idempotent else "runs at most once"
    return f"to {route.to} as {route.rank}, {route.deadline_ms} ms, {repeats}"


def iterate_rules(rules: RuleSet) -> Iterable[Rule]:
    """Yields every rule of a rule set."""
    for service in rules.services.values():
        yield service.rule
        yield from service.ranks
    for routes in rules.routes.values():
        yield from routes


def _format_value(value: object) -> str:
    return {True: "yes", False: "no"}.get(value, str(value)) if type(value) is bool else str(value)


def _field_changes(old: Rule, new: Rule) -> tuple[FieldChange, ...]:
    names = [f.name for f in attrs.fields(type(new)) if f.name not in _IGNORED_FIELDS]
    values = [(name, getattr(old, name), getattr(new, name)) for name in names]
    return tuple(
        FieldChange(name, _format_value(before), _format_value(after))
        for name, before, after in values
        if before != after
    )


def _create_change(
    rule: Rule, action: Action, effect: str, fields: tuple[FieldChange, ...]
) -> Change:
    return Change(
        action=action,
        keyword=rule.KEYWORD,
        traffic=describe_traffic(rule),
        effect=effect,
        fields=fields,
        line=rule.line,
        requester=rule.requester,
        reason=rule.reason,
    )


def _compare(old: Rule, new: Rule) -> Change | None:
    fields = _field_changes(old, new)
    if not fields:
        return None
    effect = ", ".join(f"{f.name} {f.old} -> {f.new}" for f in fields)
    return _create_change(new, Action.CHANGED, effect, fields)


def _index_by_key(rules: RuleSet) -> Mapping[tuple[str, ...], Rule]:
    return {rule_key(rule): rule for rule in iterate_rules(rules)}


def diff(old: RuleSet, new: RuleSet) -> tuple[Change, ...]:
    """Returns the changes from one rule set to another, services first, then ranks and routes.

    Args:
      old: The rules that apply now.
      new: The rules that would replace them.
    """
    old_rules, new_rules = _index_by_key(old), _index_by_key(new)
    changes = []
    for key in sorted(old_rules.keys() | new_rules.keys(), key=_sort_key):
        old_rule, new_rule = old_rules.get(key), new_rules.get(key)
        if old_rule is None:
            effect = describe_effect(new_rule, old, Action.ADDED)
            changes.append(_create_change(new_rule, Action.ADDED, effect, ()))
        elif new_rule is None:
            effect = describe_effect(old_rule, new, Action.REMOVED)
            changes.append(_create_change(old_rule, Action.REMOVED, effect, ()))
        else:
            changes.append(_compare(old_rule, new_rule))
    return tuple(change for change in changes if change)


def _sort_key(key: tuple[str, ...]) -> tuple:
    return (list(KEYWORDS).index(key[0]), *key[1:])
