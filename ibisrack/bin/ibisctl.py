"""The operators' command line."""

import sys
from collections.abc import Callable
from pathlib import Path

from absl import app

from ibisrack.bin.common import EXIT_FAULTS, EXIT_OK, EXIT_USAGE
from ibisrack.errors import RulesError
from ibisrack.rules.ruleset import check


def check_file(args: list[str]) -> int:
    """check FILE: report every bad line of a rules file."""
    if len(args) != 1:
        print("usage: ibisctl check FILE", file=sys.stderr)
        return EXIT_USAGE
    try:
        rules = check(Path(args[0]).read_bytes(), args[0])
    except OSError as error:
        print(f"{args[0]}: {error.strerror}", file=sys.stderr)
        return EXIT_USAGE
    except RulesError as error:
        for fault in error.faults:
            print(fault)
        print(f"{len(error.faults)} faults; the file would be refused as a whole")
        return EXIT_FAULTS
    print(f"{args[0]}: good, {rules.rule_count} rules for {len(rules.services)} services")
    return EXIT_OK


COMMANDS: dict[str, Callable[[list[str]], int]] = {"check": check_file}


def main(argv: list[str]) -> None:
    """Runs one command."""
    command = COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        for function in COMMANDS.values():
            print(f"  ibisctl {function.__doc__}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(command(argv[2:]))


def run() -> None:
    """Entry point of the ibisctl command."""
    app.run(main)


if __name__ == "__main__":
    run()
