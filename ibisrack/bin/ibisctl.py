"""The operators' command line.

It has its own flags object (ibisrack.ctl.commands), so that a flag belongs to a command; absl's
app.run would parse the global flags of every imported module instead.
"""

import sys

from ibisrack.ctl.main import run_command_line


def run() -> None:
    """Entry point of the ibisctl command."""
    sys.exit(run_command_line(sys.argv[1:]))


if __name__ == "__main__":
    run()
