"""Parses the command line of ibisctl."""

import re
from typing import TypeVar

import attrs
from absl import flags

from ibisrack.ctl.commands import COMMANDS, Command, Options
from ibisrack.ctl.help import command_help, general_help, usage
from ibisrack.ctl.options import COMMON_OPTIONS, define_flags
from ibisrack.errors import IbisError
from ibisrack.settings.checks import ip_ports
from ibisrack.timeline.query import EventFilter

C = TypeVar("C", bound=Command)

_REQUEST = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*(:\d{1,5})?(/[!-~]*)?\Z")
_METHOD = re.compile(r"[A-Z]{1,16}\Z")


class UsageError(IbisError):
    """The command line is not valid."""


def parse_command_line(arguments: list[str]) -> tuple[Command, Options] | str:
    """Parses a command line without the program's name.

    Returns:
      The command with its options, or the help text if --help was given.

    Raises:
      UsageError: The command line is not valid.
    """
    values = define_flags()
    try:
        positionals = values(["ibisctl", *arguments])[1:]
    except flags.Error as error:
        raise UsageError(str(error)) from error
    cls = COMMANDS.get(positionals[0]) if positionals else None
    if values["help"].value:
        return command_help(cls, values) if cls else general_help(values)
    if not positionals:
        raise UsageError(f"no command given; known: {', '.join(COMMANDS)}")
    if cls is None:
        raise UsageError(f"unknown command '{positionals[0]}'; known: {', '.join(COMMANDS)}")
    _check_options(cls, values)
    command = _build_command(cls, positionals[1:])
    options = _build_options(values)
    _require_nodes(command, options)
    return command, options


def _check_options(cls: type[Command], values: flags.FlagValues) -> None:
    allowed = (*cls.OPTIONS, *COMMON_OPTIONS, "help")
    given = [name for name in values if values[name].present]
    unsupported = [f"--{name}" for name in given if name not in allowed]
    if unsupported:
        raise UsageError(f"{cls.NAME} takes no {', '.join(unsupported)}")


def _require_nodes(command: Command, options: Options) -> None:
    if command.NEEDS_NODE and not options.nodes:
        raise UsageError(f"{command.NAME} needs at least one --node=IP:PORT")


def _build_command(cls: type[C], positionals: list[str]) -> C:
    fields = attrs.fields(cls)
    if len(positionals) != len(fields):
        raise UsageError(f"usage: {usage(cls)}")
    command = cls(*positionals)
    for field in fields:
        _check_argument(field.name, getattr(command, field.name))
    return command


def _check_argument(name: str, text: str) -> None:
    if name == "method" and not _METHOD.match(text):
        raise UsageError(f"METHOD must be in capital letters, not '{text}'")
    if name == "request" and not _REQUEST.match(text):
        raise UsageError(f"REQUEST must be HOST/PATH, not '{text}'")
    if name == "address":
        _check_address(text)


def _check_address(text: str) -> None:
    try:
        ip_ports(None, None, (text,))
    except ValueError as error:
        raise UsageError(f"not an address IP:PORT: {error}") from error


def _build_options(values: flags.FlagValues) -> Options:
    for address in values["node"].value:
        _check_address(address)
    events = EventFilter(
        revision=values["revision"].value,
        call_id=values["call"].value,
        node_id=values["about"].value,
        kind=values["kind"].value,
        limit=values["limit"].value,
    )
    return Options(
        json=values["json"].value,
        nodes=tuple(values["node"].value),
        timeout_s=values["timeout_s"].value,
        concurrency=values["concurrency"].value,
        watch=values["watch"].value,
        interval_s=values["interval_s"].value,
        events=events,
    )
