"""The commands of ibisctl as classes and the parsing of its command line.

A command's words are the attrs fields of its class, so that usage lines and parsing follow from the
classes.  To add a command, add a class here, list it in COMMANDS and register its function with
ibisrack.ctl.run.run_command.
"""

import re
from typing import Any, ClassVar, TypeVar

import attrs
from absl import flags

from ibisrack.errors import IbisError
from ibisrack.settings.checks import ip_ports
from ibisrack.timeline.merge import EventFilter

C = TypeVar("C", bound="Command")

MAX_REVISION = 2**63 - 1
EXIT_CODES = """\
Exit codes:
  0  done
  1  the command ran and found something: faults in a file, differences between two files, no rule
     for a request, nodes that are behind
  2  the command line or a file can't be used
  3  a node did not answer; what the others answered was still printed"""

_REQUEST = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*(:\d{1,5})?(/[!-~]*)?\Z")
_METHOD = re.compile(r"[A-Z]{1,16}\Z")


class UsageError(IbisError):
    """The command line is not valid."""


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
      limit: Newest events to print, 0 for all.
      events: Which events to print.
    """

    json: bool = False
    nodes: tuple[str, ...] = ()
    timeout_s: float = 2.0
    concurrency: int = 32
    watch: bool = False
    interval_s: float = 2.0
    limit: int = 0
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
    cls.NAME: cls for cls in (Check, Diff, Explain, Fleet, Timeline, Drain, Version)
}


def define_flags() -> flags.FlagValues:
    """Returns the flags of ibisctl, not yet parsed."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_bool("help", False, "Shows the help of ibisctl or of a command.", **define)
    flags.DEFINE_bool("json", False, "Prints JSON for programs instead of text.", **define)
    flags.DEFINE_multi_string("node", [], "Admin address IP:PORT; may be repeated.", **define)
    flags.DEFINE_float("timeout_s", 2.0, "Time for one answer.", 0.05, 60.0, **define)
    flags.DEFINE_integer("concurrency", 32, "Nodes asked at a time.", 1, 256, **define)
    flags.DEFINE_bool("watch", False, "Repeats until interrupted.", **define)
    flags.DEFINE_float("interval_s", 2.0, "Time between repetitions.", 0.5, 3600.0, **define)
    flags.DEFINE_integer("revision", None, "Revision to show.", 0, MAX_REVISION, **define)
    flags.DEFINE_string("call", "", "Call id to show.", **define)
    flags.DEFINE_string("about", "", "Id of the node to show.", **define)
    flags.DEFINE_string("kind", "", "Kind of event, such as VersionRefused.", **define)
    flags.DEFINE_integer("limit", 0, "Newest events to show, 0 for all.", 0, 1_000_000, **define)
    values.set_gnu_getopt(True)
    return values


COMMON_OPTIONS = ("json", "timeout_s", "concurrency")


def parse_command_line(arguments: list[str]) -> tuple[Command, Options] | str:
    """Parses the words after the program's name.

    Returns:
      The command with its options, or the text of the help that was asked for.

    Raises:
      UsageError: The command line is not valid.
    """
    values = define_flags()
    try:
        words = values(["ibisctl", *arguments])[1:]
    except flags.Error as error:
        raise UsageError(str(error)) from error
    cls = COMMANDS.get(words[0]) if words else None
    if values["help"].value:
        return command_help(cls, values) if cls else general_help(values)
    if not words:
        raise UsageError(f"no command given; known: {', '.join(COMMANDS)}")
    if cls is None:
        raise UsageError(f"unknown command '{words[0]}'; known: {', '.join(COMMANDS)}")
    _check_options(cls, values)
    command = _command(cls, words[1:])
    options = _options(values)
    _require_nodes(command, options)
    return command, options


def _check_options(cls: type[Command], values: flags.FlagValues) -> None:
    allowed = (*cls.OPTIONS, *COMMON_OPTIONS, "help")
    given = [name for name in values if values[name].present]
    unused = [f"--{name}" for name in given if name not in allowed]
    if unused:
        raise UsageError(f"{cls.NAME} takes no {', '.join(unused)}")


def _require_nodes(command: Command, options: Options) -> None:
    if command.NEEDS_NODE and not options.nodes:
        raise UsageError(f"{command.NAME} needs at least one --node=IP:PORT")


def _command(cls: type[C], words: list[str]) -> C:
    fields = attrs.fields(cls)
    if len(words) != len(fields):
        raise UsageError(f"usage: {usage(cls)}")
    command = cls(*words)
    for field in fields:
        _check_word(field.name, getattr(command, field.name))
    return command


def _check_word(name: str, text: str) -> None:
    if name == "method" and not _METHOD.match(text):
        raise UsageError(f"METHOD must be in capital letters, is '{text}'")
    if name == "request" and not _REQUEST.match(text):
        raise UsageError(f"REQUEST must be HOST/PATH, is '{text}'")
    if name == "address":
        _check_address(text)


def _check_address(text: str) -> None:
    try:
        ip_ports(None, None, (text,))
    except ValueError as error:
        raise UsageError(f"not an address IP:PORT: {error}") from error


def _options(values: flags.FlagValues) -> Options:
    for address in values["node"].value:
        _check_address(address)
    events = EventFilter(
        revision=values["revision"].value,
        call_id=values["call"].value,
        node_id=values["about"].value,
        kind=values["kind"].value,
    )
    return Options(
        json=values["json"].value,
        nodes=tuple(values["node"].value),
        timeout_s=values["timeout_s"].value,
        concurrency=values["concurrency"].value,
        watch=values["watch"].value,
        interval_s=values["interval_s"].value,
        limit=values["limit"].value,
        events=events,
    )


def usage(cls: type[Command]) -> str:
    """Returns the usage line of a command."""
    words = " ".join(field.name.upper() for field in attrs.fields(cls))
    return f"ibisctl {cls.NAME} {words}".strip() + " [OPTIONS]"


def _option_help(values: flags.FlagValues, names: tuple[str, ...]) -> str:
    lines = []
    for name in names:
        flag: Any = values[name]
        default = "" if flag.default in (None, "", False, []) else f" (default {flag.default})"
        label = f"--{name}" if flag.boolean else f"--{name}=VALUE"
        lines.append(f"  {label:22} {flag.help}{default}")
    return "\n".join(lines)


def general_help(values: flags.FlagValues) -> str:
    """Returns the help of the tool."""
    lines = [f"  {usage(cls):52} {_summary(cls)}" for cls in COMMANDS.values()]
    return "\n".join(
        [
            "ibisctl: checks rules files and shows what a fleet of ibis-node processes does.",
            "",
            "Commands:",
            *lines,
            "",
            "Options of every command:",
            _option_help(values, COMMON_OPTIONS),
            "",
            EXIT_CODES,
            "",
            "ibisctl COMMAND --help shows the help of a command.",
        ]
    )


def command_help(cls: type[Command], values: flags.FlagValues) -> str:
    """Returns the help of a command."""
    text = "\n".join(line.strip() for line in (cls.__doc__ or "").strip().splitlines())
    options = _option_help(values, (*cls.OPTIONS, *COMMON_OPTIONS))
    return f"{usage(cls)}\n\n{text}\n\nOptions:\n{options}\n\n{EXIT_CODES}"


def _summary(cls: type[Command]) -> str:
    return (cls.__doc__ or "").partition("\n")[0].strip()
