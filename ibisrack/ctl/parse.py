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
