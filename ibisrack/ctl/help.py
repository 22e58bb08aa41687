"""The help texts of ibisctl, built from the command classes and the flags."""

from typing import Any

import attrs
from absl import flags

from ibisrack.ctl.commands import COMMANDS, Command
from ibisrack.ctl.options import COMMON_OPTIONS

EXIT_CODES = """\
Exit codes:
  0  done
  1  the command ran and has findings: faults in a file, differences between two files, no rule
     for a request, nodes that are behind
  2  the command line or a file can't be used
  3  a node did not answer; the answers of the others are still printed"""


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
    """Returns the help text of ibisctl."""
    lines = [f"  {usage(cls):52} {_summary(cls)}" for cls in COMMANDS.values()]
    return "\n".join(
        [
            "ibisctl checks rules files and shows the state of a fleet of ibis-node processes.",
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
    """Returns the help text of a command."""
    text = "\n".join(line.strip() for line in (cls.__doc__ or "").strip().splitlines())
    options = _option_help(values, (*cls.OPTIONS, *COMMON_OPTIONS))
    return f"{usage(cls)}\n\n{text}\n\nOptions:\n{options}\n\n{EXIT_CODES}"


def _summary(cls: type[Command]) -> str:
    return (cls.__doc__ or "").partition("\n")[0].strip()
