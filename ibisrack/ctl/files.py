"""Commands on rules files: check, diff and explain."""

from functools import singledispatch
from pathlib import Path

import attrs

from ibisrack.admin.messages import RulesText
from ibisrack.bin.common import EXIT_FAULTS, EXIT_OK
from ibisrack.ctl.commands import Check, Diff, Explain, Options
from ibisrack.ctl.output import Result
from ibisrack.ctl.run import admin_client, run_command
from ibisrack.errors import RulesError
from ibisrack.rules.diff import Change, diff
from ibisrack.rules.explain import Explanation, explain
from ibisrack.rules.model import RankRule, RouteRule, Rule, ServiceRule
from ibisrack.rules.ruleset import RuleSet, parse_rule_set
from ibisrack.settings.checks import ip_ports
from ibisrack.text import format_table


@run_command.register
async def _(command: Check, options: Options) -> Result:
    try:
        rules = parse_rule_set(Path(command.file).read_bytes(), command.file)
    except RulesError as error:
        lines = tuple(str(fault) for fault in error.faults)
        summary = f"{len(lines)} faults; the file would be refused as a whole"
        data = {"good": False, "faults": [attrs.asdict(fault) for fault in error.faults]}
        return Result((*lines, summary), data, EXIT_FAULTS)
    line = f"{command.file}: good, {rules.rule_count} rules for {len(rules.services)} services"
    data = {"good": True, "faults": [], "rules": rules.rule_count}
    return Result((line,), {**data, "services": len(rules.services)})


@run_command.register
async def _(command: Diff, options: Options) -> Result:
    old = parse_rule_set(Path(command.old_file).read_bytes(), command.old_file)
    new = parse_rule_set(Path(command.new_file).read_bytes(), command.new_file)
    changes = diff(old, new)
    if not changes:
        return Result(("no traffic is affected",), {"changes": []})
    lines = [line for change in changes for line in _change_lines(change, command)]
    return Result((*lines, f"{len(changes)} changes"), {"changes": changes}, EXIT_FAULTS)


def _change_lines(change: Change, command: Diff) -> list[str]:
    file = command.old_file if change.action == "removed" else command.new_file
    return [
        f"{change.keyword} {change.action}: {change.traffic}",
        f"    {change.effect}",
        f"    {file}:{change.line}, asked by {change.requester}: {change.reason}",
    ]


@run_command.register
async def _(command: Explain, options: Options) -> Result:
    rules, origin = await _load_rules(command.source, options)
    explanation = explain(rules, command.method, command.host, command.path)
    data = {"source": origin, "explanation": explanation}
    exit_code = EXIT_OK if explanation.route else EXIT_FAULTS
    return Result(tuple(_explanation_lines(explanation, origin)), data, exit_code)


async def _load_rules(source: str, options: Options) -> tuple[RuleSet, str]:
    """Loads rules from the admin port of a node or from a file; returns them and their origin."""
    try:
        ip_ports(None, None, (source,))
    except ValueError:
        return parse_rule_set(Path(source).read_bytes(), source), source
    async with admin_client(options) as client:
        text = await client.get(source, "/rules", RulesText)
    origin = f"revision {text.revision} at {source}"
    return parse_rule_set(text.content.encode(), f"revision-{text.revision}"), origin


@singledispatch
def describe_rule(rule: Rule) -> str:
    """Returns the terms of a rule as readable text."""
    raise TypeError(f"no describe_rule for {type(rule).__name__}")


@describe_rule.register
def _(rule: RouteRule) -> str:
    execution = "may run more than once" if rule.idempotent else "runs at most once"
    terms = f"to {rule.to} as {rule.rank}, deadline {rule.deadline_ms} ms, {execution}"
    return f"{rule.method} {rule.match} {terms}, {rule.tries} tries"


@describe_rule.register
def _(rule: RankRule) -> str:
    slots = f"at most {rule.max_slots} slots" if rule.max_slots else "all slots"
    terms = f"order {rule.order}, share {rule.share_percent}%, {slots}"
    return f"{rule.rank} at {rule.service}: {terms}, queue of {rule.max_queue}"


@describe_rule.register
def _(rule: ServiceRule) -> str:
    return f"{rule.service}: {rule.slots} slots, {rule.connections} connections an instance"


def _rule_row(label: str, rule: Rule) -> tuple[str, ...]:
    requested_by = f"asked by {rule.requester}: {rule.reason}"
    return (label, f"line {rule.line}", describe_rule(rule), requested_by)


def _explanation_lines(found: Explanation, origin: str) -> list[str]:
    request = f"{found.method} {found.host}{found.path} in {origin}"
    if found.route is None:
        lines = [
            f"{request}: no rule applies; the call would be refused with status 404 and not run"
        ]
        if found.known_hosts:
            lines.append(f"host {found.host} has no routes; known: {', '.join(found.known_hosts)}")
    else:
        lines = [f"{request}:"]
    rules = (("route", found.route), ("rank", found.rank), ("service", found.service))
    rows = [_rule_row(label, rule) for label, rule in rules if rule]
    rows += [_rule_row("not used", rule) for rule in found.passed_over]
    return lines + format_table(rows)
