"""What a screen's process has read from the nodes so far."""

import attrs

from ibisrack.admin.client import AdminError
from ibisrack.admin.messages import Member, Report
from ibisrack.rules.ruleset import RuleSet


@attrs.frozen
class Reading:
    """What is known of one node.

    Attributes:
      report: Its last good answer.
      report_at_s: Monotonic time of that answer.
      error: Why the last read failed, None when it succeeded.
    """

    report: Report | None = None
    report_at_s: float = 0.0
    error: AdminError | None = None


@attrs.define
class Readings:
    """Owner of everything read.

    Attributes:
      members: The last member table.
      source: Admin address that gave the member table.
      members_at_s: Monotonic time of the member table, None before the first one.
      source_error: Why the member table could not be renewed.
      nodes: What is known of each node, by node id.
      rules: Rules of the accepted version, None while they are not known.
      rules_revision: Their revision.
    """

    members: tuple[Member, ...] = ()
    source: str = ""
    members_at_s: float | None = None
    source_error: AdminError | None = None
    nodes: dict[str, Reading] = attrs.field(factory=dict)
    rules: RuleSet | None = None
    rules_revision: int = 0

    def take_members(self, members: tuple[Member, ...], source: str, now_s: float) -> None:
        """Takes a member table and forgets nodes that are no longer listed."""
        self.members = members
        self.source = source
        self.members_at_s = now_s
        self.source_error = None
        listed = {member.node_id for member in members}
        self.nodes = {node_id: r for node_id, r in self.nodes.items() if node_id in listed}

    def take_report(self, node_id: str, answer: Report | AdminError, now_s: float) -> None:
        """Takes a node's answer; a failure keeps the last good answer."""
        if isinstance(answer, AdminError):
            known = self.nodes.get(node_id, Reading())
            self.nodes[node_id] = attrs.evolve(known, error=answer)
        else:
            self.nodes[node_id] = Reading(answer, now_s)

    def take_rules(self, rules: RuleSet, revision: int) -> None:
        """Takes the rules of a version."""
        self.rules = rules
        self.rules_revision = revision

    def accepted(self) -> tuple[int, str]:
        """Returns the highest revision in force that a node told, with its digest."""
        statuses = [reading.report.status for reading in self.nodes.values() if reading.report]
        return max(((s.revision, s.digest) for s in statuses), default=(0, ""))
