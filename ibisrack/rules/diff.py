"""Compares two rule sets in terms of what changes for which traffic.

The comparison ignores line numbers and comments: a rule that moved within the file, or whose reason
was reworded, changes nothing for any call.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from functools import singledispatch

import attrs

from ibisrack.calls.match import match
from ibisrack.rules.model import KEYWORDS, RankRule, RouteRule, Rule, ServiceRule
from ibisrack.rules.ruleset import RuleSet

_NOT_COMPARED = frozenset(field.name for field in attrs.fields(Rule))


class Action(StrEnum):
    """What happened to a rule between two files."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class FieldChange:
    """An option with another value."""

    name: str
    old: str
    new: str


@attrs.frozen
class Change:
    """One difference between two rule sets.

    Attributes:
      action: What happened to the rule.
      keyword: Keyword of the rule: service, rank or route.
      traffic: Which traffic the rule is about.
      effect: What the difference means for that traffic.
      fields: Options that differ; empty for added and removed rules.
      line: Line of the rule, in the new file unless the rule was removed.
      requester: Person who asked for the rule.
      reason: Why the person asked for it.
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
def identity(rule: Rule) -> tuple[str, ...]:
    """Returns what makes two rules of different files the same rule."""
    raise TypeError(f"no identity for {type(rule).__name__}")


@identity.register
def _(rule: ServiceRule) -> tuple[str, ...]:
    return (rule.KEYWORD, rule.service)


@identity.register
def _(rule: RankRule) -> tuple[str, ...]:
    return (rule.KEYWORD, rule.service, rule.rank)


@identity.register
def _(rule: RouteRule) -> tuple[str, ...]:
    return (rule.KEYWORD, rule.method, rule.match)


@singledispatch
def traffic_of(rule: Rule) -> str:
    """Names the traffic that a rule is about."""
    raise TypeError(f"no traffic_of for {type(rule).__name__}")


@traffic_of.register
def _(rule: ServiceRule) -> str:
    return f"all calls to {rule.service}"


@traffic_of.register
def _(rule: RankRule) -> str:
    return f"calls of rank {rule.rank} at {rule.service}"


@traffic_of.register
def _(rule: RouteRule) -> str:
    return f"{rule.method} {rule.match}"


@singledispatch
def effect_alone(rule: Rule, others: RuleSet, action: Action) -> str:
    """Tells what an added or removed rule means.

    Args:
      rule: The rule that only one of the files has.
      others: The rule set that lacks the rule.
      action: Whether the rule was added or removed.
    """
    raise TypeError(f"no effect_alone for {type(rule).__name__}")


@effect_alone.register
def _(rule: ServiceRule, others: RuleSet, action: Action) -> str:
    size = f"{rule.slots} slots and {rule.connections} connections for each instance"
    return f"new service with {size}" if action is Action.ADDED else "the service is gone"


@effect_alone.register
def _(rule: RankRule, others: RuleSet, action: Action) -> str:
    terms = f"order {rule.order}, share {rule.share_percent}%"
    return f"new rank with {terms}" if action is Action.ADDED else f"the rank is gone ({terms})"


@effect_alone.register
def _(rule: RouteRule, others: RuleSet, action: Action) -> str:
    before_or_after = route_for(others, rule)
    there = _goes_to(rule)
    elsewhere = _goes_to(before_or_after) if before_or_after else "refused, no route (404)"
    old, new = (elsewhere, there) if action is Action.ADDED else (there, elsewhere)
    return f"was {old}; now {new}"


def route_for(rules: RuleSet, route: RouteRule) -> RouteRule | None:
    """Returns the route that the traffic of a route meets in a rule set."""
    return match(rules, route.method, route.host, route.path_prefix)


def _goes_to(route: RouteRule) -> str:
    once = "may run again" if route.idempotent else "runs at most once"
    return f"to {route.to} as {route.rank}, {route.deadline_ms} ms, {once}"


def all_rules(rules: RuleSet) -> Iterable[Rule]:
    """Returns every rule of a rule set."""
    for service in rules.services.values():
        yield service.rule
        yield from service.ranks
    for routes in rules.routes.values():
        yield from routes


def _text(value: object) -> str:
    return {True: "yes", False: "no"}.get(value, str(value)) if type(value) is bool else str(value)


def _field_changes(old: Rule, new: Rule) -> tuple[FieldChange, ...]:
    names = [f.name for f in attrs.fields(type(new)) if f.name not in _NOT_COMPARED]
    pairs = [(name, getattr(old, name), getattr(new, name)) for name in names]
    return tuple(FieldChange(n, _text(a), _text(b)) for n, a, b in pairs if a != b)


def _change(rule: Rule, action: Action, effect: str, fields: tuple[FieldChange, ...]) -> Change:
    return Change(
        action=action,
        keyword=rule.KEYWORD,
        traffic=traffic_of(rule),
        effect=effect,
        fields=fields,
        line=rule.line,
        requester=rule.requester,
        reason=rule.reason,
    )


def _changed(old: Rule, new: Rule) -> Change | None:
    fields = _field_changes(old, new)
    if not fields:
        return None
    effect = ", ".join(f"{f.name} {f.old} -> {f.new}" for f in fields)
    return _change(new, Action.CHANGED, effect, fields)


def _by_identity(rules: RuleSet) -> Mapping[tuple[str, ...], Rule]:
    return {identity(rule): rule for rule in all_rules(rules)}


def diff(old: RuleSet, new: RuleSet) -> tuple[Change, ...]:
    """Returns the changes from one rule set to another, services first, then ranks and routes.

    Args:
      old: The rules that calls meet now.
      new: The rules that calls would meet.
    """
    before, after = _by_identity(old), _by_identity(new)
    changes = []
    for key in sorted(before.keys() | after.keys(), key=_order):
        first, second = before.get(key), after.get(key)
        if first is None:
            effect = effect_alone(second, old, Action.ADDED)
            changes.append(_change(second, Action.ADDED, effect, ()))
        elif second is None:
            effect = effect_alone(first, new, Action.REMOVED)
            changes.append(_change(first, Action.REMOVED, effect, ()))
        else:
            changes.append(_changed(first, second))
    return tuple(change for change in changes if change)


def _order(key: tuple[str, ...]) -> tuple:
    return (list(KEYWORDS).index(key[0]), *key[1:])
