"""The commands of ibisctl as classes.

The attrs fields of a class are the positional arguments of its command; usage lines, help texts and
parsing are derived from the classes.  To add a command, add a class here, list it in COMMANDS and
register its function with ibisrack.ctl.run.run_command.
"""

from typing import ClassVar

import attrs

from ibisrack.timeline.query import EventFilter


@attrs.frozen(kw_only=True)
class Options:
    """Options of the command line.

    Attributes:
      json: Whether to print JSON.
      nodes: Admin addresses of nodes, IP:PORT.
      timeout_s: Timeout of one request to a node.
      concurrency: Maximum number of concurrent requests.
      watch: Whether to repeat the command until interrupted.
      interval_s: Time between two repetitions.
      events: Filter of the events to print.
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
    """Base class of the commands.

    Attributes:
      NAME: Name of the command on the command line.
      OPTIONS: Options of the command besides those of every command.
      NEEDS_NODE: Whether at least one --node is required.
    """

    NAME: ClassVar[str] = ""
    OPTIONS: ClassVar[tuple[str, ...]] = ()
    NEEDS_NODE: ClassVar[bool] = False


@attrs.frozen
class Check(Command):
    """Reports every faulty line of a rules file.

    Every node runs the same check: it puts a file without faults in force and refuses a file with
    faults as a whole.
    """

    NAME: ClassVar[str] = "check"
    file: str


@attrs.frozen
class Diff(Command):
    """Shows which traffic a new rules file changes, how, and who asked for it.

    Line numbers and comments are not compared.  Exits with 1 when there are differences.
    """

    NAME: ClassVar[str] = "diff"
    old_file: str
    new_file: str


@attrs.frozen
class CheckConfig(Command):
    """Reviews a configuration of the users' platform before it is published.

    Shows errors for which it would be refused, routes and services that no request can match,
    limits that contradict each other, and what differs from the version in force.  IN_FORCE is a
    file, the address IP:PORT of the platform's store, or ``-`` to compare with nothing.  Exits with
    1 when there are errors or findings; differences alone are none.
    """

    NAME: ClassVar[str] = "check-config"
    file: str
    in_force: str


@attrs.frozen
class Explain(Command):
    """Shows which rule applies to a request, who asked for it and why.

    REQUEST is HOST/PATH as the caller addresses it.  SOURCE is a rules file, or the admin address
    IP:PORT of a node, whose rules in force are read.  Exits with 1 when no rule applies.
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
    """Shows the accepted version, the nodes of each zone on it, and stragglers with the cause.

    Reads the fleet view from the first --node address that answers, and probes nodes directly that
    do not answer their peers.  Exits with 1 when a node is not known to be on the accepted version,
    and with 3 when no node answers or a zone is out of date.  --watch refreshes the output on the
    terminal until interrupted.
    """

    NAME: ClassVar[str] = "fleet"
    OPTIONS: ClassVar[tuple[str, ...]] = ("node", "watch", "interval_s")
    NEEDS_NODE: ClassVar[bool] = True


@attrs.frozen
class Timeline(Command):
    """Shows the events of all reachable nodes, merged in the order of their clocks.

    With --call, a trace of the call follows: the node that received it, the node beside the
    upstream, the rule that applied and who asked for it.  Exits with 3 when nodes did not answer;
    standard error names them.
    """

    NAME: ClassVar[str] = "timeline"
    OPTIONS: ClassVar[tuple[str, ...]] = ("node", "revision", "call", "about", "kind", "limit")
    NEEDS_NODE: ClassVar[bool] = True


@attrs.frozen
class Follow(Command):
    """Shows the log lines of several processes about one request, in the order of their clocks.

    REQUEST_ID is the id that the caller gave.  LOGS is a file with log lines, or a folder with one
    file for each process.  Lines of one process keep their order.  Lines of different machines may
    be out of order, as their clocks may differ by more than the time between two lines.  Exits with
    1 when no line names the request.
    """

    NAME: ClassVar[str] = "follow"
    request_id: str
    logs: str


@attrs.frozen
class Drain(Command):
    """Stops one node gracefully: it refuses new calls, finishes those it has accepted, then exits.

    ADDRESS is the admin address IP:PORT of the node.
    """

    NAME: ClassVar[str] = "drain"
    address: str


@attrs.frozen
class Version(Command):
    """Shows the version of this program and, with --node, the rules revision of those nodes."""

    NAME: ClassVar[str] = "version"
    OPTIONS: ClassVar[tuple[str, ...]] = ("node",)


COMMANDS: dict[str, type[Command]] = {
    cls.NAME: cls
    for cls in (Check, CheckConfig, Diff, Explain, Fleet, Timeline, Follow, Drain, Version)
}
