"""The commands of ibisctl as classes.

A command's words are the attrs fields of its class, so that usage lines and parsing follow from the
classes.  To add a command, add a class here, list it in COMMANDS and register its function with
ibisrack.ctl.run.run_command.
"""

from typing import ClassVar

import attrs

from ibisrack.timeline.query import EventFilter


@attrs.frozen(kw_only=True)
class Options:
    """Options of the command line.

    Attributes:
      json: Whether to print JSON.
      nodes: Admin addresses to ask, IP:PORT.
      timeout_s: Time for one answer of a node.
      concurrency: Nodes that are asked at the same time.
      watch: Whether to repeat until interrupted.
      interval_s: Time between two repetitions.
      events: Which events to print.
    """

    json: bool = False
    nodes: tuple[str, ...] = ()
    timeout_s: float = 2.0
    concurrency: int = 32
    watch: bool = False
    interval_s: float = 2.0
    events: EventFilter = EventFilter()


@attrs.frozen
class Command:
    """Base class of the commands."""

    NAME: ClassVar[str] = ""
    OPTIONS: ClassVar[tuple[str, ...]] = ()
    NEEDS_NODE: ClassVar[bool] = False


@attrs.frozen
class Check(Command):
    """Reports every bad line of a rules file.

    The same check runs on every node: a file that is good here is put in force, a file with faults
    would be refused as a whole by every node.
    """

    NAME: ClassVar[str] = "check"
    file: str


@attrs.frozen
class Diff(Command):
    """Shows what a new rules file changes for which traffic, and who asked for it.

    Line numbers and comments are not compared.  Exits with 1 when there are differences.
    """

    NAME: ClassVar[str] = "diff"
    old_file: str
    new_file: str


@attrs.frozen
class Explain(Command):
    """Shows which rule a request meets, who asked for it and why.

    REQUEST is HOST/PATH as the caller addresses it.  SOURCE is a rules file, or the admin address
    IP:PORT of a node whose rules in force are asked for.  Exits with 1 when no rule applies.
    """

    NAME: ClassVar[str] = "explain"
    method: str
    request: str
    source: str

    @property
    def host(self) -> str:
        """Host of the request without its port."""
        return self.request.partition("/")[0].partition(":")[0]

    @property
    def path(self) -> str:
        """Path of the request without its query."""
        return "/" + self.request.partition("/")[2].partition("?")[0]


@attrs.frozen
class Fleet(Command):
    """Shows the accepted version, the nodes of each zone on it, and the stragglers with the cause.

    Asks the first of the --node addresses that answers for its view of the fleet, and silent nodes
    directly.  Exits with 1 when a node is not known to be on the accepted version, and with 3 when
    no node answers or a zone is out of date.  --watch repeats it as a terminal screen.
    """

    NAME: ClassVar[str] = "fleet"
    OPTIONS: ClassVar[tuple[str, ...]] = ("node", "watch", "interval_s")
    NEEDS_NODE: ClassVar[bool] = True


@attrs.frozen
class Timeline(Command):
    """Merges the events of all nodes that can be reached, in the order of their clocks.

    With --call the call is followed: the node that took it, the node beside the upstream, the rule
    that applied and who asked for it.  Nodes that did not answer are named; exits with 3 then.
    """

    NAME: ClassVar[str] = "timeline"
    OPTIONS: ClassVar[tuple[str, ...]] = ("node", "revision", "call", "about", "kind", "limit")
    NEEDS_NODE: ClassVar[bool] = True


@attrs.frozen
class Follow(Command):
    """Follows one request through the logs of several processes, in the order of their clocks.

    REQUEST_ID is the identity that the caller gave, LOGS a file with log lines or a folder with one
    file for each process.  The clocks of two machines may differ by more than the times between two
    lines; lines of one process keep their order.  Exits with 1 when no line names the request.
    """

    NAME: ClassVar[str] = "follow"
    request_id: str
    logs: str


@attrs.frozen
class Drain(Command):
    """Stops one node gracefully: it refuses new work, finishes what it has, then exits.

    ADDRESS is the admin address IP:PORT of the node.
    """

    NAME: ClassVar[str] = "drain"
    address: str


@attrs.frozen
class Version(Command):
    """Shows the version of this program and, with --node, the version in force at those nodes."""

    NAME: ClassVar[str] = "version"
    OPTIONS: ClassVar[tuple[str, ...]] = ("node",)


COMMANDS: dict[str, type[Command]] = {
    cls.NAME: cls for cls in (Check, Diff, Explain, Fleet, Timeline, Follow, Drain, Version)
}
